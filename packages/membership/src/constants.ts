export const ANNOUNCEMENT_PERIOD_MS = 1_000
export const ANNOUNCEMENT_EXPIRY_MS = 3_500
/** An endpoint without an announcement for this long counts as overdue in the detection of mass expiries. */
export const ANNOUNCEMENT_OVERDUE_MS = 2 * ANNOUNCEMENT_PERIOD_MS
/** If at least this fraction of the endpoints is overdue at once, the observer itself may be partitioned. */
export const MASS_EXPIRY_FRACTION = 0.5
/** Fewer overdue endpoints than this are never a mass expiry. A rack holds about six workers. */
export const MASS_EXPIRY_MIN_ENDPOINTS = 3
export const MAX_ENDPOINTS = 2_000
/** Consecutive failed calls after which an endpoint counts as unreachable. */
export const UNREACHABLE_AFTER_FAILURES = 3
export const PROBE_MIN_DELAY_MS = 500
export const PROBE_MAX_DELAY_MS = 8_000
export const FORWARD_RETRY_PERIOD_MS = 500
/** Leave announcements are retried for this time; a control process that has not acknowledged by then has seen the endpoint expire. */
export const FORWARD_TTL_MS = 60_000
/** Connections to a peer with outstanding calls are reset after this time without progress. */
export const PEER_PROGRESS_TIMEOUT_MS = 1_000
export const PEER_RETRY_MIN_DELAY_MS = 100
export const PEER_RETRY_MAX_DELAY_MS = 5_000
export const MAX_PEERS = 256
