import type { TaskId } from '@ibisstair/common'
import type { TaskListing, TaskView } from '@ibisstair/endpoint-tasks'

/** Answer to a batch of lease renewals; the views are in the order of the renewals. */
export interface LeasesAnswer {
  readonly incarnation: number
  readonly views: readonly TaskView[]
  readonly usage: { readonly acceleratorsBusy: number, readonly lagMs: number }
}

export interface FinishedTask {
  readonly taskId: TaskId
  readonly view: TaskView
}

/** Tasks that finished after the cursor of the request and are not acknowledged yet. */
export interface EventsAnswer {
  readonly incarnation: number
  readonly cursor: number
  readonly finished: readonly FinishedTask[]
}

export interface TasksAnswer {
  readonly incarnation: number
  readonly tasks: readonly TaskListing[]
}
