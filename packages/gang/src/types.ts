import type { EndpointId, ErrorBody, JobId, TaskId } from '@ibisstair/common'
import type { CallResult, EndpointOperation, TaskView } from '@ibisstair/endpoint-tasks'
import type { Assignment, JobRequest, TaskAnswer } from '@ibisstair/model'

export type { CallResult, EndpointOperation, TaskPhase, TaskView } from '@ibisstair/endpoint-tasks'

export interface GangSpec {
  readonly jobId: JobId
  readonly attempt: number
  readonly request: JobRequest
  readonly assignments: readonly Assignment[]
  readonly leaseMs: number
  readonly reservationMs: number
  readonly checkpointGraceMs: number
  /** Deadline of one call to an endpoint. */
  readonly callMs: number
  /** Upper bound on the time since a recorded gang was started; absent means unknown. */
  readonly ageMs?: number
}

export type GangEvent =
  | { readonly type: 'reply', readonly index: number, readonly operation: EndpointOperation, readonly result: CallResult }
  /** Whether the domain group committed the start record. */
  | { readonly type: 'recorded', readonly ok: boolean, readonly error?: ErrorBody }
  /**
   * A task view from a lease renewal or an event poll. `requestedAtMs` is when the request was sent, by the
   * clock of `handle`; absent means the time of the last renewal.
   */
  | { readonly type: 'task', readonly index: number, readonly task: TaskView, readonly requestedAtMs?: number }
  /** The endpoint expired, restarted or lost the task. */
  | { readonly type: 'endpoint-lost', readonly endpointId: EndpointId }
  /** This process lost leadership: the gang makes no more calls and renews no leases. */
  | { readonly type: 'deposed' }
  | { readonly type: 'cancel' }
  | { readonly type: 'preempt' }
  | { readonly type: 'throttle', readonly fraction: number }
  /** The result is stored elsewhere, so the endpoints may discard their answers. */
  | { readonly type: 'delivered' }
  /** Also the first event of a new gang. */
  | { readonly type: 'timer' }

export type GangEffect =
  | { readonly type: 'call', readonly index: number, readonly operation: EndpointOperation, readonly fraction?: number, readonly leaseMs?: number }
  /** Commit the start record of a non-idempotent job before any start. */
  | { readonly type: 'record-start' }
  /** Requests a `timer` event at `atMs`; replaces the previous wake. */
  | { readonly type: 'wake', readonly atMs: number }
  | { readonly type: 'started' }
  /**
   * No task ran, and the job may be queued again. All slots are free, except that endpoints of `refusedBy`
   * that do not answer may hold theirs until the reservation expires.
   */
  | { readonly type: 'not-started', readonly refusedBy: readonly EndpointId[], readonly error?: ErrorBody }
  | { readonly type: 'finished', readonly result: GangResult }

export type GangResult =
  | { readonly state: 'done', readonly answers: readonly TaskAnswer[], readonly runMs: number }
  | { readonly state: 'failed', readonly failedBy: readonly EndpointId[], readonly error: ErrorBody }
  /** Idempotent work that may be queued again. */
  | { readonly state: 'lost', readonly lostEndpoints: readonly EndpointId[] }
  /** Non-idempotent work that may have run completely or in part. */
  | { readonly state: 'unknown', readonly lostEndpoints: readonly EndpointId[], readonly error: ErrorBody }
  /** `everStarted` is false only when every member is known never to have started. */
  | { readonly state: 'cancelled', readonly everStarted: boolean }
  | { readonly state: 'preempted' }
  | { readonly state: 'deposed' }

export type GangPhase =
  | 'new'
  | 'reserving'
  | 'arming'
  | 'recording'
  | 'starting'
  | 'querying'
  | 'running'
  | 'checkpointing'
  | 'stopping'
  /** The result is reported, and the gang waits for `delivered`. */
  | 'reported'
  | 'acknowledging'
  | 'closed'

/** One running member whose lease the owner has to renew, and the term to grant. */
export interface LeaseRenewal {
  readonly index: number
  readonly taskId: TaskId
  readonly endpointId: EndpointId
  readonly incarnation: number
  readonly termMs: number
}

export type GangProtection =
  | 'noArmBarrier'
  | 'noRecord'
  | 'noStartRetry'
  | 'noStopOnLoss'
  | 'noCoupledLeases'
  | 'noStopProof'
  | 'noDepose'
  | 'noRecordDeadline'

export interface GangOptions {
  /** For `adopt`: when the views were requested from the endpoints, by the clock of `handle`; absent means at the first event. */
  readonly requestedAtMs?: number
  /** Disables protections, so that a test can show which failures they prevent. */
  readonly testOverrides?: Partial<Record<GangProtection, boolean>>
}
