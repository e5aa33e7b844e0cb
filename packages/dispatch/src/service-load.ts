import { addResources, countFits, NO_RESOURCES, subtractResources, type EndpointRecord, type Resources } from '@ibisstair/jobs'
import { hasRoomFor, type Candidate } from './placement.ts'
import type { Idleness, PassView } from './plan-types.ts'
import type { ReadyWork } from './ready-work.ts'

/** A service counts as idle while less than this share of its capacity is in use. */
const IDLE_SHARE = 0.5

const MEASURES = ['accelerators', 'cpuMilli', 'memMb'] as const satisfies ReadonlyArray<keyof Resources>

const sumCapacity = (endpoints: readonly EndpointRecord[]): Resources =>
  endpoints.reduce((sum, { capacity }) => addResources(sum, capacity), NO_RESOURCES)

/** An endpoint that has shrunk below what runs there counts as full. */
export const sumFree = (candidates: readonly Candidate[]): Resources =>
  candidates.reduce((sum, { free }) => addResources(sum, { cpuMilli: Math.max(0, free.cpuMilli), memMb: Math.max(0, free.memMb), accelerators: Math.max(0, free.accelerators) }), NO_RESOURCES)

/** `registered` are all endpoints of the service, `candidates` those that may get new work. */
export const getIdleness = (registered: readonly EndpointRecord[], candidates: readonly Candidate[]): Idleness => {
  const usable = sumCapacity(candidates.map(({ endpoint }) => endpoint))
  const used = subtractResources(usable, sumFree(candidates))
  const isLittle = (measure: keyof Resources, capacity: Resources): boolean => capacity[measure] > 0 && used[measure] < IDLE_SHARE * capacity[measure]
  if (isLittle(usable.accelerators > 0 ? 'accelerators' : 'cpuMilli', usable)) return 'idle'
  const all = sumCapacity(registered)
  return MEASURES.some((measure) => isLittle(measure, all)) ? 'partly' : 'busy'
}

/** Copies of the work for which there must be room. */
const COPIES = 2

/** Whether the free capacity holds the work twice over: two copies of a gang, or two single tasks. */
export const fitsTwice = (work: ReadyWork, pass: PassView): boolean => {
  const { spec, indexes } = work
  const tasks = COPIES * (spec.gang ? indexes.length : 1)
  if (countFits(pass.getFree(work), spec.resources) < tasks) return false
  return hasRoomFor({ spec, tasks, copies: COPIES }, pass.listServiceCandidates(work), pass.createCounter(work))
}
