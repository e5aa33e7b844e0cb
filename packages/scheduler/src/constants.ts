/** Time between the checkpoint request and the stop of a preempted task. */
export const CHECKPOINT_GRACE_MS = 2000
/** Placements per event; further ones follow with the next event, so that handling one event stays short. */
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
 * Time that a job within its customer's guarantee waits for capacity to become free before it preempts.
 * With two successive victims, a tick every 100 ms and a reservation round of 0.5 s, the bound of 5.5 s
 * holds: 0.2 + 0.1 + 2.5 + 0.1 + 2 + 0.5 s.
 */
export const RECLAIM_DELAY_MS = 200
/** A victim that has not stopped within this time is replaced by another one. */
export const PREEMPT_RETRY_MS = CHECKPOINT_GRACE_MS + 500
/** Number of jobs with nominated or planned capacity above which no guarantee is reclaimed. */
export const MAX_PENDING_PLACEMENTS = 256
export const MIN_RETRY_AFTER_MS = 100
export const MAX_RETRY_AFTER_MS = 600_000
/** Time after which all endpoints of a domain have announced themselves to a new leader. */
export const FLEET_DISCOVERY_MS = 5000
/** Above all other costs of a placement, so that a slow worker is used only when nothing else is left. */
export const OUTLIER_COST = 10_000
/** A gang, or a job of at least this many accelerators, gets a planned start. */
export const MIN_LARGE_ACCELERATORS = 8
/** Wait after which a large job gets a planned start when its customer is next, and in any case. */
export const PLAN_AFTER_MS = 5000
export const PLAN_AT_LATEST_MS = 15_000
/** Large jobs with a planned start at one time in a domain; more would leave too much capacity waiting. */
export const MAX_PLANS = 2
/** Workers considered for one planned start. */
export const MAX_PLANNED_WORKERS = 256
/** A planned start that is this late is planned again. */
export const PLAN_EXPIRY_MS = 5000
/** Wait after which urgent work may preempt less urgent work. */
export const URGENT_PREEMPT_AFTER_MS = 500
/** Remaining run time below which a victim would leave by itself in about the time that a preemption takes. */
export const MIN_VICTIM_REMAINING_MS = 2 * CHECKPOINT_GRACE_MS
/** Running jobs considered as victims of one urgent job, the newest first: they have the least to lose. */
export const MAX_VICTIM_CANDIDATES = 32
/** A worker that is busier than this share of its accelerators is overused. */
export const OVERUSE_RATIO = 1.2
/** Lower limit, because the throttled work may not be the work that uses too much. */
export const MIN_THROTTLE_FRACTION = 0.5
/** Term of a reservation: the reservation that made an endpoint refuse has expired by then. */
export const REFUSAL_PAUSE_MS = 2000
