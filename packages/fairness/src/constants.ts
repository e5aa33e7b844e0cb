/** Usage of this age counts for a factor of e less than current usage. */
export const USAGE_DECAY_MS = 10_000

/** Shares that differ by less than a step don't change the order. */
export const SHARE_STEP = 0.1
