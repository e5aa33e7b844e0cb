import { MAX_JOB_ANSWER_BYTES } from '@ibisstair/model'

/** About two days of changes at the projected 2,200 a day. */
export const MAX_ACCEPTED_CHANGE_IDS = 4096
/** Separate from the accepted ones, so that a flood of refused changes evicts no accepted one. */
export const MAX_REFUSED_CHANGE_IDS = 1024

/** Records of one domain group. */
export const MAX_JOB_RECORDS = 10_000
/** The record of a gang of 128 takes about 14 KB, so that a count alone does not bound the memory. */
export const MAX_START_BYTES = 8 * 1024 * 1024
/** How long a key is remembered after its outcome was recorded. */
export const OUTCOME_RETENTION_MS = 24 * 3600 * 1000
/**
 * Starts are refused above this; outcomes of started work are always recorded. A snapshot holds
 * the answers two more times while it is encoded.
 */
export const MAX_ANSWER_BYTES = 8 * 1024 * 1024
/** Twice the limit on a job's answers, because encoding them again can lengthen numbers and escapes. */
export const MAX_OUTCOME_BYTES = 2 * MAX_JOB_ANSWER_BYTES
/**
 * The most that one command moves the register's clock. It bounds what a leader with a wrong wall
 * clock adds at a change of leader; longer idle times make outcomes age more slowly.
 */
export const MAX_CLOCK_STEP_MS = 600_000
/** Advice where no outcome is about to expire. */
export const DEFAULT_RETRY_MS = 5000
