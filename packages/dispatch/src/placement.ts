import type { EndpointIncarnation, EndpointRecord, Resources, StepSpec } from '@ibisstair/jobs'
import { countFits, isSufficientFor, subtractResources } from '@ibisstair/jobs'
import type { RackId } from '@ibisstair/common'

/** An endpoint that may get work, with its free resources. */
export interface Candidate {
  readonly endpoint: EndpointRecord
  free: Resources
  /** Candidates with a higher penalty are used later: slow or failing endpoints. */
  readonly penalty: number
  /** Endpoints that still run slowly after their start are used after others with the same penalty. */
  readonly isCold?: boolean
}

export interface Assignment {
  readonly index: number
  readonly endpoint: EndpointIncarnation
}

/** Returns how many tasks of the step already run on the endpoint; needed for `maxPerEndpoint`. */
export type CountOnEndpoint = (endpoint: EndpointIncarnation) => number

const isSuitable = (spec: StepSpec, { endpoint }: Candidate): boolean =>
  spec.requiredLabel === null || endpoint.labels.includes(spec.requiredLabel)

const countFittingTasks = (spec: StepSpec, candidate: Candidate, countOn: CountOnEndpoint): number => {
  const fits = countFits(candidate.free, spec.resources)
  return spec.maxPerEndpoint === null ? fits : Math.max(0, Math.min(fits, spec.maxPerEndpoint - countOn(candidate.endpoint.life)))
}

/** The load pattern: a failure domain that is restored returns empty, and its endpoints are slow at first. */
const byPenalty = (a: Candidate, b: Candidate): number =>
  a.penalty - b.penalty || Number(a.isCold ?? false) - Number(b.isCold ?? false)

/** Fullest first, so that whole endpoints stay free for large tasks. */
const byBestFit = (a: Candidate, b: Candidate): number =>
  byPenalty(a, b) || a.free.accelerators - b.free.accelerators || a.free.cpuMilli - b.free.cpuMilli

const byMostFree = (a: Candidate, b: Candidate): number =>
  byPenalty(a, b) || b.free.accelerators - a.free.accelerators || b.free.cpuMilli - a.free.cpuMilli

const fill = (spec: StepSpec, indexes: readonly number[], candidates: readonly Candidate[], countOn: CountOnEndpoint): Assignment[] => {
  const assignments: Assignment[] = []
  for (const candidate of candidates) {
    const fitting = countFittingTasks(spec, candidate, countOn)
    for (let i = 0; i < fitting && assignments.length < indexes.length; i++) {
      assignments.push({ index: indexes[assignments.length]!, endpoint: candidate.endpoint.life })
    }
    if (assignments.length === indexes.length) break
  }
  return assignments
}

const groupByRack = (candidates: readonly Candidate[]): Map<RackId, Candidate[]> => {
  const racks = new Map<RackId, Candidate[]>()
  for (const candidate of candidates) {
    const { rack } = candidate.endpoint
    const members = racks.get(rack)
    if (members) members.push(candidate)
    else racks.set(rack, [candidate])
  }
  return racks
}

const sumFittingTasks = (spec: StepSpec, candidates: readonly Candidate[], countOn: CountOnEndpoint): number =>
  candidates.reduce((sum, candidate) => sum + countFittingTasks(spec, candidate, countOn), 0)

const sumAccelerators = (candidates: readonly Candidate[]): number =>
  candidates.reduce((sum, { free }) => sum + free.accelerators, 0)

/** Places all tasks in the rack with the least free accelerators that holds them; null when none does. */
const placeInOneRack = (spec: StepSpec, indexes: readonly number[], candidates: readonly Candidate[], countOn: CountOnEndpoint): Assignment[] | null => {
  const racks = [...groupByRack(candidates)]
    .filter(([rack, members]) => (spec.dataRack === null || rack === spec.dataRack) && sumFittingTasks(spec, members, countOn) >= indexes.length)
    .sort(([, a], [, b]) => sumAccelerators(a) - sumAccelerators(b))
  return racks[0] ? fill(spec, indexes, racks[0][1], countOn) : null
}

interface RoomSearch {
  readonly spec: StepSpec
  readonly tasks: number
  /** Copies of the step that the tasks belong to; a limit for each endpoint holds for each copy. */
  readonly copies: number
}

