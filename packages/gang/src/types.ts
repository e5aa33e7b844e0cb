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
  /** How long ago a recorded gang can have been started at most; absent means unknown. */
  readonly ageMs?: number
}

export type GangEvent =
  | { readonly type: 'reply', readonly index: number, readonly operation: EndpointOperation, readonly result: CallResult }
  /** The domain group committed the start record, or did not. */
  | { readonly type: 'recorded', readonly ok: boolean, readonly error?: ErrorBody }
  /** From lease renewals and event polls. */
  /** `requestedAtMs`: when the answered request was sent, by the clock of `handle`; absent means with the last renewal. */
  | { readonly type: 'task', readonly index: number, readonly task: TaskView, readonly requestedAtMs?: number }
  /** The endpoint expired, restarted or lost the task. */
  | { readonly type: 'endpoint-lost', readonly endpointId: EndpointId }
  /** This process lost leadership: act no more, and stop renewing. */
  | { readonly type: 'deposed' }
  | { readonly type: 'cancel' }
  | { readonly type: 'preempt' }
  | { readonly type: 'throttle', readonly fraction: number }
  /** The result is kept elsewhere, so the endpoints may discard their answers. */
  | { readonly type: 'delivered' }
  /** Also the first event of a new gang. */
  | { readonly type: 'timer' }

export type GangEffect =
  | { readonly type: 'call', readonly index: number, readonly operation: EndpointOperation, readonly fraction?: number, readonly leaseMs?: number }
  /** Commit the start record of a non-idempotent job before any start. */
  | { readonly type: 'record-start' }
  /** Replaces the previous wake. */
  | { readonly type: 'wake', readonly atMs: number }
  | { readonly type: 'started' }
  /**
   * Nothing ran, and nothing holds slots any more except, until their reservation ends, endpoints of
   * `refusedBy` that do not answer; the job may be queued again.
   */
  | { readonly type: 'not-started', readonly refusedBy: readonly EndpointId[], readonly error?: ErrorBody }
  | { readonly type: 'finished', readonly result: GangResult }

export type GangResult =
  | { readonly state: 'done', readonly answers: readonly TaskAnswer[], readonly runMs: number }
  | { readonly state: 'failed', readonly failedBy: readonly EndpointId[], readonly error: ErrorBody }
  /** Idempotent work that may be queued again. */
  | { readonly state: 'lost', readonly lostEndpoints: readonly EndpointId[] }
  /** Non-idempotent work that may have run, wholly or in part. */
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
  /** The result is out and waits for `delivered`. */
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
  /** For `adopt`: when the endpoints were asked for the views, by the clock of `handle`; absent means at the first event. */
  readonly requestedAtMs?: number
  /** Switches a protection off, so that a test can show what it prevents. */
  readonly testOverrides?: Partial<Record<GangProtection, boolean>>
}
