import { mustParseTaskId, type ActiveRun, type SchedulingState } from '@ibisstair/jobs'

/** A task, or a gang, is stopped at most this often for work beyond a guarantee; then it runs to its end. */
const MAX_STOPS = 3

/**
 * Whether a run, and the others of its gang, may no longer be stopped for work beyond a guarantee. The load: urgent gangs in a
 * burst stop lower work, which starts again in the same place and is stopped again by the next gang. Earlier runs that ended
 * without a failure count as stops. They are in the replicated state, so that a new leader continues to count; a lost run
 * counts, too, as its work was lost as well. A long-running task is not protected, since it has no end to run to.
 */
export const isProtected = ({ jobs }: SchedulingState, { task, run }: ActiveRun): boolean => {
  if (run <= MAX_STOPS) return false
  const { job: id, occurrence, step, index } = mustParseTaskId(task)
  const job = jobs.get(id)!
  const { gang, longRunning } = job.spec.steps[step]!
  if (longRunning) return false
  const entry = job.getOccurrence(occurrence).steps[step]!
  const { failedRuns } = gang ? entry : entry.tasks[index]!
  return run - 1 - failedRuns.length >= MAX_STOPS
}
