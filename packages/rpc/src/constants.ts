/** Largest body of a call between processes; a job's answers (2 MiB) fit with room for the envelope. */
export const MAX_RPC_BODY_BYTES = 4 * 1024 * 1024
/** An idle pooled connection is closed after this time instead of being reused: it may have gone silent. */
export const IDLE_CONNECTION_MS = 3_000
/** Added to the time a long poll asks for before the connection counts as silent. */
export const LONG_POLL_GRACE_MS = 1_500
export const MAX_CONNECTIONS_PER_TARGET = 256
export const DEFAULT_CALL_MS = 2_000
/** Messages that wait for one target before the oldest are dropped. */
export const MAX_QUEUED_MESSAGES = 512
/** Concurrent deliveries of message batches to one target. */
export const MAX_MESSAGE_BATCHES_IN_FLIGHT = 2
export const MAX_MESSAGES_PER_BATCH = 64

export const DEPLOYMENT_HEADER = 'x-ibisstair-deployment'
export const DEADLINE_HEADER = 'x-ibisstair-deadline-ms'
export const NODE_HEADER = 'x-ibisstair-node'
