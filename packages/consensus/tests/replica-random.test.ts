import fc from 'fast-check'
import t from 'tap'
import { createAutomaticCaseArbitrary, createCaseArbitrary, runReplicaCase } from './support/actions.ts'
import type { Profile } from './support/actions.ts'

// Guards against lost or reordered committed entries, two leaders in a term, two votes in a term, refused
// commands that are committed, and groups that do not recover, under faults of network, disk, clock and processes.
const SEED = 771204
const RUNS: Readonly<Record<Exclude<Profile, 'automatic'>, number>> = { general: 120, churn: 80, changes: 80 }

for (const [profile, numRuns] of Object.entries(RUNS) as [Exclude<Profile, 'automatic'>, number][]) {
  t.test(`replicas keep the safety properties and recover: ${profile}`, async (t) => {
    t.comment(`seed ${SEED}, ${numRuns} runs`)
    fc.assert(fc.property(createCaseArbitrary(profile), (replicaCase) => { runReplicaCase(replicaCase) }), { seed: SEED, numRuns })
  })
}

t.test('a group that replaces silent voters by itself survives lost disks and recovers', async (t) => {
  // Guards against a change of the members that needs a replica whose disk is lost while it is not yet committed.
  const numRuns = 250
  t.comment(`seed ${SEED}, ${numRuns} runs`)
  fc.assert(fc.property(createAutomaticCaseArbitrary(), (replicaCase) => { runReplicaCase(replicaCase) }), { seed: SEED, numRuns })
})
