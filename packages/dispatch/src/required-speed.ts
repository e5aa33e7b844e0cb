import type { JobEntry } from '@ibisstair/jobs'
import type { WorkHistory } from './plan-types.ts'
import { LATE_FACTOR, estimateChainMs, type ReadyWork } from './ready-work.ts'

/**
 * The speed that work needs of its endpoint. The load: endpoints of 0.6 to 1.6 times the usual speed, on the slow ones of which
 * urgent work is late even if it starts at once.
 */

/** Median of a service, and the speed of endpoints that are not known. */
export const USUAL_SPEED = 1

/**
 * Endpoints below this speed are left to work with slack. Urgent work has a stretch of 1.5 and so needs 0.67 if it starts at
 * once; the rest is for the error of speeds.
 */
export const URGENT_SPEED = 0.77

/** Estimated speeds are wrong by about this factor. */
const SPEED_MARGIN = 1.15

/** Work that needs more than this is late on any endpoint. */
const MAX_REQUIRED_SPEED = 1.6

/** Estimated run time of the longest chain of dependent steps that begins with the step. */
const estimateChainFrom = (job: JobEntry, first: number, history: WorkHistory): number => {
  const ends: number[] = []
  job.spec.steps.forEach((spec, step) => {
    const earlier = spec.dependsOn.map((index) => ends[index] ?? 0)
    const beginMs = Math.max(0, ...earlier)
    ends.push(step === first || beginMs > 0 ? beginMs + history.estimateRunMs(job, spec) : 0)
  })
  return Math.max(...ends)
}

/**
 * Returns the speed of an endpoint on which the work meets its objective if it starts now; once it can't, the speed on which
 * it is late but of some use, and 0 when no speed helps.
 */
export const getRequiredSpeed = ({ job, step }: Pick<ReadyWork, 'job' | 'step'>, wallMs: number, history: WorkHistory): number => {
  const { targetLatencyMs, stretch } = job.policy
  const objectiveMs = targetLatencyMs + stretch * estimateChainMs(job, history)
  const elapsedMs = wallMs - job.acceptedAtMs
  const chainMs = SPEED_MARGIN * estimateChainFrom(job, step, history)
  for (const limitMs of [objectiveMs, LATE_FACTOR * objectiveMs]) {
    const leftMs = limitMs - elapsedMs
    if (leftMs > 0 && chainMs / leftMs <= MAX_REQUIRED_SPEED) return chainMs / leftMs
  }
  return 0
}
