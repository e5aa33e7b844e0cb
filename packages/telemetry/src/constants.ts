export const LOG_LEVELS = ['error', 'warn', 'info', 'debug'] as const

/** Names beyond these limits are dropped and counted, so that a faulty caller cannot exhaust the memory. */
export const MAX_METRIC_NAMES = 512
export const MAX_TIMING_NAMES = 64
export const METRICS_PUBLISH_PERIOD_MS = 10_000
/** Keeps a packet below the usual MTU. */
export const METRICS_PACKET_BYTES = 1_400

export const MAX_LATENCY_MS = 24 * 60 * 60 * 1_000

export const OBJECTIVE_BUCKET_MS = 15_000
export const SHORT_WINDOW_MS = 5 * 60 * 1_000
export const LONG_WINDOW_MS = 60 * 60 * 1_000
export const MAX_OBJECTIVE_KINDS = 256
/** Keeps the burn rate finite for a target of 1. */
export const MIN_ERROR_BUDGET = 1e-6
/** At a burn rate of 1, the error budget is consumed exactly as fast as the objective allows. */
export const BURN_THRESHOLD = 1

/** Limits for a metrics body that is received from another process or read from a file. */
export const MAX_BODY_BUCKETS = 1_000
export const MAX_BODY_COUNTERS = 2_000
