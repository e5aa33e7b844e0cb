/** Part of the call deadline that passes before an unanswered call is made again; an immediate connection error must not cause a busy loop. */
export const RETRY_DIVISOR = 4
/** Attempts to deliver an acknowledgement; the endpoint drops unacknowledged answers by itself later. */
export const MAX_ACK_ATTEMPTS = 3
/** Attempts of a checkpoint or throttle call, which carry no promise. */
export const MAX_ADVICE_ATTEMPTS = 2
/**
 * A lease is renewed this many times in its term. A renewal grants only what remains of the term since
 * the longest-silent member was seen, so that with a third of the term a change of leader (3.5 s, and
 * up to 1.5 s to poll the endpoints) finds the leases expired.
 */
export const LEASE_RENEWALS_PER_TERM = 8
