/** Subtracted from the longest lease, because a reading of the endpoint's clock arrives with a delay. */
export const LEASE_SAFETY_MARGIN_MS = 200

/** Largest share by which an endpoint's clock may run slower than the leader's. */
export const MAX_CLOCK_DRIFT = 0.02

/** Time after the end of a lease before its runs count as lost. */
export const LEASE_END_MARGIN_MS = 300

/** A deposed leader may renew leases until it has been without a quorum for this time. */
export const DEPOSED_LEADER_GRACE_MS = 2_500

/**
 * Longest lease that comes with the order of a start; the next renewal extends it. An order that is carried out late starts
 * nothing after its lease, so that no run starts 5 s after its failure domain was drained, also by a slow clock.
 * Between two renewals, leases get about as short.
 */
export const START_LEASE_MS = 4_200

/** An order is given up as unanswered after this time, its repetition included. */
export const ORDER_TIMEOUT_MS = 800
/** An order without an answer is repeated after this time; endpoints answer within some tens of milliseconds. */
export const ORDER_REPEAT_MS = 300
/** Answers may overtake each other by less than this. */
export const MAX_ANSWER_DELAY_MS = 3_000
/** Longest time after which an order without an answer may still be carried out. */
export const LATE_ORDER_MS = 12_000
/** Longest time that an endpoint holds back the answer to a renewal while no run ends. */
export const RENEW_LONG_POLL_MS = 1_500
/** Like `RENEW_LONG_POLL_MS`, while a start is unanswered: its outcome is read soon after its timeout. */
export const START_LONG_POLL_MS = 500
/** Added to the long-poll time to get the timeout of a renewal. */
export const RENEW_TIMEOUT_MARGIN_MS = 700
/** An endpoint that has not answered for this time is called before it is given an order. */
export const CONTACT_VALIDITY_MS = 2_000
export const RETRY_DELAY_MS = 250
/** Renewals that wait at endpoints at a time; each holds one of the leader's descriptors. */
export const MAX_LONG_POLLS = 800
/** Time between two renewals of an endpoint that could not wait because too many others do. */
export const SHORT_POLL_INTERVAL_MS = 250
/** Time between two polls while a run is being stopped. */
export const STOP_POLL_INTERVAL_MS = 100
/** Time between two renewals while ended runs await their commit. */
export const COMMIT_POLL_INTERVAL_MS = 1_000
export const SESSION_TICK_MS = 250

/** Endpoints that are named in a command as silent together with another one. */
export const MAX_REPORTED_SILENT_ENDPOINTS = 256

/** Longest time for which suspect work waits for an endpoint without other runs. */
export const MAX_SUSPECT_WAIT_MS = 1_000

/** Delay of a planning pass after a change of the state, so that several changes share one pass. */
export const PASS_DELAY_MS = 4

/** Pause after a planning pass, as a multiple of its duration: planning takes at most a fifth of the event loop. */
export const PASS_PAUSE_FACTOR = 4

/** Longest pause between two planning passes, which bounds the wait of urgent work. */
export const MAX_PASS_DELAY_MS = 100

/** Delay of the next planning pass after one that failed with an unexpected error. */
export const FAILED_PASS_DELAY_MS = 1_000

/** Runs that one endpoint reports without being asked for, and that are being stopped at a time; the next report lists the others again. */
export const MAX_UNKNOWN_STOPS = 64

/** Longest time for which a new leader waits for the first reports of endpoints before it preempts. */
export const MAX_SURVEY_MS = 1_000

/** Timeout for the commit of a command. */
export const COMMIT_TIMEOUT_MS = 3_000

/** Time after a barrier that was not committed before the next one is proposed. */
export const BARRIER_RETRY_DELAY_MS = 250

/** An endpoint that has not announced itself for this time gets no new work. */
export const ANNOUNCEMENT_EXPIRY_MS = 4_000

/** An endpoint that announces a longer time for which it stays slow counts as slow for this time. */
export const MAX_COLD_MS = 600_000

/** Shortest time between an endpoint's message that it leaves and its removal. */
export const LEAVE_GRACE_MS = 500

/** Longest time for which the answer to that message waits for the end of the runs; endpoints try another process after a second. */
export const LEAVE_ANSWER_DELAY_MAX_MS = 700

/** Time after a failed removal of an endpoint that was replaced before the next attempt. */
export const REPLACEMENT_RETRY_DELAY_MS = 1_000

/** An endpoint without runs is removed when it has not announced itself for this time. */
export const ENDPOINT_EXPIRY_MS = 30_000
