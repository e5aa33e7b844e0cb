import type { ActiveRun, EndpointIncarnation, Resources, StepSpec } from '@ibisstair/jobs'
import { addResources } from '@ibisstair/jobs'
import { indexByLife, placeTasks, type Assignment, type Candidate, type CountOnEndpoint } from './placement.ts'

/** Runs that end together when one of them is stopped: the members of a gang, or a single task. */
export interface Victim {
  readonly runs: readonly ActiveRun[]
  readonly resources: Resources
  /** Work that is not in a checkpoint, in core milliseconds. */
  readonly lostWork: number
  /** Victims of lower cost are taken first. */
  readonly cost: number
}

export interface PreemptionPlan {
  readonly victims: readonly Victim[]
  readonly assignments: readonly Assignment[]
}

interface Search {
  readonly spec: StepSpec
  readonly indexes: readonly number[]
  readonly candidates: readonly Candidate[]
  readonly countOn: CountOnEndpoint
  readonly acceptFar: boolean
}

const copy = (candidates: readonly Candidate[]): Candidate[] => candidates.map((candidate) => ({ ...candidate }))

const freeVictims = (candidates: readonly Candidate[], victims: readonly Victim[]): void => {
  const byLife = indexByLife(candidates)
  for (const { runs, resources } of victims) {
    for (const { endpoint } of runs) {
      const candidate = byLife.get(endpoint)
      if (candidate) candidate.free = addResources(candidate.free, resources)
    }
  }
}

const tryPlace = (search: Search, taken: readonly Victim[]): Assignment[] => {
  const candidates = copy(search.candidates)
  freeVictims(candidates, taken)
  return placeTasks(search.spec, search.indexes, candidates, search.countOn, { acceptFar: search.acceptFar })
}

/** Leaves out victims, dearest first, without which the tasks still fit. */
const prune = (search: Search, taken: readonly Victim[]): Victim[] => {
  let kept = [...taken]
  for (const victim of [...taken].reverse()) {
    const rest = kept.filter((other) => other !== victim)
    if (tryPlace(search, rest).length === search.indexes.length) kept = rest
  }
  return kept
}

/** The smallest number of victims, cheapest first, after whose end all tasks fit; null when not even all do. */
const countNeeded = (search: Search, useful: readonly Victim[]): number | null => {
  const fitsAfter = (count: number): boolean => tryPlace(search, useful.slice(0, count)).length === search.indexes.length
  if (!fitsAfter(useful.length)) return null
  let low = 0
  let high = useful.length
  // More victims leave more room, so that the border can be searched by halves.
  while (low < high) {
    const middle = (low + high) >> 1
    if (fitsAfter(middle)) high = middle
    else low = middle + 1
  }
  return high
}

const planWithin = (search: Search, victims: readonly Victim[]): PreemptionPlan | null => {
  const needed = countNeeded(search, victims)
  if (needed === null) return null
  const kept = prune(search, victims.slice(0, needed))
  return { victims: kept, assignments: tryPlace(search, kept) }
}

const sumCost = ({ victims }: PreemptionPlan): number => victims.reduce((sum, { cost }) => sum + cost, 0)

interface Rack {
  readonly candidates: Candidate[]
  readonly victims: Victim[]
}

/** The candidates of each rack with the victims that leave room there, in the given order. */
const groupByRack = (candidates: readonly Candidate[], victims: readonly Victim[]): Rack[] => {
  const byRack = new Map<string, Rack>()
  const byLife = new Map<EndpointIncarnation, Rack>()
  for (const candidate of candidates) {
    const { rack: name, life } = candidate.endpoint
    const rack = byRack.get(name) ?? { candidates: [], victims: [] }
    rack.candidates.push(candidate)
    byRack.set(name, rack)
    byLife.set(life, rack)
  }
  for (const victim of victims) {
    const racks = new Set(victim.runs.map(({ endpoint }) => byLife.get(endpoint)))
    for (const rack of racks) rack?.victims.push(victim)
  }
  return [...byRack.values()]
}

/**
 * The cheapest set of victims, found greedily, after whose end all tasks fit. The victims come
 * cheapest first. A tightly coupled step is tried in each rack.
 */
export const planPreemption = (search: Search, victims: readonly Victim[]): PreemptionPlan | null => {
  const { spec, candidates } = search
  const racks = spec.tightlyCoupled ? groupByRack(candidates, victims) : []
  const plans = racks.flatMap((rack) => planWithin({ ...search, candidates: rack.candidates, acceptFar: false }, rack.victims) ?? [])
  if (plans.length > 0) return plans.reduce((best, plan) => sumCost(plan) < sumCost(best) ? plan : best)
  const lives = new Set(candidates.map(({ endpoint }) => endpoint.life))
  return planWithin(search, victims.filter(({ runs }) => runs.some(({ endpoint }) => lives.has(endpoint))))
}
