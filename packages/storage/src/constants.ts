/** Appends that wait for the disk; beyond it an append is refused as `overloaded`. */
export const MAX_PENDING_BYTES = 64 * 1024 * 1024

/** Largest record that is written or accepted as valid when reading. */
export const MAX_RECORD_BYTES = 128 * 1024 * 1024

/** The newest snapshot, and the one before it in case the newest is damaged. */
export const SNAPSHOTS_KEPT = 2
