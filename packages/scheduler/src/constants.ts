/** Time between the checkpoint request and the stop of a preempted task. */
export const CHECKPOINT_GRACE_MS = 2000
/** An endpoint that does not answer a stop call within this time is unreachable. */
export const STOP_CALL_TIMEOUT_MS = 1000
/** Placements of one event; the rest follows with the next event, so that one event stays short. */
export const MAX_PLACEMENTS_PER_EVENT = 64
/** Ended jobs that `explain` still knows. */
export const MAX_ENDED_JOBS = 2000
/** Steps kept for each job; the first and the newest ones are the useful ones. */
export const MAX_STEPS_PER_JOB = 16
/** Attempts of a job whose gang could not be started or whose endpoint vanished. */
export const MAX_START_ATTEMPTS = 20
/** Distinct shapes of one customer and urgency that are searched separately. */
export const MAX_SHAPE_CLASSES = 32
/**
 * Longest time in which a customer's less urgent work gets no start while more urgent work of the
 * same customer waits, by urgency.
 */
export const AGEING_MS: readonly number[] = [Infinity, 2000, 10_000]
/**
 * Time in which a job that is owed its guarantee waits for capacity that becomes free by itself.
 * With two victims in turn the bound of 5.5 s holds: 0.2 + 2.7 + 2 + 0.5 s.
 */
export const RECLAIM_PATIENCE_MS = 200
/** A victim that has not left by then is replaced by another one. */
export const PREEMPT_RETRY_MS = CHECKPOINT_GRACE_MS + 700
/** Jobs that wait for victims to leave at one time. */
export const MAX_CLAIMS = 256
export const MIN_RETRY_AFTER_MS = 100
export const MAX_RETRY_AFTER_MS = 600_000
/** Time after which all endpoints of a domain have announced themselves to a new leader. */
export const FLEET_DISCOVERY_MS = 5000
