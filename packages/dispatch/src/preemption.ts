import type { ActiveRun, EndpointIncarnation, Resources, StepSpec } from '@ibisstair/jobs'
import { addResources } from '@ibisstair/jobs'
import { indexByIncarnation, placeTasks, type Assignment, type Candidate, type CountOnEndpoint } from './placement.ts'

/** Runs that end together when one of them is stopped: the members of a gang, or a single task. */
export interface Victim {
  readonly runs: readonly ActiveRun[]
  readonly resources: Resources
  /** The runs end by themselves about as soon as a stop would end them. */
  readonly endsSoon: boolean
  /** Work that is not in a checkpoint, in core milliseconds. */
  readonly lostWork: number
  /** Victims of lower cost are preempted first. */
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

const copyCandidates = (candidates: readonly Candidate[]): Candidate[] => candidates.map((candidate) => ({ ...candidate }))

const releaseVictims = (candidates: readonly Candidate[], victims: readonly Victim[]): void => {
  const byIncarnation = indexByIncarnation(candidates)
  for (const { runs, resources } of victims) {
    for (const { endpoint } of runs) {
      const candidate = byIncarnation.get(endpoint)
      if (candidate) candidate.free = addResources(candidate.free, resources)
    }
  }
}

const tryPlace = (search: Search, selected: readonly Victim[]): Assignment[] => {
  const candidates = copyCandidates(search.candidates)
  releaseVictims(candidates, selected)
  return placeTasks(search.spec, search.indexes, candidates, search.countOn, { acceptFar: search.acceptFar })
}

/** Victims that are tried to be spared; each takes a placement of the whole step. */
const MAX_PRUNING_ATTEMPTS = 128

/** Removes victims that are not needed for the tasks to fit, the most expensive first. */
const pruneVictims = (search: Search, selected: readonly Victim[]): Victim[] => {
  let kept = [...selected]
  for (const victim of [...selected].reverse().slice(0, MAX_PRUNING_ATTEMPTS)) {
    const others = kept.filter((other) => other !== victim)
    if (tryPlace(search, others).length === search.indexes.length) kept = others
  }
  return kept
}

/** Returns how many victims, cheapest first, must end so that all tasks fit; null when all of them are not enough. */
const countVictimsNeeded = (search: Search, useful: readonly Victim[]): number | null => {
  const fitsAfter = (count: number): boolean => tryPlace(search, useful.slice(0, count)).length === search.indexes.length
  if (!fitsAfter(useful.length)) return null
  let low = 0
  let high = useful.length
  // More victims free more capacity, so that a binary search finds the smallest number.
  while (low < high) {
    const middle = (low + high) >> 1
    if (fitsAfter(middle)) high = middle
    else low = middle + 1
  }
  return high
}

const planWithin = (search: Search, victims: readonly Victim[]): PreemptionPlan | null => {
  const needed = countVictimsNeeded(search, victims)
  if (needed === null) return null
  const kept = pruneVictims(search, victims.slice(0, needed))
  return { victims: kept, assignments: tryPlace(search, kept) }
}

const sumCost = ({ victims }: PreemptionPlan): number => victims.reduce((sum, { cost }) => sum + cost, 0)

interface Rack {
  readonly candidates: Candidate[]
  readonly victims: Victim[]
}

/** Groups the candidates by rack, with the victims that free capacity there, in the given order. */
const groupByRack = (candidates: readonly Candidate[], victims: readonly Victim[]): Rack[] => {
  const byRack = new Map<string, Rack>()
  const byIncarnation = new Map<EndpointIncarnation, Rack>()
  for (const candidate of candidates) {
    const { rack: name, life: incarnation } = candidate.endpoint
    const rack = byRack.get(name) ?? { candidates: [], victims: [] }
    rack.candidates.push(candidate)
    byRack.set(name, rack)
    byIncarnation.set(incarnation, rack)
  }
  for (const victim of victims) {
    const racks = new Set(victim.runs.map(({ endpoint }) => byIncarnation.get(endpoint)))
    for (const rack of racks) rack?.victims.push(victim)
  }
  return [...byRack.values()]
}

/**
 * Returns the cheapest set of victims, found greedily, after whose end all tasks fit. `victims` must be sorted
 * by cost, cheapest first. A tightly coupled step is tried in each rack.
 */
export const planPreemption = (search: Search, victims: readonly Victim[]): PreemptionPlan | null => {
  const { spec, candidates } = search
  const racks = spec.tightlyCoupled ? groupByRack(candidates, victims) : []
  const plans = racks.flatMap((rack) => planWithin({ ...search, candidates: rack.candidates, acceptFar: false }, rack.victims) ?? [])
  if (plans.length > 0) return plans.reduce((best, plan) => sumCost(plan) < sumCost(best) ? plan : best)
  const incarnations = new Set(candidates.map(({ endpoint }) => endpoint.life))
  return planWithin(search, victims.filter(({ runs }) => runs.some(({ endpoint }) => incarnations.has(endpoint))))
}

/**
 * Like `planPreemption`, with victims and endpoints other than the given ones, on which the work has been tried in vain;
 * with all of them if there is no other way.
 */
export const planPreemptionBeyond = (tried: ReadonlySet<EndpointIncarnation>, search: Search, victims: readonly Victim[]): PreemptionPlan | null => {
  if (tried.size === 0) return planPreemption(search, victims)
  const others = {
    candidates: search.candidates.filter(({ endpoint }) => !tried.has(endpoint.life)),
    victims: victims.filter(({ runs }) => !runs.some(({ endpoint }) => tried.has(endpoint)))
  }
  return planPreemption({ ...search, candidates: others.candidates }, others.victims) ?? planPreemption(search, victims)
}
