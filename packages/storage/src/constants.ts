/** Limit for queued operations of a log; beyond it an operation is rejected with `overloaded`. */
export const MAX_PENDING_BYTES = 64 * 1024 * 1024

/** Largest record that is written or accepted as valid when reading. */
export const MAX_RECORD_BYTES = 128 * 1024 * 1024

/** The newest snapshot and the previous one, which is used when the newest is damaged. */
export const SNAPSHOTS_KEPT = 2
