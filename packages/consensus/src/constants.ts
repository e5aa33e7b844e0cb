export const HEARTBEAT_MS = 300
export const ELECTION_TIMEOUT_MIN_MS = 1000
export const ELECTION_TIMEOUT_MAX_MS = 2000

/**
 * Range of the election timeout of a replica that has not seen a leader since its start. Together with
 * the restart time of a process, it is about as long as a leader relies on a voter's answer.
 */
export const START_TIMEOUT_MIN_MS = 400
export const START_TIMEOUT_MAX_MS = 1000

/** Lets the other voters campaign before a witness, which would have to transfer leadership again. */
export const WITNESS_TIMEOUT_FACTOR = 3

/**
 * Voters beyond the minimum while enough members answer, so that the group bears a voter that is lost for good, and
 * whose successor has joined, at the same moment as the lost disks that the minimum is for.
 */
export const EXTRA_VOTERS = 2

/**
 * With automatic membership, a learner replaces a voter that has not answered for this time. Shorter than
 * the time after which a second machine may be lost, and longer than the restart of a process.
 */
export const VOTER_SILENCE_MS = 2500

/**
 * A group with extra voters returns to its minimum when a voter has not answered for this time and no learner can
 * replace it. Longer than `VOTER_SILENCE_MS`: with a silent voter among the larger number, it bears as many lost disks.
 */
export const EXTRA_VOTER_SILENCE_MS = 10_000

/** A voter that shuts down waits at most for this time until a learner has its vote, and asks the leader this often. */
export const RESIGN_TIMEOUT_MS = 1500
export const RESIGN_PERIOD_MS = 100

/** A voter that has asked for it counts as leaving for this time. */
export const RESIGN_VALIDITY_MS = 1000

/** A learner that has not answered for this time is removed; it has to request to join again. */
export const LEARNER_SILENCE_MS = 10_000

/** Interval of the tick events that the driver sends to the replica. */
export const TICK_MS = 50

/** Limits of entries and estimated bytes in one message; message bodies between processes are at most 4 MiB. */
export const MAX_BATCH_ENTRIES = 256
export const MAX_BATCH_BYTES = 1024 * 1024

/** Maximum unacknowledged messages with entries to one peer. */
export const MAX_INFLIGHT_BATCHES = 8

/** A message that is not answered within this time is considered lost. */
export const REPLY_TIMEOUT_MS = 2 * HEARTBEAT_MS

/** Limits of uncommitted entries and bytes on a leader; it refuses proposals beyond them. */
export const MAX_UNCOMMITTED_ENTRIES = 4096
export const MAX_UNCOMMITTED_BYTES = 16 * 1024 * 1024

/** Limit of entries in memory, reached when no snapshot can be stored; proposals beyond it are refused. */
export const MAX_LOG_ENTRIES = 50_000

/** Maximum size of a command, so that a message with a single entry stays below 4 MiB. */
export const MAX_COMMAND_BYTES = 3 * 1024 * 1024

/** Base64 characters of a snapshot in one message. */
export const SNAPSHOT_CHUNK_CHARS = 512 * 1024
export const MAX_SNAPSHOT_CHARS = 256 * 1024 * 1024

/** A snapshot is taken after this many entries or bytes, to limit the replay after a restart. */
export const SNAPSHOT_EVERY_ENTRIES = 1000
export const SNAPSHOT_EVERY_BYTES = 8 * 1024 * 1024

/** Entries and bytes before a snapshot that are kept in memory for followers that lag slightly. */
export const TRAILING_ENTRIES = 200
export const TRAILING_BYTES = 2 * 1024 * 1024

/** Delay before writes to a full disk are retried. */
export const DISK_RETRY_MS = 1000

/** Maximum pending proposals of one replica. */
export const MAX_PENDING_PROPOSALS = 4096

/** Maximum effects that wait for the disk. Messages beyond it are dropped; the protocol tolerates lost messages. */
export const MAX_QUEUED_EFFECTS = 10_000
