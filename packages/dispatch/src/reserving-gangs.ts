import { addResources, mustParseTaskId, NO_RESOURCES, subtractResources, type EndpointIncarnation, type Resources } from '@ibisstair/jobs'
import { placeTasks, type Candidate } from './placement.ts'
import type { PassView } from './plan-types.ts'
import { estimateChainMs, type ReadyWork } from './ready-work.ts'
import { isDeferrable } from './deferrable-limits.ts'

/**
 * The choice of the gangs for which capacity is reserved. The load: small work that takes all capacity that becomes free, so
 * that a gang which needs much of it at once never starts.
 */

/** Number of waiting gangs for which capacity is reserved at a time. */
const MAX_RESERVING_GANGS = 3

/** A gang that has waited for this multiple of its objective starves: smaller work has taken all capacity that became free. */
const STARVING_WAIT_OBJECTIVES = 3

const isReserving = ({ job, spec }: ReadyWork): boolean => spec.gang && job.policy.priority > 0

/** Returns how long the job has waited, as a multiple of its objective. */
const getRelativeWait = ({ job }: ReadyWork, { wallMs, history }: PassView): number =>
  (wallMs - job.acceptedAtMs) / (job.policy.targetLatencyMs + job.policy.stretch * estimateChainMs(job, history))

const findLongestWaiting = (gangs: readonly ReadyWork[], pass: PassView): ReadyWork =>
  gangs.reduce((best, gang) => getRelativeWait(gang, pass) > getRelativeWait(best, pass) ? gang : best)

/** Returns the resources of long-running tasks on the endpoint: waiting for them frees nothing. */
const sumLongRunning = ({ jobs }: PassView['state'], endpoint: EndpointIncarnation): Resources => {
  let sum = NO_RESOURCES
  for (const task of jobs.listRuns(endpoint).keys()) {
    const { job, step } = mustParseTaskId(task)
    const { longRunning, resources } = jobs.get(job)!.spec.steps[step]!
    if (longRunning) sum = addResources(sum, resources)
  }
  return sum
}

/** Whether the gang fits once all runs that end by themselves have ended. */
const couldFit = (work: ReadyWork, pass: PassView): boolean => {
  const { spec, indexes } = work
  const idle = pass.listServiceCandidates(work).map(({ endpoint, penalty }): Candidate => ({ endpoint, free: subtractResources(endpoint.capacity, sumLongRunning(pass.state, endpoint.life)), penalty }))
  return placeTasks(spec, indexes, idle, () => 0, { acceptFar: true }).length === indexes.length
}

/**
 * Returns the gang, not deferrable, that has waited longest relative to its objective if it starves; null if none does, or
 * if long-running tasks leave no room for it, so that a reservation would keep others out in vain.
 */
export const findStarvingGang = (ready: readonly ReadyWork[], pass: PassView): ReadyWork | null => {
  if (!pass.policy.fairShares) return null
  const starving = ready.filter((work) => isReserving(work) && !isDeferrable(work.job) && getRelativeWait(work, pass) >= STARVING_WAIT_OBJECTIVES)
  if (starving.length === 0) return null
  const longest = findLongestWaiting(starving, pass)
  return couldFit(longest, pass) ? longest : null
}

/**
 * Returns the waiting gangs for which capacity is reserved, `waiting` being in the order of the pass. With fair shares the
 * last place is that of the gang that has waited longest relative to its objective, so that no order starves a large gang.
 */
export const selectReservingGangs = (waiting: readonly ReadyWork[], pass: PassView): readonly ReadyWork[] => {
  const gangs = waiting.filter(isReserving)
  const first = gangs.slice(0, MAX_RESERVING_GANGS)
  if (!pass.policy.fairShares || gangs.length <= MAX_RESERVING_GANGS) return first
  const longest = findLongestWaiting(gangs, pass)
  return first.includes(longest) ? first : [...first.slice(0, -1), longest]
}
