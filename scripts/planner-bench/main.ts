// Runs the planner on reproducible load patterns in virtual time and prints its scores.
//   node --import=tsx scripts/planner-bench/main.ts --seeds 10 --fleet small|cramped|large|huge --run-times learned|submitted --estimates usual|poor
import { parseArgs } from 'node:util'
import { RandomSource } from '@ibisstair/timers'
import { Simulation, type SimulationResult } from './simulate.ts'
import { FLEETS, PATTERNS, withPoorEstimates } from './workload.ts'

const { values } = parseArgs({
  options: { seeds: { type: 'string', default: '10' }, fleet: { type: 'string', default: 'small' }, 'run-times': { type: 'string', default: 'learned' }, estimates: { type: 'string', default: 'usual' } }
})
const namedFleet = FLEETS[values.fleet as keyof typeof FLEETS]
if (!namedFleet) throw new Error(`--fleet ${values.fleet} is unknown; accepted are ${Object.keys(FLEETS).join(', ')}`)

const RUN_TIMES = ['learned', 'submitted']
const runTimes = values['run-times']
if (!RUN_TIMES.includes(runTimes)) throw new Error(`--run-times ${runTimes} is unknown; accepted are ${RUN_TIMES.join(', ')}`)

const ESTIMATES = ['usual', 'poor']
if (!ESTIMATES.includes(values.estimates)) throw new Error(`--estimates ${values.estimates} is unknown; accepted are ${ESTIMATES.join(', ')}`)
const fleet = values.estimates === 'poor' ? withPoorEstimates(namedFleet) : namedFleet

const all: SimulationResult[] = []
const mean = (results: readonly SimulationResult[], select: (result: SimulationResult) => number): number =>
  results.reduce((sum, result) => sum + select(result), 0) / results.length

console.log('pattern                                         credit  urgent  normal  defer.  thrown away, core s  preempted')
for (const pattern of PATTERNS) {
  const results = Array.from({ length: Number(values.seeds) }, (_, i) => new Simulation(new RandomSource(i + 1), fleet, pattern, { learnsRunTimes: runTimes === 'learned' }).run())
  const formatMean = (select: (result: SimulationResult) => number): string => mean(results, select).toFixed(3).padStart(8)
  const classColumns = fleet.classes.map(({ name }) => formatMean(({ creditByClass }) => creditByClass[name]!)).join('')
  const lostWorkColumn = mean(results, ({ lostWorkCoreS }) => lostWorkCoreS).toFixed(0).padStart(21)
  all.push(...results)
  console.log(`${pattern.name.padEnd(46)}${formatMean(({ credit }) => credit)}${classColumns}${lostWorkColumn}${mean(results, ({ preemptedCount }) => preemptedCount).toFixed(0).padStart(11)}`)
}
console.log(`${'mean'.padEnd(46)}${mean(all, ({ credit }) => credit).toFixed(3).padStart(8)}`)
