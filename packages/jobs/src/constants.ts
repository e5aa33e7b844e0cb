/** The status of an ended job can be read for at least this time. */
export const STATUS_RETENTION_MS = 150_000

/** Largest number of jobs in memory, including ended ones; further jobs are refused. */
export const MAX_JOBS = 20_000

export const MAX_STEPS = 64
export const MAX_TASKS_PER_STEP = 4_096
export const MAX_OCCURRENCES = 10_000

/** Largest number of tasks of one job whose state is kept at a time. */
export const MAX_OPEN_TASKS_PER_JOB = 8_192

/** The same for all active jobs together, which bounds the memory of a replica; further jobs are refused. */
export const MAX_OPEN_TASKS = 200_000

/** Largest number of registered endpoints; further ones are ignored. */
export const MAX_ENDPOINTS = 4_096

/** An endpoint that crashed is back within this time; a later incarnation says nothing about the runs that were lost. */
export const MAX_RETURN_MS = 30_000

/** Number of ended incarnations that are remembered; announcements are delayed by seconds, so that old ones can be forgotten. */
export const MAX_ENDED_INCARNATIONS = 4_096

/** A submission that its caller has cancelled already arrives within this time, if at all. */
export const EARLY_CANCEL_RETENTION_MS = 60_000
export const MAX_EARLY_CANCELS = 10_000

/** Restored failure domains whose revision is remembered; a fleet has few failure domains, and orders are delayed by seconds. */
export const MAX_RESTORED_DOMAINS = 256
