// Runs randomised clusters of replicas and of drivers with new seeds until the time is over or a run fails:
// node --import tsx scripts/soak-consensus.ts --minutes 5 --seed 1 [--disable MECHANISM] [--shrink]
import { parseArgs } from 'node:util'
import fc from 'fast-check'
import type { Mechanism } from '../packages/consensus/src/index.ts'
import { createAutomaticCaseArbitrary, createCaseArbitrary, LONG, runReplicaCase, SHORT } from '../packages/consensus/tests/support/actions.ts'
import type { Profile } from '../packages/consensus/tests/support/actions.ts'
import { createDriverCaseArbitrary, runDriverCase } from '../packages/consensus/tests/support/driver-actions.ts'

const RUNS_PER_ROUND = 100
const LONG_RUNS_PER_ROUND = 25
const PROFILES: readonly Profile[] = ['general', 'churn', 'changes', 'automatic']

const { values } = parseArgs({
  options: {
    minutes: { type: 'string', default: '5' },
    seed: { type: 'string', default: String(Date.now() % 0x7fffffff) },
    shrink: { type: 'boolean', default: false },
    disable: { type: 'string', multiple: true, default: [] }
  }
})
const disabled = values.disable as Mechanism[]
const end = performance.now() + Number(values.minutes) * 60_000
const totals = new Map<string, number>()

const count = (counters: Readonly<Record<string, number>>): void => {
  for (const [name, value] of Object.entries(counters)) totals.set(name, (totals.get(name) ?? 0) + value)
}

const report = <T>(name: string, seed: number, result: fc.RunDetails<T>): void => {
  count({ [`runs ${name}`]: result.numRuns })
  if (!result.failed) return
  console.log(`${name}: failed with seed ${seed} after ${result.numRuns} runs: ${String(result.errorInstance)}`)
  console.log(JSON.stringify(result.counterexample))
  process.exit(1)
}

const runReplicas = (profile: Profile, seed: number, isLong: boolean): void => {
  const length = isLong ? LONG : SHORT
  const cases = profile === 'automatic' ? createAutomaticCaseArbitrary(length) : createCaseArbitrary(profile, undefined, length)
  const property = fc.property(cases, (replicaCase) => {
    const cluster = runReplicaCase(replicaCase, { disabled })
    for (const node of cluster.nodes) count({ ...node.replica?.counters })
    count({ committed: cluster.history.lastIndex, acknowledged: cluster.history.acknowledgedCount })
  })
  report(`${profile}${isLong ? ', long' : ''}`, seed, fc.check(property, { seed, numRuns: isLong ? LONG_RUNS_PER_ROUND : RUNS_PER_ROUND, endOnFailure: !values.shrink }))
}

const runDrivers = async (seed: number, isLong: boolean): Promise<void> => {
  const property = fc.asyncProperty(createDriverCaseArbitrary(isLong ? LONG : undefined), async (driverCase) => {
    const cluster = await runDriverCase(driverCase, { disabled })
    count(Object.fromEntries([...cluster.outcomes].map(([kind, value]) => [`proposal ${kind}`, value])))
  })
  report(`drivers${isLong ? ', long' : ''}`, seed, await fc.check(property, { seed, numRuns: isLong ? LONG_RUNS_PER_ROUND : RUNS_PER_ROUND, endOnFailure: !values.shrink }))
}

let seed = Number(values.seed)
console.log(`first seed ${seed}${disabled.length > 0 ? `, without ${disabled.join(', ')}` : ''}`)
for (; performance.now() < end; seed++) {
  // Long cases reach snapshots, replacements of lost replicas and many terms; short cases shrink to a readable one.
  const isLong = seed % 2 === 1
  for (const profile of PROFILES) runReplicas(profile, seed, isLong)
  await runDrivers(seed, isLong)
}
console.log(`passed, last seed ${seed - 1}`)
for (const [name, value] of [...totals].sort(([a], [b]) => a < b ? -1 : 1)) console.log(`${name.padEnd(28)} ${value}`)
