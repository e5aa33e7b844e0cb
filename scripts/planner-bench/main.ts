// Runs the planner on reproducible load patterns in virtual time and prints its scores.
//   node --import=tsx scripts/planner-bench/main.ts --seeds 10 --fleet small|cramped|large|huge|uneven|uneven-busy|even-busy --speeds unknown|learned|oracle
import { parseArgs } from 'node:util'
import { RandomSource } from '@ibisstair/timers'
import { KNOWLEDGE, type Knowledge } from './speed-knowledge.ts'
import { Simulation, type SimulationResult } from './simulate.ts'
import { FLEETS, PATTERNS } from './workload.ts'

const { values } = parseArgs({
  options: { seeds: { type: 'string', default: '10' }, fleet: { type: 'string', default: 'small' }, speeds: { type: 'string', default: 'unknown' } }
})
const fleet = FLEETS[values.fleet as keyof typeof FLEETS]
if (!fleet) throw new Error(`--fleet ${values.fleet} is unknown; accepted are ${Object.keys(FLEETS).join(', ')}`)
const isKnowledge = (text: string): text is Knowledge => KNOWLEDGE.some((known) => known === text)
const knowledge = values.speeds
if (!isKnowledge(knowledge)) throw new Error(`--speeds ${knowledge} is unknown; accepted are ${KNOWLEDGE.join(', ')}`)

const all: SimulationResult[] = []
const mean = (results: readonly SimulationResult[], select: (result: SimulationResult) => number): number =>
  results.reduce((sum, result) => sum + select(result), 0) / results.length

console.log('pattern                                         credit  urgent  normal  defer.  thrown away, core s  preempted  urgent in time')
for (const pattern of PATTERNS) {
  const results = Array.from({ length: Number(values.seeds) }, (_, i) => new Simulation(new RandomSource(i + 1), fleet, pattern, knowledge).run())
  const formatMean = (select: (result: SimulationResult) => number): string => mean(results, select).toFixed(3).padStart(8)
  const classColumns = fleet.classes.map(({ name }) => formatMean(({ creditByClass }) => creditByClass[name]!)).join('')
  const lostWorkColumn = mean(results, ({ lostWorkCoreS }) => lostWorkCoreS).toFixed(0).padStart(21)
  all.push(...results)
  console.log(`${pattern.name.padEnd(46)}${formatMean(({ credit }) => credit)}${classColumns}${lostWorkColumn}${mean(results, ({ preemptedCount }) => preemptedCount).toFixed(0).padStart(11)}${formatMean(({ urgentInTime }) => urgentInTime).padStart(16)}`)
}
console.log(`${'mean'.padEnd(46)}${mean(all, ({ credit }) => credit).toFixed(3).padStart(8)}${mean(all, ({ lostWorkCoreS }) => lostWorkCoreS).toFixed(0).padStart(45)}${mean(all, ({ preemptedCount }) => preemptedCount).toFixed(0).padStart(11)}${mean(all, ({ urgentInTime }) => urgentInTime).toFixed(3).padStart(16)}`)
