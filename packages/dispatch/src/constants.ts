/** Kept below the longest lease, as the endpoint's clock is known a little late. */
export const LEASE_SLACK_MS = 200

/** An endpoint's clock may run this much slower than ours. */
export const CLOCK_DRIFT = 0.02

/** Added to the end of a lease before its runs count as lost. */
export const LEASE_END_MARGIN_MS = 300

/** A deposed leader may renew leases until it has missed its quorum for this time. */
export const DEPOSED_LEADER_MS = 2_500

export const ORDER_TIMEOUT_MS = 800
export const RENEW_WAIT_MS = 1_500
/** The same while a start has not been answered: its outcome is read soon after its timeout. */
export const START_WAIT_MS = 500
/** Beyond the wait, before a connection counts as silent. */
export const RENEW_GRACE_MS = 700
export const RETRY_MS = 250
/** Between two questions while a run is being stopped. */
export const STOP_PAUSE_MS = 100
/** Leases are renewed again after this time even if a commit takes longer. */
export const COMMIT_PAUSE_MS = 1_000
export const SESSION_TICK_MS = 250

/** Starts that follow a change of the state are decided together after this time. */
export const PASS_DELAY_MS = 4

/** A pass is followed by a pause of this many times its duration, so that planning takes a fifth of the loop at most. */
export const PASS_PAUSE_FACTOR = 4

/** Urgent work does not wait longer than this for a pass. */
export const MAX_PASS_DELAY_MS = 100

/** Time that a command may take to be committed. */
export const COMMIT_TIMEOUT_MS = 3_000

/** An endpoint that has not announced itself for this time takes no new work. */
export const ANNOUNCEMENT_EXPIRY_MS = 4_000

/** Between the announcement that an endpoint has left and its runs counting as ended. */
export const LEAVE_GRACE_MS = 500

/** Without an announcement or an answer for this time an endpoint without runs is removed. */
export const ENDPOINT_EXPIRY_MS = 30_000
