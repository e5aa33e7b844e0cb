/** Retries that each first attempt adds to the budget. */
export const RETRY_TOKENS_PER_FIRST_ATTEMPT = 0.1
/** Retries added per second even without first attempts: after an election every request in progress needs one. */
export const RETRY_TOKENS_PER_SECOND = 10
/** Retries that an accepted retry returns to the budget, so that a domain that has recovered gets its requests within seconds. */
export const RETRY_TOKENS_PER_ACCEPTED_RETRY = 2
/** Retries that requests of each urgency leave for more urgent ones. */
export const RETRY_RESERVED_TOKENS = { urgent: 0, normal: 3, bulk: 6 } as const
/** Largest number of saved retries, so that an hour of low load can't pay for a retry storm. */
export const RETRY_MAX_TOKENS = 50

export const MIN_BACKOFF_MS = 50
export const MAX_BACKOFF_MS = 1_000
/**
 * Idempotent work may be submitted again if the domain that accepted it has not answered for this
 * time, or for the expected run time if that is longer. Longer than a lease (8 s) plus an election.
 */
export const MIN_SILENCE_MS = 12_000
/** How long work that was lost with its leader may be submitted again, even after its deadline. */
export const RESTART_WINDOW_MS = 10_000
/** Duration of one long poll for an outcome. */
export const WAIT_POLL_MS = 10_000
/** How long a submission waits for the outcome, so that short work needs only one call. */
export const SUBMIT_WAIT_MS = 1_000
/**
 * Idempotent work may be submitted again if a domain that may have accepted it has not confirmed so
 * within this time. The time covers failure detection, election and adoption, and leaves enough to
 * start in another domain within 8.7 s.
 */
export const UNCONFIRMED_SILENCE_MS = 4_500
/** Timeout of a probe; short, so that an unresponsive connection is dropped soon. */
export const PROBE_TIMEOUT_MS = 500
export const CONTROL_CALL_TIMEOUT_MS = 2_000
/** How long a caller's connection is held without an outcome before it gets status 202. */
export const MAX_HOLD_MS = 600_000
/** Largest total size of the caller request bodies that are read at the same time. */
export const MAX_BODY_BYTES_IN_PROGRESS = 32 * 1024 * 1024
/** Announcements are batched for this time; those of leaving endpoints are sent at once. */
export const ANNOUNCE_FLUSH_MS = 200
export const MAX_ANNOUNCED_ENDPOINTS = 4_096
export const MAX_ANNOUNCEMENTS_PER_CALL = 256
/** How often an entry repeats a failed comparison of its configuration at start-up. */
export const CONFIG_RETRY_MS = 500
/** Longest time that a configuration change waits for a quorum at one control process. */
export const CONFIG_CALL_TIMEOUT_MS = 3_000
