/** Ended tasks that an endpoint remembers, so that a late or doubled message cannot start one again. */
export const MAX_ENDED_TASKS = 50_000
/** A message older than this cannot arrive any more: TCP gives up retransmission of a closed connection earlier. */
export const ENDED_TTL_MS = 20 * 60 * 1000
/** Finished answers that wait for acknowledgement. */
export const MAX_UNACKNOWLEDGED = 1_000
export const MAX_UNACKNOWLEDGED_BYTES = 16 * 1024 * 1024
/** After this time an answer that no leader acknowledged is dropped; its outcome is then "unknown". */
export const UNACKNOWLEDGED_TTL_MS = 10 * 60 * 1000
/** Longest delay of a stop message that the comparison of its age with forgotten tasks allows for. */
export const STOP_DELAY_MARGIN_MS = 60 * 1000
/** Reason of a refusal that the client itself reports: the connection was refused, so nothing was delivered. */
export const CONNECTION_REFUSED = 'connection refused'
