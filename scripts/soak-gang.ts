// Runs randomised gangs against task tables with new seeds until the time is over or a run fails.
// Usage: npx tsx scripts/soak-gang.ts [--minutes N] [--seed S] [--unsafe gang.noArmBarrier|table.noFence|noTerms]
import { parseArgs } from 'node:util'
import { RandomSource, SystemTimerService } from '@ibisstair/timers'
import { search } from '../packages/gang/tests/support/scenario.ts'
import type { TestOverrides } from '../packages/gang/tests/support/world.ts'

const RUNS_PER_SEED = 500

const { values } = parseArgs({
  options: {
    minutes: { type: 'string', default: '1' },
    seed: { type: 'string' },
    unsafe: { type: 'string' }
  }
})

const toTestOverrides = (name: string | undefined): TestOverrides => {
  if (name === undefined) return {}
  const [owner, protection] = name.split('.')
  if (owner === 'noTerms') return { noTerms: true }
  if (!protection || (owner !== 'gang' && owner !== 'table')) throw new Error(`--unsafe ${name}: accepted is gang.NAME, table.NAME or noTerms`)
  return { [owner]: { [protection]: true } }
}

const timers = new SystemTimerService()
const endMs = timers.now() + Number(values.minutes) * 60_000
const seeds = values.seed === undefined ? RandomSource.fromEntropy() : new RandomSource(Number(values.seed))
const testOverrides = toTestOverrides(values.unsafe)
console.log(`first seed source: ${seeds.seed}`)

let runs = 0
let seed = values.seed === undefined ? seeds.int(1, 0x7fffffff) : Number(values.seed)
while (timers.now() < endMs) {
  const result = search(seed, RUNS_PER_SEED, testOverrides)
  runs += result.runs
  if (result.scenario) {
    console.log(`FAIL seed ${seed} after ${runs} runs`)
    console.log(result.findings.join('\n'))
    console.log(JSON.stringify(result.scenario))
    process.exit(1)
  }
  seed = seeds.int(1, 0x7fffffff)
}
console.log(`${runs} runs without a finding`)
