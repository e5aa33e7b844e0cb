/** Most urgent first; urgencies are compared by their index. */
export const URGENCIES = ['urgent', 'normal', 'bulk'] as const
export const ADJACENCIES = ['worker', 'rack', 'any'] as const
export const MAX_GANG_TASKS = 128
/**
 * Limits on the answer of one task and on all answers of a job, which must fit in one message
 * between processes (4 MiB).
 */
export const MAX_TASK_ANSWER_BYTES = 64 * 1024
export const MAX_JOB_ANSWER_BYTES = 2 * 1024 * 1024
export const MAX_REQUEST_BYTES = 1024 * 1024

export const MAX_ACCELERATORS_PER_WORKER = 64
export const MAX_SLOTS_PER_WORKER = 1024
export const MAX_RUN_MS = 30 * 24 * 3600 * 1000
/**
 * The default deadline is this multiple of the kind's `startWithinMs`. Work that misses its objective
 * is late but still useful, so only a deadline stated by the caller ends its wait earlier.
 */
export const DEFAULT_DEADLINE_FACTOR = 10
export const MAX_DEADLINE_MS = 7 * 24 * 3600 * 1000
/** More deeply nested payloads overflow the stack of recursive encoders. */
export const MAX_PAYLOAD_DEPTH = 64

/**
 * A configuration is pushed and imported in one message (4 MiB) and one log entry (3 MiB), so it
 * must fit in both.
 */
export const MAX_CONFIG_BYTES = 2 * 1024 * 1024
/** The limits below keep the run time of `checkFeasible` close to one heartbeat interval. */
export const MAX_CUSTOMERS = 1000
export const MAX_GUARANTEES_PER_CUSTOMER = 100
export const MAX_KINDS = 1000
export const MAX_DOMAINS = 64
export const MAX_RACKS_PER_DOMAIN = 1000
export const MAX_WORKERS_PER_RACK = 1000
export const MAX_FLEET_WORKERS = 10_000
export const MAX_GUARANTEED_TASKS = 100_000
export const MAX_DRAINS = 10_000
export const MAX_DELTA_OPERATIONS = 1000
export const MAX_PRIORITY = 1000
export const MAX_QUEUED = 100_000
