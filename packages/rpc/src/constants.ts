/** Largest body of a call between processes; the answers of a job (2 MiB) and the JSON-RPC envelope fit into it. */
export const MAX_RPC_BODY_BYTES = 4 * 1024 * 1024
/** Retry delay that is returned when all request bodies together are too large. */
export const BODY_BUDGET_RETRY_AFTER_MS = 1_000
/** A pooled connection that has been idle for this time is closed instead of reused: it may no longer pass data. */
export const MAX_IDLE_CONNECTION_MS = 3_000
/** Added to the wait time of a long poll to get the call's timeout, after which the connection counts as unresponsive. */
export const LONG_POLL_GRACE_MS = 1_500
export const MAX_CONNECTIONS_PER_TARGET = 256
export const DEFAULT_CALL_TIMEOUT_MS = 2_000
/** Largest number of messages that wait for one target; beyond it the oldest are dropped. */
export const MAX_QUEUED_MESSAGES = 512
/** Largest number of message batches that are sent to one target at the same time. */
export const MAX_MESSAGE_BATCHES_IN_FLIGHT = 2
export const MAX_MESSAGES_PER_BATCH = 64

export const DEPLOYMENT_HEADER = 'x-ibisstair-deployment'
export const DEADLINE_HEADER = 'x-ibisstair-deadline-ms'
export const NODE_HEADER = 'x-ibisstair-node'
