export const URGENCIES = ['urgent', 'normal', 'bulk'] as const
export const ADJACENCIES = ['worker', 'rack', 'any'] as const
export const MAX_GANG_TASKS = 128
/** Limits of one answer; a job's answers also fit one message between processes (4 MiB). */
export const MAX_TASK_ANSWER_BYTES = 64 * 1024
export const MAX_JOB_ANSWER_BYTES = 2 * 1024 * 1024
export const MAX_REQUEST_BYTES = 1024 * 1024
