import type { CustomerId, ErrorBody, JobId, RequestKey } from '@ibisstair/common'
import type { Assignment, JobMetadata, JobOutcome } from '@ibisstair/model'

export interface RecordStart {
  readonly type: 'record-start'
  readonly customer: CustomerId
  readonly key: RequestKey
  readonly jobId: JobId
  readonly attempt: number
  /** Result of `fingerprintRequest` in the model package. */
  readonly fingerprint: string
  readonly metadata: JobMetadata
  readonly assignments: readonly Assignment[]
  /** Wall clock time of the proposer, because the `now()` times of two leaders cannot be compared. */
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

/** The caller has received the outcome, so its answers may be released to free space. */
export interface Acknowledge {
  readonly type: 'acknowledge'
  readonly customer: CustomerId
  readonly key: RequestKey
  readonly jobId: JobId
  readonly atMs: number
}

export type JobCommand = RecordStart | RecordOutcome | Acknowledge

/** `released`: the job ran to completion, and its answers were removed after they were acknowledged. */
export type RecordedOutcome = JobOutcome | { readonly state: 'released' }

export interface JobRecord {
  readonly customer: CustomerId
  readonly key: RequestKey
  readonly jobId: JobId
  readonly attempt: number
  readonly fingerprint: string
  readonly metadata: JobMetadata
  readonly assignments: readonly Assignment[]
  /** Time of the register's own clock, which advances with the `atMs` of commands; `finishedAtMs` too. */
  readonly startedAtMs: number
  readonly outcome?: RecordedOutcome
  readonly finishedAtMs?: number
  readonly acknowledged: boolean
  /** Encoded size of metadata and assignments. */
  readonly startBytes: number
  readonly answerBytes: number
}

/**
 * `exists`: the key already has a start or another outcome; nothing changed, and the proposer must
 * not start the job. `recorded`: the command took effect; for outcomes and acknowledgements also
 * when an earlier copy of it did.
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
