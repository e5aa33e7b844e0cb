/** Part of the call deadline that passes before an unanswered call is made again; an immediate connection error must not cause a busy loop. */
export const RETRY_DIVISOR = 4
/** Attempts to deliver an acknowledgement; the endpoint drops unacknowledged answers by itself later. */
export const MAX_ACK_ATTEMPTS = 3
/** Attempts of a checkpoint or throttle call, which carry no promise. */
export const MAX_ADVICE_ATTEMPTS = 2
