import { RunTimeEstimator, type LearnedQueue, type RunTimePrediction, type SharedRunTimes, type WorkGroup } from '@ibisstair/estimation'
import type { JobEntry, StepSpec } from '@ibisstair/jobs'

/** A customer starts a few steps a second at most, so that run times of the last seconds to minutes count. */
const HALF_LIFE_SAMPLES = 16

/** The run of a task that has ended by itself, from the start of its work on. */
export interface DoneRun {
  readonly job: JobEntry
  readonly step: StepSpec
  readonly runMs: number
  /** Speed of the endpoint relative to the median of the service; of a gang, that of the slowest one. */
  readonly speed: number
}

/**
 * Run times of work on endpoints of speed 1. Submitted estimates are off by half to nine tenths, and 3 in 100 tasks take
 * seven times as long: where runs have ended, their run times count, and an estimate only relative to others of its queue.
 */
export class WorkDurations {
  readonly #estimator = new RunTimeEstimator({ halfLifeSamples: HALF_LIFE_SAMPLES })

  /** `shared` are run times that an earlier leader has learned. */
  constructor (shared: readonly SharedRunTimes[] = []) {
    this.#estimator.restore(shared)
  }

  /** All runs of a gang's members are one sample; the caller records one of them. */
  record ({ job, step, runMs, speed }: DoneRun): void {
    const weight = step.gang ? 1 : 1 / step.count
    this.#estimator.record(toWorkGroup(job, step), { runMs: runMs * speed, estimateMs: step.estimateMs, weight })
  }

  /** Returns the time in which half of the tasks end; the submitted estimate while too few have ended. */
  estimateRunMs (job: JobEntry, step: StepSpec): number {
    return this.#predict(job, step)?.p50Ms ?? step.estimateMs
  }

  /** Returns the time in which nine of ten tasks end; the submitted estimate while too few have ended. */
  estimateLongRunMs (job: JobEntry, step: StepSpec): number {
    return this.#predict(job, step)?.p90Ms ?? step.estimateMs
  }

  toSnapshot (): readonly SharedRunTimes[] {
    return this.#estimator.toSnapshot()
  }

  listLearnedQueues (): LearnedQueue[] {
    return this.#estimator.listLearnedQueues()
  }

  #predict (job: JobEntry, step: StepSpec): RunTimePrediction | null {
    // Long-running tasks do not end by themselves, so that nothing is learned about them.
    return step.longRunning ? null : this.#estimator.predict(toWorkGroup(job, step), step.estimateMs)
  }
}

const toWorkGroup = ({ spec, policy }: JobEntry, { resources }: StepSpec): WorkGroup =>
  ({ customer: spec.customer, queue: policy.queue, accelerators: resources.accelerators })