/** Whether the free capacity holds that many tasks of the step, in whatever racks. */
export const hasRoomFor = ({ spec, tasks, copies }: RoomSearch, candidates: readonly Candidate[], countOn: CountOnEndpoint): boolean => {
  let fitting = 0
  for (const candidate of candidates) {
    if (!isSuitable(spec, candidate)) continue
    const fits = countFits(candidate.free, spec.resources)
    fitting += spec.maxPerEndpoint === null ? fits : Math.max(0, Math.min(fits, copies * spec.maxPerEndpoint - countOn(candidate.endpoint.life)))
    if (fitting >= tasks) return true
  }
  return false
}

export interface PlacementOptions {
  /** Accept a placement across racks, which slows the tasks down by a factor. */
  readonly acceptFar: boolean
  /** Use the endpoints with most free capacity first, in place of the fullest ones. */
  readonly emptiestFirst?: boolean
}

/** Subtracts the resources of the assigned tasks from the free resources of the candidates. */
export const deductAssigned = (spec: StepSpec, assignments: readonly Assignment[], byIncarnation: ReadonlyMap<EndpointIncarnation, Candidate>): void => {
  for (const { endpoint } of assignments) {
    const candidate = byIncarnation.get(endpoint)
    if (candidate) candidate.free = subtractResources(candidate.free, spec.resources)
  }
}

export const indexByIncarnation = (candidates: readonly Candidate[]): Map<EndpointIncarnation, Candidate> =>
  new Map(candidates.map((candidate) => [candidate.endpoint.life, candidate]))

/**
 * Chooses endpoints for the tasks and deducts their resources there. A gang is placed whole or not at all; of
 * single tasks, as many as fit.
 */
export const placeTasks = (spec: StepSpec, indexes: readonly number[], all: readonly Candidate[], countOn: CountOnEndpoint, { acceptFar, emptiestFirst = false }: PlacementOptions): Assignment[] => {
  // Most endpoints of a busy fleet are full; they are filtered out before the rest is sorted.
  const candidates = all.filter((candidate) => isSufficientFor(candidate.free, spec.resources) && isSuitable(spec, candidate))
  if (candidates.length === 0) return []
  const assignments = choose(spec, indexes, candidates.sort(emptiestFirst ? byMostFree : byBestFit), countOn, acceptFar)
  if (spec.gang && assignments.length < indexes.length) return []
  deductAssigned(spec, assignments, indexByIncarnation(candidates))
  return assignments
}

/** Far endpoints go before near ones on which runs have failed. */
const sortNearFirst = (candidates: readonly Candidate[], near: readonly Candidate[]): Candidate[] => {
  const isNear = new Set(near)
  const rank = (candidate: Candidate): number => (candidate.penalty > 0 ? 2 : 0) + (isNear.has(candidate) ? 0 : 1)
  return [...candidates].sort((a, b) => rank(a) - rank(b))
}

const choose = (spec: StepSpec, indexes: readonly number[], candidates: Candidate[], countOn: CountOnEndpoint, acceptFar: boolean): Assignment[] => {
  if (spec.tightlyCoupled) {
    const warm = candidates.filter(({ isCold }) => !isCold)
    const inOneWarmRack = warm.length < candidates.length ? placeInOneRack(spec, indexes, warm, countOn) : null
    const inOneRack = inOneWarmRack ?? placeInOneRack(spec, indexes, candidates, countOn)
    if (inOneRack || !acceptFar) return inOneRack ?? []
    return fill(spec, indexes, candidates, countOn)
  }
  if (spec.dataRack === null) return fill(spec, indexes, candidates, countOn)
  const near = candidates.filter(({ endpoint }) => endpoint.rack === spec.dataRack)
  if (!acceptFar) return fill(spec, indexes, near, countOn)
  return fill(spec, indexes, sortNearFirst(candidates, near), countOn)
}

/**
 * Whether the tasks that have to be placed together would fit if all endpoints were idle: those of a gang, and
 * tightly coupled ones, which are placed in one rack.
 */
export const couldEverFit = (spec: StepSpec, endpoints: readonly EndpointRecord[], { acceptFar }: PlacementOptions): boolean => {
  const empty = endpoints.map((endpoint): Candidate => ({ endpoint, free: endpoint.capacity, penalty: 0 }))
  const count = spec.gang || spec.tightlyCoupled ? spec.count : 1
  const indexes = Array.from({ length: count }, (_, index) => index)
  return placeTasks(spec, indexes, empty, () => 0, { acceptFar }).length === count
}
