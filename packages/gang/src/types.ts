import type { EndpointId, ErrorBody, JobId } from '@ibisstair/common'
import type { Assignment, JobRequest, TaskAnswer } from '@ibisstair/model'

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
}

export type EndpointOperation = 'reserve' | 'arm' | 'start' | 'run' | 'checkpoint' | 'throttle' | 'stop' | 'ack'

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
  readonly answer?: unknown
  readonly error?: string
  readonly runMs?: number
}

export type GangEvent =
  | { readonly type: 'reply', readonly index: number, readonly operation: EndpointOperation, readonly result: CallResult }
  /** The domain group committed the start record, or did not. */
  | { readonly type: 'recorded', readonly ok: boolean, readonly error?: ErrorBody }
  /** From lease renewals and event polls. */
  | { readonly type: 'task', readonly index: number, readonly task: TaskView }
  /** The endpoint expired, restarted or lost the task. */
  | { readonly type: 'endpoint-lost', readonly endpointId: EndpointId }
  /** This process lost leadership: act no more, and stop renewing. */
  | { readonly type: 'deposed' }
  | { readonly type: 'cancel' }
  | { readonly type: 'preempt' }
  | { readonly type: 'throttle', readonly fraction: number }
  | { readonly type: 'timer' }

export type GangEffect =
  | { readonly type: 'call', readonly index: number, readonly operation: EndpointOperation, readonly fraction?: number }
  /** Commit the start record of a non-idempotent job before any start. */
  | { readonly type: 'record-start' }
  | { readonly type: 'wake', readonly atMs: number }
  | { readonly type: 'started' }
  /** Nothing ran and nothing holds slots any more; the job may be queued again. */
  | { readonly type: 'not-started', readonly refusedBy: readonly EndpointId[] }
  | { readonly type: 'finished', readonly result: GangResult }

export type GangResult =
  | { readonly state: 'done', readonly answers: readonly TaskAnswer[], readonly runMs: number }
  | { readonly state: 'failed', readonly failedBy: readonly EndpointId[], readonly error: ErrorBody }
  /** Idempotent jobs may be queued again; for others the outcome is `unknown`. */
  | { readonly state: 'lost', readonly lostEndpoints: readonly EndpointId[] }
  | { readonly state: 'cancelled', readonly everStarted: boolean }
  | { readonly state: 'preempted' }
  | { readonly state: 'deposed' }
