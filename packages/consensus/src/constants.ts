export const HEARTBEAT_MS = 300
export const ELECTION_TIMEOUT_MIN_MS = 1000
export const ELECTION_TIMEOUT_MAX_MS = 2000

/**
 * Range of the timeout until the first leader is heard of after a start. Together with the time in
 * which a process comes back, it is about as long as a leader relies on an answer of a voter.
 */
export const START_TIMEOUT_MIN_MS = 400
export const START_TIMEOUT_MAX_MS = 1000

/** A witness lets the other voters try first, because it has to hand leadership over again. */
export const WITNESS_TIMEOUT_FACTOR = 3

/**
 * With automatic membership a voter that was silent for this time is replaced by a learner. Shorter
 * than the time after which a second machine may be lost, longer than a restart of a process.
 */
export const VOTER_SILENCE_MS = 2500

/** A learner that was silent for this time is forgotten; it asks to join again. */
export const LEARNER_SILENCE_MS = 10_000

/** Period at which the driver lets the replica look at the time. */
export const TICK_MS = 50

/** Entries and estimated bytes of one message; bodies between processes are at most 4 MiB. */
export const MAX_BATCH_ENTRIES = 256
export const MAX_BATCH_BYTES = 1024 * 1024

/** Unacknowledged messages with entries to one peer. */
export const MAX_INFLIGHT_BATCHES = 8

/** A message whose answer is overdue by this time is taken for lost. */
export const REPLY_TIMEOUT_MS = 2 * HEARTBEAT_MS

/** Entries and bytes that a leader holds uncommitted; further proposals are refused. */
export const MAX_UNCOMMITTED_ENTRIES = 4096
export const MAX_UNCOMMITTED_BYTES = 16 * 1024 * 1024

/** Entries in memory when no snapshot can be stored; further proposals are refused. */
export const MAX_LOG_ENTRIES = 50_000

/** Largest command, so that a message with a single entry stays below 4 MiB. */
export const MAX_COMMAND_BYTES = 3 * 1024 * 1024

/** Base64 characters of a snapshot in one message. */
export const SNAPSHOT_CHUNK_CHARS = 512 * 1024
export const MAX_SNAPSHOT_CHARS = 256 * 1024 * 1024

/** A snapshot is taken after this many entries or bytes, which bounds the replay on a restart. */
export const SNAPSHOT_EVERY_ENTRIES = 1000
export const SNAPSHOT_EVERY_BYTES = 8 * 1024 * 1024

/** Entries and bytes kept in memory behind a snapshot for followers that lag a little. */
export const TRAILING_ENTRIES = 200
export const TRAILING_BYTES = 2 * 1024 * 1024

/** Period at which a full disk is tried again. */
export const DISK_RETRY_MS = 1000

/** Commands of one process that wait for their outcome. */
export const MAX_PENDING_PROPOSALS = 4096

/** Effects that wait for the disk; messages beyond it are dropped, as the network may do. */
export const MAX_QUEUED_EFFECTS = 10_000
