import type { EndpointIncarnation, EndpointRecord, Resources, StepSpec } from '@ibisstair/jobs'
import { countFits, hasRoomFor, subtractResources } from '@ibisstair/jobs'
import type { RackId } from '@ibisstair/common'

/** An endpoint that may take work, with what is free on it. */
export interface Candidate {
  readonly endpoint: EndpointRecord
  free: Resources
  /** Higher is used later: slow or failing endpoints. */
  readonly penalty: number
}

export interface Assignment {
  readonly index: number
  readonly endpoint: EndpointIncarnation
}

/** Tasks of the step that run on an endpoint already, for the limit of a step. */
export type CountOnEndpoint = (endpoint: EndpointIncarnation) => number

const isSuitable = (spec: StepSpec, { endpoint }: Candidate): boolean =>
  spec.requiredLabel === null || endpoint.labels.includes(spec.requiredLabel)

const countRoom = (spec: StepSpec, candidate: Candidate, countOn: CountOnEndpoint): number => {
  const fits = countFits(candidate.free, spec.resources)
  return spec.maxPerEndpoint === null ? fits : Math.max(0, Math.min(fits, spec.maxPerEndpoint - countOn(candidate.endpoint.life)))
}

/** Fullest first, so that whole endpoints stay free for large tasks. */
const byBestFit = (a: Candidate, b: Candidate): number =>
  a.penalty - b.penalty || a.free.accelerators - b.free.accelerators || a.free.cpuMilli - b.free.cpuMilli

const fill = (spec: StepSpec, indexes: readonly number[], candidates: readonly Candidate[], countOn: CountOnEndpoint): Assignment[] => {
  const assignments: Assignment[] = []
  for (const candidate of candidates) {
    const room = countRoom(spec, candidate, countOn)
    for (let i = 0; i < room && assignments.length < indexes.length; i++) {
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

const sumRoom = (spec: StepSpec, candidates: readonly Candidate[], countOn: CountOnEndpoint): number =>
  candidates.reduce((sum, candidate) => sum + countRoom(spec, candidate, countOn), 0)

const sumAccelerators = (candidates: readonly Candidate[]): number =>
  candidates.reduce((sum, { free }) => sum + free.accelerators, 0)

/** The rack that holds all tasks and has the least room beyond them. */
const placeInOneRack = (spec: StepSpec, indexes: readonly number[], candidates: readonly Candidate[], countOn: CountOnEndpoint): Assignment[] | null => {
  const racks = [...groupByRack(candidates)]
    .filter(([rack, members]) => (spec.dataRack === null || rack === spec.dataRack) && sumRoom(spec, members, countOn) >= indexes.length)
    .sort(([, a], [, b]) => sumAccelerators(a) - sumAccelerators(b))
  return racks[0] ? fill(spec, indexes, racks[0][1], countOn) : null
}

export interface PlacementOptions {
  /** Accept a placement that is slower by the factor for distant racks. */
  readonly acceptFar: boolean
}

/** Takes the room of the assigned tasks from the candidates. */
export const takeRoom = (spec: StepSpec, assignments: readonly Assignment[], byLife: ReadonlyMap<EndpointIncarnation, Candidate>): void => {
  for (const { endpoint } of assignments) {
    const candidate = byLife.get(endpoint)
    if (candidate) candidate.free = subtractResources(candidate.free, spec.resources)
  }
}

export const indexByLife = (candidates: readonly Candidate[]): Map<EndpointIncarnation, Candidate> =>
  new Map(candidates.map((candidate) => [candidate.endpoint.life, candidate]))

/**
 * Chooses endpoints for the tasks and takes their room. A gang is placed whole or not at all; of
 * single tasks, as many as fit.
 */
export const placeTasks = (spec: StepSpec, indexes: readonly number[], all: readonly Candidate[], countOn: CountOnEndpoint, { acceptFar }: PlacementOptions): Assignment[] => {
  // Most endpoints of a busy fleet are full; they are left out before the others are put in order.
  const candidates = all.filter((candidate) => hasRoomFor(candidate.free, spec.resources) && isSuitable(spec, candidate))
  if (candidates.length === 0) return []
  const assignments = choose(spec, indexes, candidates.sort(byBestFit), countOn, acceptFar)
  if (spec.gang && assignments.length < indexes.length) return []
  takeRoom(spec, assignments, indexByLife(candidates))
  return assignments
}

const choose = (spec: StepSpec, indexes: readonly number[], candidates: Candidate[], countOn: CountOnEndpoint, acceptFar: boolean): Assignment[] => {
  if (spec.tightlyCoupled) {
    const inOneRack = placeInOneRack(spec, indexes, candidates, countOn)
    if (inOneRack || !acceptFar) return inOneRack ?? []
    return fill(spec, indexes, candidates, countOn)
  }
  if (spec.dataRack === null) return fill(spec, indexes, candidates, countOn)
  const near = candidates.filter(({ endpoint }) => endpoint.rack === spec.dataRack)
  const atData = fill(spec, indexes, near, countOn)
  if (atData.length === indexes.length || !acceptFar) return atData
  return fill(spec, indexes, [...near, ...candidates.filter((candidate) => !near.includes(candidate))], countOn)
}

/** Whether the tasks would fit into the endpoints as they are when nothing runs there. */
export const couldEverFit = (spec: StepSpec, endpoints: readonly EndpointRecord[], { acceptFar }: PlacementOptions): boolean => {
  const empty = endpoints.map((endpoint): Candidate => ({ endpoint, free: endpoint.capacity, penalty: 0 }))
  const count = spec.gang ? spec.count : 1
  const indexes = Array.from({ length: count }, (_, index) => index)
  return placeTasks(spec, indexes, empty, () => 0, { acceptFar }).length === count
}
