/** Period over which callers that were turned away are counted. */
export const RETRY_WINDOW_MS = 1_000
/** Shortest retry delay: a new leader is elected and begins to lead within 1 to 2.5 s, so that an earlier return is in vain. */
export const MIN_RETRY_DELAY_MS = 500
/** Shortest range over which the delays of callers are spread. */
export const MIN_RETRY_SPREAD_MS = 500
/** Rate at which the callers of one entry should return; 41 entries together then send a leader 820 calls a second. */
export const RETURNS_PER_S = 20
/** Longest range of delays; beyond it urgent work is too late to be of use. */
export const MAX_RETRY_SPREAD_MS = 8_000

/** Late work is of some use until three times its objective; a job that can't begin before is rejected. */
export const OBJECTIVES_TO_WAIT = 3
/** Longest retry delay of a rejected job, before jitter: later the backlog says little about the load. */
export const MAX_DRAIN_DELAY_MS = 30_000
