/** Usage of this age counts 1/e as much as current usage: a customer is held to what it used in the last seconds. */
export const USAGE_DECAY_MS = 10_000

/** Step of the ranks by share, so that small differences between customers don't change the order. */
export const SHARE_STEP = 0.1
