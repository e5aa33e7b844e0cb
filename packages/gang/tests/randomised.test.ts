import t from 'tap'
import { search } from './support/scenario.ts'

const SEEDS = [1, 2, 3, 4]
const RUNS = 250

// Guards against partial, duplicate or falsely reported starts under any mix of lost, duplicated, delayed and
// reordered messages, dead, frozen and concurrent leaders, and dead, hanging and unreachable endpoints.
for (const seed of SEEDS) {
  t.test(`gangs and task tables keep their guarantees under faults (seed ${seed}, ${RUNS} runs)`, async (t) => {
    const { findings, scenario } = search(seed, RUNS)
    t.same(findings, [], JSON.stringify(scenario))
  })
}
