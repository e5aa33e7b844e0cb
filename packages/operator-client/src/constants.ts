/** An entry tries several control processes in turn, for up to 3 s each. */
export const CALL_TIMEOUT_MS = 15_000
/** The leader commits an order about a failure domain within 0.8 s, or rejects it. */
export const DOMAIN_CALL_TIMEOUT_MS = 1_500
export const MAX_RESPONSE_BYTES = 4 * 1024 * 1024
export const MAX_CONFIG_FILE_BYTES = 4 * 1024 * 1024

/** A call without a response is sent once to every entry and, after a backoff, once more. */
export const MAX_ROUNDS = 2
export const ROUND_BACKOFF_MS = 500

export const DEFAULT_PRIORITY = 1
export const DEFAULT_MAX_QUEUED = 1_000
