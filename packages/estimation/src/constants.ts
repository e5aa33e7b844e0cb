/** Endpoints whose speed is kept; the one observed the longest ago is dropped first. */
export const MAX_ESTIMATED_ENDPOINTS = 4_096

/** Recent steps whose runs are compared with each other. */
export const MAX_OBSERVED_STEPS = 2_048

/** Pairs of a step and an endpoint that ran tasks of it; bounds the time of a solution. */
export const MAX_STEP_LINKS = 8_192

/** A step without a new observation for this time is folded into the speeds of its endpoints. */
export const STEP_EXPIRY_MS = 45_000

/** Observations of an endpoint lose half of their weight when it is this much older than its newest one. */
export const EVIDENCE_HALF_LIFE_MS = 15_000

/** An endpoint without new observations loses half of its precision in this time. */
export const CONFIDENCE_HALF_LIFE_MS = 300_000

/** Shortest time between two solutions of up to `LINKS_PER_SOLVE_PERIOD` pairs; more pairs are solved less often in proportion. */
export const SOLVE_PERIOD_MS = 500
export const LINKS_PER_SOLVE_PERIOD = 2_048

/** Exchanges of messages between steps and endpoints in one solution; the next one continues from its result. */
export const SOLVE_ITERATIONS = 2

/** Variance of the logarithm of an endpoint's speed before it is observed: speeds of 0.6 to 1.6 are usual. */
export const SPEED_VARIANCE = 0.4 ** 2

/** Variance of the logarithm of the work of a step's tasks, which differ by 15 to 30 %. */
export const TASK_VARIANCE = 0.15 ** 2

/** Runs of one step on one endpoint beyond this number add nothing: they share the errors of the endpoint's reports. */
export const MAX_AVERAGED_RUNS = 4

/** Typical error of the time of a report: an endpoint reports percents every 0.5 to 1.5 s. */
export const REPORT_JITTER_MS = 250

/** Bounds of the standard deviation of the logarithm of work within a queue. */
export const MIN_QUEUE_DEVIATION = 0.25
export const MAX_QUEUE_DEVIATION = 0.6

/** A queue with fewer other steps gives no prior for the work of a step. */
export const MIN_QUEUE_STEPS = 3

/** Squared deviations, in variances, at which an observation counts half: 3 in 100 tasks take seven times as long. */
export const TAIL_SCALE = 4

/** Largest logarithm of a speed that an observation may suggest, in both directions: a factor of 3. */
export const MAX_LOG_SPEED = Math.log(3)

/** Gangs over more endpoints say next to nothing about each. */
export const MAX_GANG_ENDPOINTS = 16

/** A member whose speed is known this precisely, to a tenth, learns nothing from the rate of its gang. */
export const MAX_MEMBER_PRECISION = 100

/** Precision that is kept of expired observations and of copies, so that new observations can overrule it. */
export const MAX_MEMORY_PRECISION = 40

/** The median of a service needs at least this many endpoints. */
export const MIN_MEDIAN_ENDPOINTS = 3

/** Rates outside of these bounds are nonsense: runs of 10 ms to 28 hours. */
export const MIN_MS_PER_PERCENT = 0.1
export const MAX_MS_PER_PERCENT = 1_000_000

/** Speeds in a copy are whole thousandths up to this one. */
export const MAX_SPEED_THOUSANDTHS = 99_999
