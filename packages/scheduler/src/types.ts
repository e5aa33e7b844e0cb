import type { EndpointId, ErrorKind, JobId } from '@ibisstair/common'
import type { Assignment, DomainShare, EndpointInfo, JobMetadata } from '@ibisstair/model'

export interface TaskReport {
  readonly index: number
  readonly endpointId: EndpointId
  readonly ok: boolean
  readonly runMs: number
}

/** How a job ended: `lost` means that an endpoint became unreachable, which is not the fault of the job. */
export type FinishResult = 'ok' | 'failed' | 'lost' | 'cancelled' | 'preempted'

export type SchedulerEvent =
  | { readonly type: 'config', readonly share: DomainShare }
  /** A new, changed, leaving or restarted endpoint. */
  | { readonly type: 'endpoint-up', readonly endpoint: EndpointInfo }
  | { readonly type: 'endpoint-down', readonly endpointId: EndpointId }
  /** The process of the endpoint has ended without notice, and another one has taken its place. */
  | { readonly type: 'endpoint-restarted', readonly endpointId: EndpointId }
  | { readonly type: 'submit', readonly jobId: JobId, readonly job: JobMetadata }
  | { readonly type: 'cancel', readonly jobId: JobId }
  /** A gang that a previous leader started and that this one renews. */
  | { readonly type: 'adopt', readonly jobId: JobId, readonly job: JobMetadata, readonly assignments: readonly Assignment[] }
  | { readonly type: 'started', readonly jobId: JobId }
  /** The gang could not be started as a whole; its slots are free and the job is queued again. */
  | { readonly type: 'start-failed', readonly jobId: JobId, readonly refusedBy: readonly EndpointId[] }
  /** The job no longer holds slots. */
  | { readonly type: 'finished', readonly jobId: JobId, readonly result: FinishResult, readonly tasks: readonly TaskReport[] }
  /** Accelerators in use as the endpoint measured them `lagMs` ago. */
  | { readonly type: 'usage', readonly endpointId: EndpointId, readonly acceleratorsBusy: number, readonly lagMs: number }
  | { readonly type: 'tick' }

export type Decision =
  | { readonly type: 'place', readonly jobId: JobId, readonly attempt: number, readonly assignments: readonly Assignment[], readonly rule: string }
  | { readonly type: 'refuse', readonly jobId: JobId, readonly kind: ErrorKind, readonly detail: string, readonly retryAfterMs?: number }
  /** Checkpoint, then stop after the grace period; `finished` with `preempted` follows. */
  | { readonly type: 'preempt', readonly jobId: JobId, readonly beneficiary: JobId, readonly rule: string }
  /** Limits a running job to this fraction of its speed; 1 lifts the limit. */
  | { readonly type: 'throttle', readonly jobId: JobId, readonly fraction: number, readonly rule: string }
  /** Stop a running job (cancellation of running work). */
  | { readonly type: 'stop', readonly jobId: JobId, readonly rule: string }

export interface Explanation {
  readonly jobId: JobId
  readonly state: 'queued' | 'starting' | 'running' | 'finished' | 'unknown'
  /** The rules that decided about the job, oldest first, with the numbers they used. */
  readonly steps: readonly ExplanationStep[]
}

export interface ExplanationStep {
  readonly atMs: number
  readonly rule: string
  readonly numbers: Readonly<Record<string, number | string>>
}

/** Decides for one failure domain. Holds state, performs no I/O: time comes in with each event. */
export interface DomainScheduler {
  handle (event: SchedulerEvent, nowMs: number): Decision[]
  explain (jobId: JobId): Explanation
  getStats (): SchedulerStats
}

export interface SchedulerStats {
  readonly queued: number
  readonly running: number
  readonly freeAccelerators: number
  readonly totalAccelerators: number
  readonly freeSlots: number
  readonly quarantined: number
  /** Times at which so many workers became suspect at once that none was quarantined. */
  readonly massSuspicions?: number
}
