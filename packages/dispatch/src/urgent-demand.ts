import type { JobId } from '@ibisstair/common'
import type { JobEntry } from '@ibisstair/jobs'
import type { PassView } from './plan-types.ts'

/** Longest time over which arrivals of urgent work are averaged. */
const MAX_WINDOW_MS = 15_000
/** Shortest averaging time; a shorter one would follow single jobs. */
const MIN_WINDOW_MS = 4_000

interface Arrival {
  readonly atMs: number
  readonly accelerators: number
  readonly runMs: number
}

/** Returns the accelerators of the job's most demanding step. */
export const countPeakAccelerators = (job: JobEntry): number =>
  Math.max(...job.spec.steps.map(({ count, resources }) => count * resources.accelerators))

/** Whether more jobs like this one are to be expected: urgent ones that end by themselves. */
export const isRecurring = ({ spec, policy }: JobEntry): boolean =>
  policy.priority === 0 && !spec.steps.some(({ longRunning }) => longRunning)

/**
 * Estimates how many accelerators urgent work occupies at a time, from recent arrivals: the mean plus
 * one standard deviation of a system in which every job starts at once.
 */
export class UrgentDemand {
  readonly #arrivals = new Map<JobId, Arrival>()
  #firstRecordedAtMs: number | null = null

  /** Arrivals are observed from the first active job on. */
  begin (nowMs: number): void {
    this.#firstRecordedAtMs ??= nowMs
  }

  /** Counts a recurring job once, also if it is active for longer than arrivals are remembered. */
  recordArrival (job: JobEntry, { nowMs, wallMs, history }: Pick<PassView, 'nowMs' | 'wallMs' | 'history'>): void {
    if (this.#arrivals.has(job.spec.id) || wallMs - job.acceptedAtMs >= MAX_WINDOW_MS) return
    const runMs = Math.max(...job.spec.steps.map((step) => history.estimateRunMs(job, step)))
    this.#arrivals.set(job.spec.id, { atMs: nowMs, accelerators: countPeakAccelerators(job), runMs })
  }

  getAccelerators (nowMs: number): number {
    const windowMs = Math.max(MIN_WINDOW_MS, Math.min(MAX_WINDOW_MS, nowMs - (this.#firstRecordedAtMs ?? nowMs)))
    let mean = 0
    let variance = 0
    for (const [id, { atMs, accelerators, runMs }] of this.#arrivals) {
      if (nowMs - atMs > MAX_WINDOW_MS) {
        this.#arrivals.delete(id)
        continue
      }
      const share = runMs / windowMs
      mean += accelerators * share
      variance += accelerators ** 2 * share
    }
    return mean + Math.sqrt(variance)
  }
}
