// The planner's decisions on replayable load patterns, on virtual time.
//   node --import=tsx scripts/planner-bench/main.ts --seeds 10 --fleet small
import { parseArgs } from 'node:util'
import { RandomSource } from '@ibisstair/timers'
import { Simulation, type Outcome } from './simulate.ts'
import { LARGE, PATTERNS, SMALL } from './workload.ts'

const { values } = parseArgs({
  options: { seeds: { type: 'string', default: '10' }, fleet: { type: 'string', default: 'small' } }
})
const fleet = values.fleet === 'large' ? LARGE : SMALL

const mean = (outcomes: readonly Outcome[], read: (outcome: Outcome) => number): number =>
  outcomes.reduce((sum, outcome) => sum + read(outcome), 0) / outcomes.length

console.log('pattern                                         credit  urgent  normal  defer.  thrown away, core s  preempted')
for (const pattern of PATTERNS) {
  const outcomes = Array.from({ length: Number(values.seeds) }, (_, i) => new Simulation(new RandomSource(i + 1), fleet, pattern).run())
  const share = (read: (outcome: Outcome) => number): string => mean(outcomes, read).toFixed(3).padStart(8)
  const classes = fleet.classes.map(({ name }) => share(({ byClass }) => byClass[name]!)).join('')
  const lostWork = mean(outcomes, ({ lostWorkCoreS }) => lostWorkCoreS).toFixed(0).padStart(21)
  console.log(`${pattern.name.padEnd(46)}${share(({ credit }) => credit)}${classes}${lostWork}${mean(outcomes, ({ preempted }) => preempted).toFixed(0).padStart(11)}`)
}
