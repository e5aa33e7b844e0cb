/** Period at which a process without a leader asks the control processes for one. */
export const VIEW_RETRY_MS = 200
/** Period at which a process confirms its view while it works. */
export const VIEW_PERIOD_MS = 1_000
export const VIEW_TIMEOUT_MS = 500

/** One attempt of a call to the leader; a call may take several within its deadline. */
export const LEADER_ATTEMPT_MS = 900
export const MIN_ATTEMPT_MS = 50
export const LEADER_RETRY_MS = 60

/** Addresses of control processes that are remembered. */
export const MAX_KNOWN_NODES = 64

/** Without a confirmed leader for this time an entry reports that it is not ready. */
export const LEADER_CONTACT_TIMEOUT_MS = 2_500

/** Time that a command of a caller or operator may take to be committed. */
export const COMMAND_TIMEOUT_MS = 2_500

/** Period at which a control process compares its role with its services. */
export const ROLE_TICK_MS = 50

/** Answers that callers get when the leader is not known yet ask them to return after this time. */
export const RETRY_AFTER_MS = 1_000

export const MESSAGE_TIMEOUT_MS = 1_000

/** Name of the replicated-log group that holds the scheduling state. */
export const STATE_GROUP = 'scheduling'
