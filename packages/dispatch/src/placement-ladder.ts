import type { EndpointIncarnation, StepSpec } from '@ibisstair/jobs'
import { isSufficientFor } from '@ibisstair/jobs'
import type { SpeedTier } from './pass-speeds.ts'
import { placeTasks, type Assignment, type Candidate, type CountOnEndpoint, type PlacementOptions } from './placement.ts'
import type { PassView } from './plan-types.ts'
import type { ReadyWork } from './ready-work.ts'

/** How far the work has come on the ladder of places; each rung is used only if the earlier ones have no room. */
export interface LadderOptions {
  readonly acceptFar: boolean
  /** Use endpoints that are kept for suspects of other jobs. */
  readonly useKept: boolean
  /** Use endpoints that are suspect themselves, those with the fewest failures first. */
  readonly useSuspects: boolean
  /** Use only endpoints of at least this speed; null for any. */
  readonly minSpeed?: number | null
  /** Endpoints that are used after all others of a rung. */
  readonly triedInVain: ReadonlySet<EndpointIncarnation>
}

/** Places as much of the work as fits on the first rung that has room. */
export const placeWork = (work: ReadyWork, pass: PassView, { acceptFar, useKept, useSuspects, minSpeed = null, triedInVain }: LadderOptions): Assignment[] => {
  const rungs = [
    work.isSuspect ? listUncrashed(work, pass) : [],
    pass.listCandidates(work),
    useKept ? pass.listServiceCandidates(work) : []
  ]
  for (const rung of rungs) {
    const candidates = pass.speeds.isUneven(work) ? listWithRoom(work, rung, minSpeed, pass) : rung
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

/** Most endpoints of a busy fleet are full; they are left out before the rest is divided by speed. */
const listWithRoom = ({ spec }: ReadyWork, candidates: readonly Candidate[], minSpeed: number | null, { speeds }: PassView): Candidate[] =>
  candidates.filter(({ endpoint, free }) => isSufficientFor(free, spec.resources) && (minSpeed === null || speeds.get(endpoint.life) >= minSpeed))

const isPlacedTogether = ({ spec }: ReadyWork): boolean => spec.gang || spec.tightlyCoupled

/**
 * Work that has been tried in vain uses endpoints that have answered of late first, and those where it was tried last;
 * among them the order is by speed. Each tier of work that is placed together includes the earlier ones.
 */
const listTiers = (work: ReadyWork, candidates: readonly Candidate[], triedInVain: ReadonlySet<EndpointIncarnation>, { fleet, speeds }: PassView): SpeedTier[] => {
  if (candidates.length === 0) return []
  const toTiers = (members: readonly Candidate[]): SpeedTier[] => isPlacedTogether(work) ? joinTiers(speeds.listTiers(work, members)) : speeds.listTiers(work, members)
  if (triedInVain.size === 0) return toTiers(candidates)
  const getTier = ({ endpoint }: Candidate): number => triedInVain.has(endpoint.life) ? 2 : fleet.hasAnswered(endpoint) ? 0 : 1
  return [0, 1, 2].flatMap((tier) => toTiers(candidates.filter((candidate) => isPlacedTogether(work) ? getTier(candidate) <= tier : getTier(candidate) === tier)))
}

/** The first tier is not copied: on an even fleet it has all candidates, and there is no other. */
const joinTiers = (tiers: readonly SpeedTier[]): SpeedTier[] =>
  tiers.map(({ candidates }, i) => ({ candidates: i === 0 ? candidates : tiers.slice(0, i + 1).flatMap((tier) => tier.candidates), isExploratory: false }))

const placeOn = (work: ReadyWork, pass: PassView, tiers: readonly SpeedTier[], options: PlacementOptions): Assignment[] => {
  const assignments: Assignment[] = []
  const placeRest = (spec: StepSpec, candidates: readonly Candidate[], countOn: CountOnEndpoint): void => {
    const rest = work.indexes.slice(assignments.length)
    if (rest.length > 0) assignments.push(...placeTasks(spec, rest, candidates, countOn, options))
  }
  for (const { candidates, isExploratory } of tiers) {
    if (assignments.length > 0 && isPlacedTogether(work)) break
    // One task on each endpoint compares the most endpoints; a limit of the step's own is kept.
    if (isExploratory && work.spec.maxPerEndpoint === null) placeRest({ ...work.spec, maxPerEndpoint: 1 }, candidates, () => 0)
    placeRest(work.spec, candidates, pass.createCounter(work))
  }
  return assignments
}
