import type { EndpointIncarnation } from '@ibisstair/jobs'
import { placeTasks, type Assignment, type Candidate, type PlacementOptions } from './placement.ts'
import type { PassView } from './plan-types.ts'
import type { ReadyWork } from './ready-work.ts'

/** How far the work has come on the ladder of places; each rung is used only if the earlier ones have no room. */
export interface LadderOptions {
  readonly acceptFar: boolean
  /** Use endpoints that are kept for suspects of other jobs. */
  readonly useKept: boolean
  /** Use endpoints that are suspect themselves, those with the fewest failures first. */
  readonly useSuspects: boolean
  /** Endpoints that are used after all others of a rung. */
  readonly triedInVain: ReadonlySet<EndpointIncarnation>
}

/** Places as much of the work as fits on the first rung that has room. */
export const placeWork = (work: ReadyWork, pass: PassView, { acceptFar, useKept, useSuspects, triedInVain }: LadderOptions): Assignment[] => {
  const rungs = [
    work.isSuspect ? listUncrashed(work, pass) : [],
    pass.listCandidates(work),
    useKept ? pass.listServiceCandidates(work) : []
  ]
  for (const candidates of rungs) {
    const assignments = placeOn(work, pass, listTiers(work, candidates, triedInVain, pass), { acceptFar, emptiestFirst: work.isSuspect })
    if (assignments.length > 0) return assignments
  }
  return useSuspects ? placeOnSuspects(work, pass, triedInVain) : []
}

/** Places work on suspect endpoints, those with the fewest failures first. */
export const placeOnSuspects = (work: ReadyWork, pass: PassView, triedInVain: ReadonlySet<EndpointIncarnation>): Assignment[] =>
  placeOn(work, pass, listTiers(work, pass.listSuspects(work), triedInVain, pass), { acceptFar: true })

/** Returns the candidates other than those that have crashed under the work: one of them may be at fault itself. */
export const listUncrashed = (work: ReadyWork, pass: PassView): Candidate[] => {
  const { job, occurrence, step, indexes } = work
  const { tasks } = job.getOccurrence(occurrence).steps[step]!
  const crashed = new Set(indexes.flatMap((index) => tasks[index]!.crashes.map(({ address }) => address)))
  return pass.listCandidates(work).filter(({ endpoint }) => !crashed.has(endpoint.address))
}

const isPlacedTogether = ({ spec }: ReadyWork): boolean => spec.gang || spec.tightlyCoupled

/**
 * Work that has been tried in vain uses endpoints that have answered of late first, and those where it was tried last.
 * Each tier of work that is placed together includes the earlier ones.
 */
const listTiers = (work: ReadyWork, candidates: readonly Candidate[], triedInVain: ReadonlySet<EndpointIncarnation>, { fleet }: PassView): Array<readonly Candidate[]> => {
  if (triedInVain.size === 0 || candidates.length === 0) return [candidates]
  const getTier = ({ endpoint }: Candidate): number => triedInVain.has(endpoint.life) ? 2 : fleet.hasAnswered(endpoint) ? 0 : 1
  return [0, 1, 2].map((tier) => candidates.filter((candidate) => isPlacedTogether(work) ? getTier(candidate) <= tier : getTier(candidate) === tier))
}

const placeOn = (work: ReadyWork, pass: PassView, tiers: ReadonlyArray<readonly Candidate[]>, options: PlacementOptions): Assignment[] => {
  const assignments: Assignment[] = []
  for (const candidates of tiers) {
    if (assignments.length > 0 && isPlacedTogether(work)) break
    const rest = work.indexes.slice(assignments.length)
    if (rest.length > 0) assignments.push(...placeTasks(work.spec, rest, candidates, pass.createCounter(work), options))
  }
  return assignments
}
