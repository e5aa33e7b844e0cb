import { MAX_SUSPECT_AGE_MS, MIN_OUTSIDE_CRASHES, MIN_OUTSIDE_SHARE, SMALL_FLEET_OUTSIDE_CRASHES, SMALL_FLEET_OUTSIDE_SHARE, START_WINDOW_MS } from './constants.ts'
import type { Blame, CrashedRun } from './types.ts'

const hasJustStarted = ({ ranMs }: CrashedRun): boolean => ranMs !== null && ranMs <= START_WINDOW_MS

/** Returns how many other endpoints must crash at the same time for the cause to lie outside them. */
const getMinOutsideCrashes = (endpoints: number): number => {
  const inSmallFleet = Math.max(SMALL_FLEET_OUTSIDE_CRASHES, SMALL_FLEET_OUTSIDE_SHARE * endpoints)
  return Math.max(MIN_OUTSIDE_SHARE * endpoints, Math.min(MIN_OUTSIDE_CRASHES, inSmallFleet))
}

/**
 * Returns the blame of each run for the crash of the endpoint on which all of them were active.
 * The load pattern: a task crashes its endpoint when it starts, beside tasks that have run for a while.
 */
export const assignBlame = (runs: readonly CrashedRun[], endpoints: number): Blame[] => {
  const jobsThatJustStarted = new Set(runs.filter(hasJustStarted).map(({ job }) => job))
  const minOutside = getMinOutsideCrashes(endpoints)
  return runs.map((run) => {
    if (run.crashesElsewhere >= minOutside) return 'outside'
    if (hasJustStarted(run)) return jobsThatJustStarted.size === 1 ? 'sole' : 'shared'
    if (jobsThatJustStarted.size > 0 || (run.ranMs ?? 0) > MAX_SUSPECT_AGE_MS) return 'bystander'
    return 'possible'
  })
}
