import type { JsHistogram } from 'hdr-histogram-js/dist/JsHistogram.js'
import { constructorFromBucketSize } from 'hdr-histogram-js/dist/JsHistogramFactory.js'
import { MAX_LATENCY_MS } from './constants.ts'
import type { LatencySummary } from './types.ts'

const SIGNIFICANT_DIGITS = 2
const COUNT_BITS = 32

/** Histogram of latencies from 0 ms to one day in a fixed amount of memory (about 11 kB). */
export class LatencyHistogram {
  // Uses the factory of the JavaScript build, because the main module would load the WebAssembly build.
  readonly #histogram = new (constructorFromBucketSize(COUNT_BITS))(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS) as JsHistogram

  /** Records a latency, clamped to the range; ignores NaN. */
  record (ms: number): void {
    if (Number.isNaN(ms)) return
    this.#histogram.recordValue(Math.round(Math.min(MAX_LATENCY_MS, Math.max(0, ms))))
  }

  get count (): number {
    return this.#histogram.totalCount
  }

  /** Returns the latency in milliseconds at a quantile from 0 to 1, or 0 when nothing is recorded. */
  quantile (fraction: number): number {
    if (this.count === 0) return 0
    return this.#histogram.getValueAtPercentile(fraction * 100)
  }

  summarise (): LatencySummary {
    const { count } = this
    return {
      count,
      mean: count === 0 ? 0 : this.#histogram.mean,
      p50: this.quantile(0.5),
      p90: this.quantile(0.9),
      p99: this.quantile(0.99),
      max: count === 0 ? 0 : this.#histogram.maxValue
    }
  }

  add (other: LatencyHistogram): void {
    this.#histogram.add(other.#histogram)
  }

  reset (): void {
    this.#histogram.reset()
  }
}
