import { LEASE_RENEWALS_PER_TERM } from '@ibisstair/gang'

/** Longer than detection plus election, so that running gangs survive a change of leader. */
export const LEASE_TTL_MS = 8_000
/**
 * The coupled leases of a gang need frequent renewals: with 1,000 ms 100 of 100 gangs survived a
 * change of leader in the randomised runs, with 2,000 ms 62.
 */
export const RENEW_PERIOD_MS = LEASE_TTL_MS / LEASE_RENEWALS_PER_TERM
export const RESERVATION_TTL_MS = 2_000
export const CHECKPOINT_GRACE_MS = 2_000
/** Deadline of one call to an endpoint. */
export const ENDPOINT_CALL_MS = 1_000
/** One event poll; also how often the connection to an endpoint proves that it is alive. */
export const EVENT_POLL_MS = 5_000
export const EVENT_RETRY_MS = 300
export const SCHEDULER_TICK_MS = 100
export const DIRECTORY_TICK_MS = 250
/** A new leader waits at most this long for the endpoints' lists of tasks before it places work. */
export const ADOPTION_MS = 1_500
/** Without a leader and without a majority for this long, a process schedules idempotent work alone. */
export const DEGRADED_AFTER_MS = 5_000
export const PROPOSE_MS = 1_500
/** Pause before an outcome that was not committed is proposed again. */
export const RECORD_RETRY_MS = 100
/** How often records without an outcome are looked through. */
export const RESOLVE_PERIOD_MS = 1_000
/** Finished jobs that are kept for callers who ask by key. */
export const MAX_FINISHED_JOBS = 10_000
export const MAX_FINISHED_BYTES = 16 * 1024 * 1024
/** Jobs of one failure domain that are queued or running. */
export const MAX_ACTIVE_JOBS = 50_000
export const MAX_WAITERS_PER_JOB = 64
export const MESSAGE_TIMEOUT_MS = 1_000
