/** Extra attempts that first attempts earn. */
export const RETRY_RATIO = 0.1
/** Extra attempts a second even without first attempts: after an election every request in progress needs one. */
export const RETRY_MIN_PER_SECOND = 10
/** Attempts that an accepted retry gives back, so that a domain which is back is filled within seconds. */
export const RETRY_REFUND = 2
/** Attempts that less urgent requests leave to more urgent ones. */
export const RETRY_RESERVE = { urgent: 0, normal: 3, bulk: 6 } as const
/** Largest number of saved extra attempts, so that a quiet hour does not pay for a retry storm. */
export const RETRY_MAX_SAVED = 50

export const FIRST_BACKOFF_MS = 50
export const MAX_BACKOFF_MS = 1_000
/**
 * A domain that accepted idempotent work and then stays silent for this long, or for the usual run
 * time if that is longer, is given up; longer than a lease (8 s) plus an election.
 */
export const MIN_SILENCE_MS = 12_000
/** Time to start again for work that was lost with its leader. */
export const RESTART_DEADLINE_MS = 10_000
/** One long poll for an outcome. */
export const WAIT_POLL_MS = 10_000
/** A submit waits this long for the outcome, so that short work needs one call. */
export const SUBMIT_WAIT_MS = 1_000
/**
 * A domain that may have taken idempotent work and does not say so is given up after this time: it
 * covers detection, election and adoption, and leaves time to start elsewhere within 8.7 s.
 */
export const UNCONFIRMED_SILENCE_MS = 4_500
/** Deadline of a probe; short, so that a silent connection is left soon. */
export const PROBE_CALL_MS = 500
export const CONTROL_CALL_MS = 2_000
/** How long a caller's connection is held without an outcome before it gets status 202. */
export const MAX_HELD_MS = 600_000
/** Bodies of callers that are being read at the same time. */
export const MAX_BODY_BYTES_IN_PROGRESS = 32 * 1024 * 1024
/** Announcements are collected for this time; one that says `leaving` is sent at once. */
export const ANNOUNCE_FLUSH_MS = 200
export const MAX_ANNOUNCED_ENDPOINTS = 4_096
export const MAX_ANNOUNCEMENTS_PER_CALL = 256
/** A process that lost its configuration at restart asks again this often. */
export const CONFIG_RETRY_MS = 500
/** A configuration change waits for a quorum at most this long at one control process. */
export const CONFIG_CALL_MS = 3_000
