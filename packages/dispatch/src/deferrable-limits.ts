import { mustParseTaskId, type JobEntry, type SchedulingState } from '@ibisstair/jobs'
import type { Candidate } from './placement.ts'
import type { PassView } from './plan-types.ts'
import type { ReadyWork } from './ready-work.ts'
import { countPeakAccelerators, isRecurring, type UrgentDemand } from './urgent-demand.ts'

/**
 * Limits on deferrable work: its budget, and the reserve that it leaves free. The load: deferrable work fills a fleet, and
 * urgent gangs wait until runs that were stopped for them have ended.
 */

/** Work with this or a higher priority number is deferred in favour of expected urgent work. */
const DEFERRABLE_PRIORITY = 2

/** Share of the fleet's accelerators that deferrable work gets regardless of other expected or waiting work. */
const DEFERRABLE_SHARE = 0.25

/** Share of the expected urgent work that is kept free; preemption covers the rest. */
const RESERVE_SHARE = 0.8

/**
 * The same while stops are limited. Urgent gangs need whole racks, so that free accelerators in several racks often hold none
 * of them.
 */
const LIMITED_RESERVE_SHARE = 1.6

/** Least share of the fleet that is kept free for unforeseen urgent work. */
const MIN_RESERVE_SHARE = 0.1

export const isDeferrable = ({ policy }: JobEntry): boolean => policy.priority >= DEFERRABLE_PRIORITY

const sumTotalAccelerators = (candidates: readonly Candidate[]): number =>
  candidates.reduce((sum, { endpoint }) => sum + endpoint.capacity.accelerators, 0)

export const sumFreeAccelerators = (candidates: readonly Candidate[]): number =>
  candidates.reduce((sum, { free }) => sum + Math.max(0, free.accelerators), 0)

/** Returns the accelerators of a task of the job's most demanding step: steps of a job run one after the other. */
const getMostPerTask = ({ spec }: JobEntry): number => Math.max(...spec.steps.map(({ resources }) => resources.accelerators))

/** Estimates the accelerators that deferrable runs occupy in drained failure domains, whose capacity does not count. */
const countOccupiedInDrained = ({ domainDrains, endpoints, jobs }: SchedulingState): number => {
  if (domainDrains.drainedCount === 0) return 0
  let occupied = 0
  for (const { life, domain } of endpoints.list()) {
    if (!domainDrains.isDrained(domain)) continue
    for (const task of jobs.listRuns(life).keys()) {
      const job = jobs.get(mustParseTaskId(task).job)!
      if (isDeferrable(job)) occupied += getMostPerTask(job)
    }
  }
  return occupied
}

/** Returns how many accelerators of its share of the fleet deferrable work may still occupy. */
export const getDeferrableBudget = (state: SchedulingState, candidates: readonly Candidate[]): number => {
  let budget = DEFERRABLE_SHARE * sumTotalAccelerators(candidates) + countOccupiedInDrained(state)
  for (const job of state.jobs.listActive()) if (isDeferrable(job)) budget -= job.activeRuns * getMostPerTask(job)
  return budget
}

/** Returns the accelerators to keep free for expected urgent work, which would otherwise wait for victims to end. */
export const getReserve = (pass: PassView, demand: UrgentDemand): number => {
  const { state, nowMs, candidates, policy } = pass
  let running = 0
  for (const job of state.jobs.listActive()) {
    demand.begin(nowMs)
    if (!isRecurring(job)) continue
    demand.recordArrival(job, pass)
    if (job.activeRuns > 0) running += countPeakAccelerators(job)
  }
  const share = policy.limitPreemption ? LIMITED_RESERVE_SHARE : RESERVE_SHARE
  const expected = Math.max(share * demand.getAccelerators(nowMs), MIN_RESERVE_SHARE * sumTotalAccelerators(candidates))
  return Math.max(0, expected - running)
}

/** Limits the work to the tasks that the accelerators allow; null when that is no task, or not the whole gang. */
export const limitToAccelerators = (work: ReadyWork, accelerators: number): ReadyWork | null => {
  const perTask = work.spec.resources.accelerators
  const maxTasks = perTask === 0 ? Infinity : Math.floor(accelerators / perTask)
  if (maxTasks >= work.indexes.length) return work
  if (maxTasks <= 0 || work.spec.gang) return null
  return { ...work, indexes: work.indexes.slice(0, maxTasks) }
}
