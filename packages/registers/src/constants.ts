import { MAX_JOB_ANSWER_BYTES } from '@ibisstair/model'

/** About two days of changes at the projected rate of 2,200 a day. */
export const MAX_ACCEPTED_CHANGE_IDS = 4096
/** Limited separately from accepted ids, so that a flood of refused changes evicts no accepted id. */
export const MAX_REFUSED_CHANGE_IDS = 1024

/** Limit of the job records of one failure domain. */
export const MAX_JOB_RECORDS = 10_000
/** The start record of a gang of 128 tasks takes about 14 KB, so a limit on the count alone would not bound the memory. */
export const MAX_START_BYTES = 8 * 1024 * 1024
/** How long a record is kept after its outcome was recorded. */
export const OUTCOME_RETENTION_MS = 24 * 3600 * 1000
/**
 * Above this limit starts are refused, but outcomes of started jobs are always recorded. Encoding a
 * snapshot holds the answers in memory two more times.
 */
export const MAX_ANSWER_BYTES = 8 * 1024 * 1024
/** Twice the limit on a job's answers, because re-encoding can lengthen numbers and escape sequences. */
export const MAX_OUTCOME_BYTES = 2 * MAX_JOB_ANSWER_BYTES
/**
 * Limit by which one command advances the register's clock. It bounds the error that a new leader
 * with a wrong wall clock adds. After longer idle times, outcomes are kept longer.
 */
export const MAX_CLOCK_STEP_MS = 600_000
/** Minimum `retryAfterMs` of a refusal, also used when no outcome will expire. */
export const DEFAULT_RETRY_AFTER_MS = 5000
