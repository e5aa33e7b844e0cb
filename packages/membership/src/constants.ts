export const ANNOUNCEMENT_PERIOD_MS = 1_000
export const ANNOUNCEMENT_EXPIRY_MS = 3_500
/** An endpoint silent for this long counts as overdue when a mass of expiries is judged. */
export const ANNOUNCEMENT_OVERDUE_MS = 2 * ANNOUNCEMENT_PERIOD_MS
/** Fraction of endpoints overdue at once from which the observer itself may be cut off. */
export const MASS_EXPIRY_FRACTION = 0.5
/** Fewer endpoints than this are no mass: a rack holds about six workers. */
export const MASS_EXPIRY_MIN_ENDPOINTS = 3
export const MAX_ENDPOINTS = 2_000
/** Failed calls in a row after which an endpoint is unreachable. */
export const UNREACHABLE_AFTER_FAILURES = 3
export const PROBE_MIN_DELAY_MS = 500
export const PROBE_MAX_DELAY_MS = 8_000
export const FORWARD_RETRY_MS = 500
/** A control process that has not acknowledged by then has seen the endpoint expire. */
export const FORWARD_TTL_MS = 60_000
export const PEER_PROGRESS_MS = 1_000
export const PEER_RETRY_MIN_MS = 100
export const PEER_RETRY_MAX_MS = 5_000
export const MAX_PEERS = 256
