/** A run that started within this time before the crash of its endpoint may have caused it by starting. */
export const START_WINDOW_MS = 1_000

/** A run that has lasted this long says nothing about a crash: its task does not crash endpoints by starting or working. */
export const MAX_SUSPECT_AGE_MS = 60_000

/** Crashes within this time of each other may have one cause outside the endpoints, such as a power failure. */
export const COINCIDENCE_MS = 1_000

/** Least share of the fleet whose crashes together have a cause outside the endpoints. */
export const MIN_OUTSIDE_SHARE = 0.05

/** Least number of such crashes; in a small fleet a third of it is enough, and two crashes. */
export const MIN_OUTSIDE_CRASHES = 3
export const SMALL_FLEET_OUTSIDE_SHARE = 1 / 3
export const SMALL_FLEET_OUTSIDE_CRASHES = 2

/** Crashes at different addresses for which the task alone is to blame, after which it is guilty. */
export const MAX_SOLE_CRASHES = 2

/** The same for crashes in which it is one of several tasks that may be to blame. */
export const MAX_POSSIBLE_CRASHES = 3

/** Crashes under the task after which it is guilty even if they all were at one address or coincided with others. */
export const MAX_CRASHES = 5

/** Bystander's crashes after which a task runs apart from others, in case it crashes its endpoint late in its run. */
export const MAX_BYSTANDER_CRASHES = 2

/** Shortest time for which a suspect runs apart from other jobs. */
export const MIN_PROBATION_MS = 2_000

/** Longest one, since other jobs can't use the endpoint meanwhile. */
export const MAX_PROBATION_MS = 20_000

/** Crashes of one task that are remembered. */
export const MAX_REMEMBERED_CRASHES = 16
