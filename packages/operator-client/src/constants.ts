/** The entry asks several control processes in turn, with up to 3 s for each. */
export const CALL_TIMEOUT_MS = 15_000
export const MAX_ANSWER_BYTES = 4 * 1024 * 1024
export const MAX_CONFIG_FILE_BYTES = 4 * 1024 * 1024

/** An unanswered call goes once to every entry and, after a pause, once more. */
export const MAX_ROUNDS = 2
export const ROUND_PAUSE_MS = 500

export const DEFAULT_PRIORITY = 1
export const DEFAULT_MAX_QUEUED = 1_000
