// Runs the planner on reproducible load patterns in virtual time and prints its scores.
//   node --import=tsx scripts/planner-bench/main.ts --seeds 10 --fleet small|cramped|large|huge|licence|drained|uneven|uneven-busy|even-busy --rules off,shares,limits,on
//     --run-times learned|submitted --estimates usual|poor --speeds unknown|learned|oracle
import { parseArgs } from 'node:util'
import { NO_SCHEDULING_POLICY, type SchedulingPolicy } from '@ibisstair/dispatch'
import { RandomSource } from '@ibisstair/timers'
import { KNOWLEDGE, type Knowledge } from './speed-knowledge.ts'
import { Simulation, type SimulationResult } from './simulate.ts'
import { FLEETS, PATTERNS, withPoorEstimates, type Pattern } from './workload.ts'

const RULES: Readonly<Record<string, SchedulingPolicy>> = {
  off: NO_SCHEDULING_POLICY,
  shares: { ...NO_SCHEDULING_POLICY, fairShares: true },
  limits: { ...NO_SCHEDULING_POLICY, limitPreemption: true },
  on: { ...NO_SCHEDULING_POLICY, fairShares: true, limitPreemption: true }
}

const { values } = parseArgs({
  options: { seeds: { type: 'string', default: '10' }, fleet: { type: 'string', default: 'small' }, rules: { type: 'string', default: 'off,on' }, 'run-times': { type: 'string', default: 'learned' }, estimates: { type: 'string', default: 'usual' }, speeds: { type: 'string', default: 'learned' } }
})
const namedFleet = FLEETS[values.fleet as keyof typeof FLEETS]
if (!namedFleet) throw new Error(`--fleet ${values.fleet} is unknown; accepted are ${Object.keys(FLEETS).join(', ')}`)
const isKnowledge = (text: string): text is Knowledge => KNOWLEDGE.some((known) => known === text)
const knowledge = values.speeds
if (!isKnowledge(knowledge)) throw new Error(`--speeds ${knowledge} is unknown; accepted are ${KNOWLEDGE.join(', ')}`)

const RUN_TIMES = ['learned', 'submitted']
const runTimes = values['run-times']
if (!RUN_TIMES.includes(runTimes)) throw new Error(`--run-times ${runTimes} is unknown; accepted are ${RUN_TIMES.join(', ')}`)

const ESTIMATES = ['usual', 'poor']
if (!ESTIMATES.includes(values.estimates)) throw new Error(`--estimates ${values.estimates} is unknown; accepted are ${ESTIMATES.join(', ')}`)
const fleet = values.estimates === 'poor' ? withPoorEstimates(namedFleet) : namedFleet
const rules = values.rules.split(',')
for (const name of rules) if (!RULES[name]) throw new Error(`--rules ${name} is unknown; accepted are ${Object.keys(RULES).join(', ')}`)

interface Column {
  readonly title: string
  readonly width: number
  readonly digits: number
  readonly select: (result: SimulationResult) => number
}

const COLUMNS: readonly Column[] = [
  { title: 'credit', width: 8, digits: 3, select: ({ credit }) => credit },
  ...fleet.classes.map(({ name }): Column => ({ title: name, width: 11, digits: 3, select: ({ creditByClass }) => creditByClass[name]! })),
  { title: 'urgent in time', width: 15, digits: 3, select: ({ urgentInTime }) => urgentInTime },
  { title: 'worst customer', width: 15, digits: 3, select: ({ worstCustomer }) => worstCustomer },
  { title: 'largest jobs', width: 13, digits: 3, select: ({ largestJobs }) => largestJobs },
  { title: 'thrown away, core s', width: 20, digits: 0, select: ({ lostWorkCoreS }) => lostWorkCoreS },
  { title: 'stops', width: 7, digits: 0, select: ({ preemptedCount }) => preemptedCount },
  { title: 'of a task', width: 10, digits: 1, select: ({ maxStops }) => maxStops }
]
const mean = (results: readonly SimulationResult[], select: (result: SimulationResult) => number): number =>
  results.reduce((sum, result) => sum + select(result), 0) / results.length

const print = (name: string, rule: string, results: readonly SimulationResult[]): void => {
  const cells = COLUMNS.map(({ width, digits, select }) => mean(results, select).toFixed(digits).padStart(width))
  console.log(`${name.padEnd(46)}${rule.padEnd(7)}${cells.join('')}`)
}

const simulate = (pattern: Pattern, rule: string): SimulationResult[] =>
  Array.from({ length: Number(values.seeds) }, (_, i) => new Simulation(new RandomSource(i + 1), fleet, pattern, { policy: RULES[rule]!, learnsRunTimes: runTimes === 'learned', knowledge }).run())

console.log(`${'pattern'.padEnd(46)}${'rules'.padEnd(7)}${COLUMNS.map(({ title, width }) => title.padStart(width)).join('')}`)
const all = new Map<string, SimulationResult[]>(rules.map((rule) => [rule, []]))
for (const pattern of PATTERNS) {
  for (const rule of rules) {
    const results = simulate(pattern, rule)
    all.get(rule)!.push(...results)
    print(pattern.name, rule, results)
  }
}
for (const [rule, results] of all) print('mean', rule, results)
