import type { EndpointId, JobId, TaskId } from '@ibisstair/common'
import type { JobMetadata } from '@ibisstair/model'

export type EndpointOperation =
  'reserve' | 'arm' | 'start' | 'run' | 'checkpoint' | 'throttle' | 'stop' | 'ack' | 'query'

/** `unknown` means that no answer arrived, so the endpoint may or may not have executed the call. */
export type CallResult =
  | { readonly status: 'ok', readonly task?: TaskView }
  | { readonly status: 'refused', readonly reason: string, readonly task?: TaskView }
  | { readonly status: 'unknown' }

export type TaskPhase = 'reserved' | 'armed' | 'running' | 'done' | 'failed' | 'stopped' | 'expired' | 'absent'

/** A task as its endpoint reports it. */
export interface TaskView {
  readonly phase: TaskPhase
  /** Whether the task ever ran on this endpoint; distinguishes "not run" from "ran". */
  readonly everStarted: boolean
  /** Present only while the task is done and its answer is kept. */
  readonly answer?: unknown
  readonly error?: string
  readonly runMs?: number
  /** Whether the last requested checkpoint is complete. */
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
  /** The endpoint has dropped records of tasks of that age, so it cannot confirm that this one never started. */
  | 'forgotten'

/** What a reservation requests. The job metadata lets a new leader adopt the job. */
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
  /** The endpoint incarnation on which the sender placed the task; any other incarnation refuses the request. */
  readonly incarnation: number
} & (
  | { readonly operation: 'reserve', readonly grant: TaskGrant }
  | { readonly operation: 'arm', readonly payload: unknown }
  /** `leaseMs` shortens the first lease; a repeated start carries the remaining time of that lease. */
  | { readonly operation: 'start', readonly leaseMs?: number }
  | { readonly operation: 'run', readonly grant: TaskGrant, readonly payload: unknown }
  | { readonly operation: 'checkpoint' }
  | { readonly operation: 'throttle', readonly fraction: number }
  /** `ageMs` is an upper bound on the time since the task was started; absent means unbounded. */
  | { readonly operation: 'stop', readonly ageMs?: number }
  | { readonly operation: 'ack' }
  | { readonly operation: 'query' }
)

export interface TaskRenewal {
  readonly taskId: TaskId
  readonly incarnation: number
  /** The lease ends this long after the renewal is handled, or at its current end if that is later. */
  readonly termMs: number
}

/** What the endpoint's executor has to do. A killed task holds no capacity once the call returns. */
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

/** A task as an endpoint lists it to a new leader. */
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
  /** Disables protections, so that a test can show which failures they prevent. */
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
