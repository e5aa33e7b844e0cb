/**
 * An unanswered call is retried after the call timeout divided by this, so that an immediate connection
 * error does not cause a busy loop.
 */
export const RETRY_DIVISOR = 4
/** Attempts to deliver an acknowledgement; the endpoint later drops unacknowledged answers by itself. */
export const MAX_ACK_ATTEMPTS = 3
/** Attempts of a checkpoint or throttle call, whose delivery is not guaranteed. */
export const MAX_BEST_EFFORT_ATTEMPTS = 2
/**
 * Lease renewals per lease term. A renewal grants only the term minus the time since the member that has
 * been silent the longest was last seen. If a third of the term passed between renewals, leases would
 * expire during a change of leader (3.5 s, and up to 1.5 s to poll the endpoints).
 */
export const LEASE_RENEWALS_PER_TERM = 8
