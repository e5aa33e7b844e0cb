import type { JobEntry, SchedulingState } from '@ibisstair/jobs'
import type { Candidate } from './placement.ts'
import type { ReadyWork } from './ready-work.ts'
import { countNeed, type UrgentDemand } from './urgent-demand.ts'

/** Work of this priority and above gives way to expected urgent work. */
const DEFERRABLE_PRIORITY = 2

/** Share of the fleet's accelerators that deferrable work gets whatever else is expected or waits. */
const DEFERRABLE_SHARE = 0.25

/** Share of the expected urgent work that is kept free; preemption covers the rest. */
const RESERVE_SHARE = 0.8

/** Share of the fleet that is kept free for urgent work of which nothing is known yet. */
const MIN_RESERVE_SHARE = 0.1

export const isDeferrable = ({ spec }: JobEntry): boolean => spec.priority >= DEFERRABLE_PRIORITY

const sumCapacity = (candidates: readonly Candidate[]): number =>
  candidates.reduce((sum, { endpoint }) => sum + endpoint.capacity.accelerators, 0)

export const sumFree = (candidates: readonly Candidate[]): number =>
  candidates.reduce((sum, { free }) => sum + Math.max(0, free.accelerators), 0)

/** Accelerators that the job occupies, about: steps of one job run one after the other. */
const countOccupied = (job: JobEntry): number =>
  job.activeRuns * Math.max(...job.spec.steps.map(({ resources }) => resources.accelerators))

/** Accelerators that deferrable work may still take of its share of the fleet. */
export const getDeferrableRoom = (state: SchedulingState, candidates: readonly Candidate[]): number => {
  let room = DEFERRABLE_SHARE * sumCapacity(candidates)
  for (const job of state.jobs.listActive()) if (isDeferrable(job)) room -= countOccupied(job)
  return room
}

/** Accelerators to keep free for urgent work that is expected: it would have to wait for victims to end. */
export const getReserve = (state: SchedulingState, demand: UrgentDemand, nowMs: number, candidates: readonly Candidate[]): number => {
  let running = 0
  for (const job of state.jobs.listActive()) {
    demand.note(job, nowMs)
    if (job.spec.priority === 0 && job.activeRuns > 0) running += countNeed(job)
  }
  const expected = Math.max(RESERVE_SHARE * demand.getAccelerators(nowMs), MIN_RESERVE_SHARE * sumCapacity(candidates))
  return Math.max(0, expected - running)
}

/** As many single tasks as the accelerators allow; null when that is none, or not the whole gang. */
export const limitTo = (work: ReadyWork, accelerators: number): ReadyWork | null => {
  const perTask = work.spec.resources.accelerators
  const room = perTask === 0 ? Infinity : Math.floor(accelerators / perTask)
  if (room >= work.indexes.length) return work
  if (room <= 0 || work.spec.gang) return null
  return { ...work, indexes: work.indexes.slice(0, room) }
}
