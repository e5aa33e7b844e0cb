import t from 'tap'
import { search } from './support/scenario.ts'

const SEEDS = [1, 2, 3, 4]
const RUNS = 250

// Guards the promises of gang starts against any mix of lost, doubled, delayed and reordered messages,
// dead, frozen and doubled leaders, and dead, hanging and unreachable endpoints.
for (const seed of SEEDS) {
  t.test(`gangs and task tables keep the promises under faults (seed ${seed}, ${RUNS} runs)`, async (t) => {
    const { findings, scenario } = search(seed, RUNS)
    t.same(findings, [], JSON.stringify(scenario))
  })
}
