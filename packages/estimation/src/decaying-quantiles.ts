/** Upper bound of a bin divided by its lower bound; a quantile is exact to within half of it. */
const BIN_FACTOR = 1.1
/** The last bin begins above 30 days in milliseconds. */
const BIN_COUNT = 230
/** Weights are scaled down before they lose precision. */
const MAX_SCALE = 1e9

/** Shares whose quantiles stand for a fifth of the samples each. */
const KEPT_SHARES = [0.1, 0.3, 0.5, 0.7, 0.9]

const LOG_BIN_FACTOR = Math.log(BIN_FACTOR)

/**
 * Quantiles of positive values, in which a sample counts half as much after `halfLifeSamples` later ones. The memory is
 * bounded, and a quantile is exact to within 5 %.
 */
export class DecayingQuantiles {
  readonly #halfLifeSamples: number
  readonly #bins = new Float64Array(BIN_COUNT)
  /** Weight of a new sample. It grows, so that earlier samples need no update. */
  #scale = 1
  #total = 0
  #sum = 0
  #samples = 0

  constructor (halfLifeSamples: number) {
    this.#halfLifeSamples = halfLifeSamples
  }

  /** Number of samples so far, without decay; a sample of weight 0.5 counts by half. */
  get samples (): number {
    return this.#samples
  }

  /** NaN without samples. */
  get mean (): number {
    return this.#sum / this.#total
  }

  record (value: number, weight = 1): void {
    this.#scale *= 2 ** (weight / this.#halfLifeSamples)
    const scaledWeight = weight * this.#scale
    this.#bins[toBin(value)]! += scaledWeight
    this.#total += scaledWeight
    this.#sum += scaledWeight * value
    this.#samples += weight
    if (this.#scale > MAX_SCALE) this.#rescale()
  }

  /** Returns the value below which the share of the samples lies; NaN without samples. */
  getQuantile (share: number): number {
    if (this.#total === 0) return NaN
    const wanted = share * this.#total
    let below = 0
    for (let bin = 0; bin < BIN_COUNT; bin++) {
      below += this.#bins[bin]!
      if (below >= wanted && this.#bins[bin]! > 0) return toValue(bin)
    }
    // Rounding may leave the sum of the bins below the total.
    return toValue(this.#bins.findLastIndex((weight) => weight > 0))
  }

  /** Returns the quantiles from which `seed` restores about the same distribution; none without samples. */
  toQuantiles (): number[] {
    return this.#total === 0 ? [] : KEPT_SHARES.map((share) => Math.round(this.getQuantile(share)))
  }

  /** Adds samples at the values, which decay like others. No more are added than would count after decay. */
  seed (values: readonly number[], samples: number): void {
    const counted = Math.min(samples, this.#halfLifeSamples / Math.LN2)
    for (const value of values) {
      const weight = counted / values.length
      this.#bins[toBin(value)]! += weight * this.#scale
      this.#total += weight * this.#scale
      this.#sum += weight * this.#scale * value
      this.#samples += weight
    }
  }

  #rescale (): void {
    for (let bin = 0; bin < BIN_COUNT; bin++) this.#bins[bin]! /= this.#scale
    this.#total /= this.#scale
    this.#sum /= this.#scale
    this.#scale = 1
  }
}

const toBin = (value: number): number => Math.min(BIN_COUNT - 1, Math.floor(Math.log(Math.max(1, value)) / LOG_BIN_FACTOR))

/** Returns the geometric centre of the bin. */
const toValue = (bin: number): number => BIN_FACTOR ** (bin + 0.5)
