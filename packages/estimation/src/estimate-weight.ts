/** Assumed until samples show otherwise: half of a deviation of the estimate shows in the run time. */
const PRIOR_WEIGHT = 0.5
/** Number of samples that the assumption counts for. */
const PRIOR_SAMPLES = 5
/** Typical variance of the logarithm of estimates within a queue, which are off by half. */
const PRIOR_VARIANCE = 0.1
/** Larger residuals count as this one: 3 in 100 tasks take seven times as long and say nothing about estimates. */
const MAX_RESIDUAL = Math.log(3)
/** Larger deviations of an estimate count as this one. */
const MAX_DEVIATION = Math.log(100)

/**
 * Learns how far submitted estimates tell the run times of one group apart: 1 if a run that is estimated twice as long
 * takes twice as long, 0 if estimates say nothing. It is the slope of a regression between the logarithms, with decay.
 */
export class EstimateWeight {
  readonly #halfLifeSamples: number
  #covariance = PRIOR_WEIGHT * PRIOR_SAMPLES * PRIOR_VARIANCE
  #variance = PRIOR_SAMPLES * PRIOR_VARIANCE

  constructor (halfLifeSamples: number) {
    this.#halfLifeSamples = halfLifeSamples
  }

  get value (): number {
    return Math.min(1, Math.max(0, this.#covariance / this.#variance))
  }

  /** Takes a weight that was learned from the number of samples. */
  seed (value: number, samples: number): void {
    this.#variance = (PRIOR_SAMPLES + Math.min(samples, this.#halfLifeSamples)) * PRIOR_VARIANCE
    this.#covariance = clamp(value, 1) * this.#variance
  }

  /** Takes the logarithms of estimate and run time, each relative to the median of the group. */
  record (estimateDeviation: number, runDeviation: number, weight: number): void {
    const x = clamp(estimateDeviation, MAX_DEVIATION)
    const expected = this.value * x
    const y = expected + clamp(runDeviation - expected, MAX_RESIDUAL)
    const kept = 2 ** (-weight / this.#halfLifeSamples)
    // What decays is replaced by the assumption, so that the weight does not follow single samples of a steady estimate.
    const prior = (1 - kept) * PRIOR_SAMPLES * PRIOR_VARIANCE
    this.#covariance = kept * this.#covariance + prior * PRIOR_WEIGHT + weight * x * y
    this.#variance = kept * this.#variance + prior + weight * x * x
  }
}

const clamp = (value: number, max: number): number => Math.min(max, Math.max(-max, value))
