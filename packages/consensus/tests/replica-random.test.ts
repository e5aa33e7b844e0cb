import fc from 'fast-check'
import t from 'tap'
import { createCaseArbitrary, runReplicaCase } from './support/actions.ts'
import type { Profile } from './support/actions.ts'

// Guards against lost or reordered committed entries, two leaders in a term, two votes in a term, refused
// commands that are committed, and groups that do not recover, under faults of network, disk, clock and processes.
const SEED = 771204
const RUNS: Readonly<Record<Profile, number>> = { general: 120, churn: 80, changes: 80 }

for (const [profile, numRuns] of Object.entries(RUNS) as [Profile, number][]) {
  t.test(`replicas keep the safety properties and recover: ${profile}`, async (t) => {
    t.comment(`seed ${SEED}, ${numRuns} runs`)
    fc.assert(fc.property(createCaseArbitrary(profile), (replicaCase) => { runReplicaCase(replicaCase) }), { seed: SEED, numRuns })
  })
}
