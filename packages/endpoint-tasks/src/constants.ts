/** Ended tasks that an endpoint keeps on record, so that a late or duplicated message cannot start one again. */
export const MAX_ENDED_TASKS = 50_000
/** Messages older than this can no longer arrive: TCP gives up retransmission on a closed connection earlier. */
export const ENDED_TTL_MS = 20 * 60 * 1000
/** Limit on finished tasks whose answers wait for acknowledgement. */
export const MAX_UNACKNOWLEDGED = 1_000
export const MAX_UNACKNOWLEDGED_BYTES = 16 * 1024 * 1024
/** An answer that no leader acknowledges within this time is dropped; the outcome is then "unknown". */
export const UNACKNOWLEDGED_TTL_MS = 10 * 60 * 1000
/** Longest delivery delay assumed for a stop message when its `ageMs` is compared with dropped records. */
export const STOP_DELAY_MARGIN_MS = 60 * 1000
/** Refusal reason that the client itself reports when the connection was refused, so that nothing was delivered. */
export const CONNECTION_REFUSED = 'connection refused'
