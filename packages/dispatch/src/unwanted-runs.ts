import type { TaskId } from '@ibisstair/common'
import { mustParseTaskId, type ActiveRun, type JobEntry, type SchedulingState } from '@ibisstair/jobs'

/** Members of a completed gang report their end at about the same time; they are stopped only after this time. */
const GANG_COMPLETION_GRACE_MS = 700

/** Finds the active runs that are to be stopped: those whose job or task has ended, and the rest of a gang that lost a member. */
export class UnwantedRuns {
  readonly #state: SchedulingState
  readonly #sinceMs = new Map<TaskId, number>()

  constructor (state: SchedulingState) {
    this.#state = state
  }

  /** Whether the run was unwanted when the runs were last listed. */
  has (task: TaskId): boolean {
    return this.#sinceMs.has(task)
  }

  /** Returns the runs to stop now. */
  listDue (nowMs: number): ActiveRun[] {
    const unwanted = this.#listUnwanted()
    const tasks = new Set(unwanted.map(({ task }) => task))
    for (const task of this.#sinceMs.keys()) if (!tasks.has(task)) this.#sinceMs.delete(task)
    return unwanted.filter((run) => {
      const sinceMs = this.#sinceMs.get(run.task) ?? nowMs
      this.#sinceMs.set(run.task, sinceMs)
      return !this.#isOfCompletedGang(run) || nowMs - sinceMs >= GANG_COMPLETION_GRACE_MS
    })
  }

  #listUnwanted (): ActiveRun[] {
    const { jobs } = this.#state
    return [...jobs.listOccupiedEndpoints()].flatMap((endpoint) => [...jobs.listRuns(endpoint).values()]).filter((run) => {
      const { job: id, occurrence, step, index } = mustParseTaskId(run.task)
      const job = jobs.get(id)!
      return !job.isRunWanted(occurrence, step, index) || isBrokenGang(job, occurrence, step)
    })
  }

  #isOfCompletedGang ({ task }: ActiveRun): boolean {
    const { job: id, step } = mustParseTaskId(task)
    const job = this.#state.jobs.get(id)!
    return job.state !== 'cancelled' && job.state !== 'failed' && job.spec.steps[step]!.gang
  }
}

const isBrokenGang = (job: JobEntry, occurrence: number, step: number): boolean => {
  const { gang, count } = job.spec.steps[step]!
  return gang && job.getOccurrence(occurrence).steps[step]!.activeTasks < count
}
