import type { JobId, TaskId } from '@ibisstair/common'
import type { JobMetadata } from '@ibisstair/model'
import type { TaskView } from '@ibisstair/gang'

/** Body of `reserve`; `run` adds the payload and the lease. */
export interface ReserveBody {
  readonly incarnation: number
  readonly jobId: JobId
  readonly attempt: number
  readonly index: number
  readonly tasks: number
  readonly slots: number
  readonly accelerators: number
  readonly reservationMs: number
  readonly job: JobMetadata
}

export interface RunBody extends ReserveBody {
  readonly leaseMs: number
  readonly payload: unknown
}

/** Answer to every operation on a task. */
export interface OperationAnswer {
  readonly status: 'ok' | 'refused'
  readonly reason?: string
  readonly task?: TaskView
}

/** A task with what a new leader needs to adopt it. */
export interface ListedTask {
  readonly taskId: TaskId
  readonly jobId: JobId
  readonly attempt: number
  readonly index: number
  readonly tasks: number
  readonly job: JobMetadata
  readonly task: TaskView
}

export interface LeasesAnswer {
  readonly incarnation: number
  readonly tasks: Readonly<Record<string, TaskView>>
  readonly usage: { readonly acceleratorsBusy: number, readonly lagMs: number }
}

export interface EventsAnswer {
  readonly incarnation: number
  /** Finished tasks that were not acknowledged yet. */
  readonly finished: ReadonlyArray<{ readonly taskId: TaskId, readonly task: TaskView }>
}

export interface TasksAnswer {
  readonly incarnation: number
  readonly tasks: readonly ListedTask[]
}
