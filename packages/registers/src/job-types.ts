import type { CustomerId, ErrorBody, JobId, RequestKey } from '@ibisstair/common'
import type { Assignment, JobMetadata, JobOutcome } from '@ibisstair/model'

export interface RecordStart {
  readonly type: 'record-start'
  readonly customer: CustomerId
  readonly key: RequestKey
  readonly jobId: JobId
  readonly attempt: number
  /** From `fingerprintRequest` of the model. */
  readonly fingerprint: string
  readonly metadata: JobMetadata
  readonly assignments: readonly Assignment[]
  /** Wall clock of the proposer: the clocks behind `now()` of two leaders cannot be compared. */
  readonly atMs: number
}

export interface RecordOutcome {
  readonly type: 'record-outcome'
  readonly customer: CustomerId
  readonly key: RequestKey
  readonly jobId: JobId
  readonly attempt: number
  readonly outcome: JobOutcome
  readonly atMs: number
}

/** The caller has received the outcome; its answers may be released when room is short. */
export interface Acknowledge {
  readonly type: 'acknowledge'
  readonly customer: CustomerId
  readonly key: RequestKey
  readonly jobId: JobId
  readonly atMs: number
}

export type JobCommand = RecordStart | RecordOutcome | Acknowledge

/** `released`: the work ran to its end and its answers were dropped after their acknowledgement. */
export type RecordedOutcome = JobOutcome | { readonly state: 'released' }

export interface JobRecord {
  readonly customer: CustomerId
  readonly key: RequestKey
  readonly jobId: JobId
  readonly attempt: number
  readonly fingerprint: string
  readonly metadata: JobMetadata
  readonly assignments: readonly Assignment[]
  /** Times of the register's clock, which follows the commands. */
  readonly startedAtMs: number
  readonly outcome?: RecordedOutcome
  readonly finishedAtMs?: number
  readonly acknowledged: boolean
  /** Encoded size of metadata and assignments. */
  readonly startBytes: number
  readonly answerBytes: number
}

/**
 * `exists`: the key already has a start or another outcome; nothing was changed, and the proposer
 * must not start the job. `recorded`: the command took effect, or had taken effect before for
 * outcomes and acknowledgements.
 */
export type JobResult =
  | { readonly status: 'recorded', readonly record: JobRecord }
  | { readonly status: 'exists', readonly record: JobRecord }
  | { readonly status: 'refused', readonly error: ErrorBody }

export interface JobRegisterStats {
  readonly records: number
  readonly withoutOutcome: number
  readonly startBytes: number
  readonly answerBytes: number
  readonly clockMs: number
}
