/** One comparison a second keeps the expected spread over 100 processes under 8 s without any push. */
export const COMPARE_PERIOD_MS = 1_000
export const COMPARE_TIMEOUT_MS = 800
