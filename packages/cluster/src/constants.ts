/** Period at which a process that knows no leader asks the control processes for one; calls that fail in between share one search. */
export const LEADER_SEARCH_PERIOD_MS = 200
/** Period at which a process that knows a leader refreshes its view, unless the leader has answered meanwhile. */
export const VIEW_REFRESH_PERIOD_MS = 1_000
export const VIEW_TIMEOUT_MS = 500

/** Timeout of one attempt at a call to the leader; a call may take several attempts within its deadline. */
export const LEADER_ATTEMPT_TIMEOUT_MS = 900
/** No attempt is started with less time than this before the deadline. */
export const MIN_ATTEMPT_TIMEOUT_MS = 50
export const LEADER_RETRY_DELAY_MS = 60

/** A control process counts as reachable for this time after its last answer: a search for the leader asks each at least every 500 ms. */
export const REACHABLE_MS = 2 * VIEW_TIMEOUT_MS

/** Maximum number of control-process addresses that a process keeps. */
export const MAX_KNOWN_NODES = 64

/** An entry reports that it is not ready once no leader has been confirmed for this time. */
export const LEADER_CONTACT_TIMEOUT_MS = 2_500

/** Time within which a command from a caller or operator must be committed. */
export const COMMAND_TIMEOUT_MS = 2_500

/** Like `COMMAND_TIMEOUT_MS`, for orders about failure domains: operators try another process after one second. */
export const DRAIN_COMMIT_TIMEOUT_MS = 800

/** Period at which a control process checks whether it has to start or stop leading. */
export const ROLE_CHECK_PERIOD_MS = 50

/** Retry delay that is returned to callers, for example while no leader is known. */
export const RETRY_AFTER_MS = 1_000

/** The backlog is computed from the state at most this often. */
export const BACKLOG_PERIOD_MS = 250
export const BACKLOG_REPORT_PERIOD_MS = 1_000
export const MAX_REJECTION_LINES_PER_S = 10
/** Maximum number of jobs with proposals of unknown outcome that a leader remembers. */
export const MAX_UNSETTLED_JOBS = 10_000

export const MESSAGE_TIMEOUT_MS = 1_000

/** Period at which the leader sends the run times that it has learned to the other control processes. */
export const RUN_TIMES_PERIOD_MS = 5_000
export const RUN_TIMES_TIMEOUT_MS = 1_000

/** Period at which the leader sends what it has learned of the endpoints to the other control processes. */
export const SPEED_SHARING_PERIOD_MS = 2_000
export const SPEED_SHARING_TIMEOUT_MS = 1_000

/** Name of the consensus group that replicates the scheduling state. */
export const STATE_GROUP = 'scheduling'
