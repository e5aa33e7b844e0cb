import { DecayingQuantiles } from './decaying-quantiles.ts'
import { EstimateWeight } from './estimate-weight.ts'

const MAX_RUN_MS = 30 * 24 * 3_600_000
const LOW_SHARE = 0.05
const HIGH_SHARE = 0.95

/** One run that has ended by itself. */
export interface RunSample {
  readonly runMs: number
  /** Run time as it was submitted; absent where submitted times are not compared. */
  readonly estimateMs?: number
  /** Part of a sample that the run counts for: the tasks of one step say about as much as one of them. */
  readonly weight?: number
}

/** The submitted estimates of a group, and how far they tell its run times apart. */
export interface EstimateSummary {
  readonly medianMs: number
  /** Estimates outside of these bounds count as the bound: no run time was seen for them. */
  readonly lowMs: number
  readonly highMs: number
  /** 1 if a run with twice the estimate takes twice as long, 0 if estimates say nothing. */
  readonly weight: number
}

/** Run times of a group, of work with the median of its estimates. */
export interface RunTimeSummary {
  readonly samples: number
  readonly p50Ms: number
  readonly p90Ms: number
  readonly meanMs: number
  /** Null when no estimates were recorded. */
  readonly estimates: EstimateSummary | null
}

/** What another process needs to continue with a group. */
export interface RunTimeGroupSnapshot {
  readonly samples: number
  /** Quantiles of the run times of work with the median estimate, in milliseconds. */
  readonly runTimes: readonly number[]
  /** Quantiles of the submitted estimates; none where they were not compared. */
  readonly estimates: readonly number[]
  readonly weight: number
}

/** Run times of similar work, and how its submitted estimates relate to them. */
export class RunTimeGroup {
  readonly #runTimes: DecayingQuantiles
  readonly #estimates: DecayingQuantiles
  readonly #weight: EstimateWeight
  #summary: RunTimeSummary | null = null

  constructor (halfLifeSamples: number) {
    this.#runTimes = new DecayingQuantiles(halfLifeSamples)
    this.#estimates = new DecayingQuantiles(halfLifeSamples)
    this.#weight = new EstimateWeight(halfLifeSamples)
  }

  get samples (): number {
    return this.#runTimes.samples
  }

  record ({ runMs, estimateMs, weight = 1 }: RunSample): void {
    const boundedMs = Math.min(MAX_RUN_MS, Math.max(1, runMs))
    const factor = estimateMs === undefined ? 1 : this.#learnEstimate(estimateMs, boundedMs, weight)
    this.#runTimes.record(boundedMs / factor, weight)
    this.#summary = null
  }

  /** Returns null without samples. */
  summarize (): RunTimeSummary | null {
    if (this.samples === 0) return null
    this.#summary ??= {
      samples: this.samples,
      p50Ms: this.#runTimes.getQuantile(0.5),
      p90Ms: this.#runTimes.getQuantile(0.9),
      meanMs: this.#runTimes.mean,
      estimates: this.#summarizeEstimates()
    }
    return this.#summary
  }

  toSnapshot (): RunTimeGroupSnapshot {
    return { samples: this.samples, runTimes: this.#runTimes.toQuantiles(), estimates: this.#estimates.toQuantiles(), weight: this.#weight.value }
  }

  static restore ({ samples, runTimes, estimates, weight }: RunTimeGroupSnapshot, halfLifeSamples: number): RunTimeGroup {
    const group = new RunTimeGroup(halfLifeSamples)
    group.#runTimes.seed(runTimes, samples)
    group.#estimates.seed(estimates, samples)
    group.#weight.seed(weight, samples)
    return group
  }

  /** Returns the factor by which the run time is expected to differ from that of work with the median estimate. */
  #learnEstimate (estimateMs: number, runMs: number, weight: number): number {
    this.#estimates.record(estimateMs, weight)
    const estimates = this.#summarizeEstimates()!
    const medianRunMs = this.#runTimes.getQuantile(0.5)
    if (this.samples > 0) this.#weight.record(Math.log(Math.max(1, estimateMs) / estimates.medianMs), Math.log(runMs / medianRunMs), weight)
    return getRelativeFactor({ ...estimates, weight: this.#weight.value }, estimateMs)
  }

  #summarizeEstimates (): EstimateSummary | null {
    if (this.#estimates.samples === 0) return null
    return {
      medianMs: this.#estimates.getQuantile(0.5),
      lowMs: this.#estimates.getQuantile(LOW_SHARE),
      highMs: this.#estimates.getQuantile(HIGH_SHARE),
      weight: this.#weight.value
    }
  }
}

/** Returns the factor by which work with the estimate takes longer than work with the median estimate of the group. */
export const getRelativeFactor = (estimates: EstimateSummary | null, estimateMs: number): number => {
  if (!estimates) return 1
  const boundedMs = Math.min(estimates.highMs, Math.max(estimates.lowMs, estimateMs))
  return (boundedMs / estimates.medianMs) ** estimates.weight
}
