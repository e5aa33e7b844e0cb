/** An ended job is shown for at least this time. */
export const STATUS_RETENTION_MS = 150_000

/** Jobs in memory, ended ones included; more are refused. */
export const MAX_JOBS = 20_000

export const MAX_STEPS = 64
export const MAX_TASKS_PER_STEP = 4_096
export const MAX_OCCURRENCES = 10_000

/** Endpoints that are known at a time. */
export const MAX_ENDPOINTS = 4_096
