import { LEASE_RENEWALS_PER_TERM } from '@ibisstair/gang'

/** Longer than failure detection plus leader election, so that running gangs survive a change of leader. */
export const LEASE_TTL_MS = 8_000
/**
 * The leases of a gang end together, so they need frequent renewals: in the randomised runs, 100 of
 * 100 gangs survived a change of leader with a period of 1,000 ms, and 62 with 2,000 ms.
 */
export const RENEW_PERIOD_MS = LEASE_TTL_MS / LEASE_RENEWALS_PER_TERM
export const RESERVATION_TTL_MS = 2_000
export const CHECKPOINT_GRACE_MS = 2_000
/** Timeout of one call to an endpoint. */
export const ENDPOINT_CALL_TIMEOUT_MS = 1_000
/** Wait of one long poll for events. Each poll that returns also shows that the endpoint is reachable. */
export const EVENT_POLL_WAIT_MS = 5_000
export const EVENT_RETRY_DELAY_MS = 300
export const SCHEDULER_TICK_MS = 100
export const DIRECTORY_TICK_MS = 250
/** A new leader waits at most this long for the endpoints to list their tasks before it places work. */
export const ADOPTION_TIMEOUT_MS = 1_500
/** After this long without a leader, and so without a quorum, a process schedules idempotent work alone (degraded mode). */
export const DEGRADED_AFTER_MS = 5_000
export const PROPOSE_TIMEOUT_MS = 1_500
/** Delay before an outcome that was not committed is proposed again. */
export const RECORD_RETRY_DELAY_MS = 100
/** Period between two scans for records without an outcome. */
export const RESOLVE_PERIOD_MS = 1_000
/** Limit of the finished jobs that are kept in memory for callers who ask by key. */
export const MAX_FINISHED_JOBS = 10_000
export const MAX_FINISHED_BYTES = 16 * 1024 * 1024
/** Limit of the queued and running jobs of one failure domain. */
export const MAX_ACTIVE_JOBS = 50_000
export const MAX_WAITERS_PER_JOB = 64
export const MESSAGE_TIMEOUT_MS = 1_000
