import type { EndpointId, JobId, TaskId } from '@ibisstair/common'
import type { JobMetadata } from '@ibisstair/model'

export type EndpointOperation =
  'reserve' | 'arm' | 'start' | 'run' | 'checkpoint' | 'throttle' | 'stop' | 'ack' | 'query'

/** `unknown`: no answer, so the endpoint may or may not have acted. */
export type CallResult =
  | { readonly status: 'ok', readonly task?: TaskView }
  | { readonly status: 'refused', readonly reason: string, readonly task?: TaskView }
  | { readonly status: 'unknown' }

export type TaskPhase = 'reserved' | 'armed' | 'running' | 'done' | 'failed' | 'stopped' | 'expired' | 'absent'

/** A task as its endpoint reports it. */
export interface TaskView {
  readonly phase: TaskPhase
  /** Whether the task ever ran on this endpoint; decides between "not run" and "ran". */
  readonly everStarted: boolean
  /** Present exactly when the task is done and the answer is still kept. */
  readonly answer?: unknown
  readonly error?: string
  readonly runMs?: number
  /** The last requested checkpoint is complete. */
  readonly checkpointed?: boolean
}

export type RefusalReason =
  | 'wrong-incarnation'
  | 'leaving'
  | 'no-capacity'
  | 'not-reserved'
  | 'not-armed'
  | 'not-running'
  | 'ended'
  | 'results-full'
  | 'fences-full'
  /** The endpoint has dropped records of tasks that old; it cannot say that this one never started. */
  | 'forgotten'

/** What a reservation asks for. Its metadata lets a new leader adopt the job. */
export interface TaskGrant {
  readonly jobId: JobId
  readonly attempt: number
  readonly index: number
  readonly reservationMs: number
  readonly leaseMs: number
  readonly request: JobMetadata
}

export type TaskRequest = {
  readonly taskId: TaskId
  /** The incarnation that the sender placed the task on; any other refuses. */
  readonly incarnation: number
} & (
  | { readonly operation: 'reserve', readonly grant: TaskGrant }
  | { readonly operation: 'arm', readonly payload: unknown }
  /** `leaseMs` shortens the first lease; a repeated start carries what remains of it. */
  | { readonly operation: 'start', readonly leaseMs?: number }
  | { readonly operation: 'run', readonly grant: TaskGrant, readonly payload: unknown }
  | { readonly operation: 'checkpoint' }
  | { readonly operation: 'throttle', readonly fraction: number }
  /** `ageMs` bounds how long ago the task can have been started; absent means unbounded. */
  | { readonly operation: 'stop', readonly ageMs?: number }
  | { readonly operation: 'ack' }
  | { readonly operation: 'query' }
)

export interface TaskRenewal {
  readonly taskId: TaskId
  readonly incarnation: number
  /** The lease ends this long after the renewal is handled, or when it already ends, whichever is later. */
  readonly termMs: number
}

/** What the executor of the endpoint does. A killed task holds no capacity after the call returns. */
export type TaskEffect =
  | { readonly type: 'execute', readonly taskId: TaskId, readonly grant: TaskGrant, readonly payload: unknown, readonly accelerators: readonly number[] }
  | { readonly type: 'kill', readonly taskId: TaskId }
  | { readonly type: 'checkpoint', readonly taskId: TaskId }
  | { readonly type: 'throttle', readonly taskId: TaskId, readonly fraction: number }

export interface TaskResponse {
  readonly result: CallResult
  readonly effects: readonly TaskEffect[]
}

export type TaskOutcome =
  | { readonly state: 'done', readonly answer: unknown }
  | { readonly state: 'failed', readonly error: string }

/** One task as a new leader finds it when it polls the endpoint. */
export interface TaskListing {
  readonly taskId: TaskId
  readonly grant: TaskGrant
  readonly view: TaskView
}

export interface TaskTableOptions {
  readonly endpointId: EndpointId
  readonly incarnation: number
  readonly slots: number
  readonly accelerators: number
  readonly maxEnded?: number
  readonly endedTtlMs?: number
  readonly maxUnacknowledged?: number
  readonly maxUnacknowledgedBytes?: number
  readonly unacknowledgedTtlMs?: number
  /** Switches a protection off, so that a test can show what it prevents. */
  readonly testOverrides?: Partial<Record<TaskTableProtection, boolean>>
}

export type TaskTableProtection = 'noFence' | 'noIncarnation' | 'noReservationExpiry' | 'noLease' | 'noMemory'

export interface TaskTableStats {
  readonly freeSlots: number
  readonly freeAccelerators: number
  readonly live: number
  readonly ended: number
  readonly unacknowledged: number
  readonly refused: number
  readonly expired: number
  readonly forgotten: number
}
