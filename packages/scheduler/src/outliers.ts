import type { EndpointId } from '@ibisstair/common'

const MIN_SAMPLES = 8
/** Weight of the newest run time in a worker's mean. */
const NEWEST_SAMPLE_WEIGHT = 0.15
/** A worker this much slower than the median of the domain is an outlier and is used only when nothing else is left. */
const OUTLIER_RATIO = 1.6
/** An outlier recovers below this ratio; the gap to `OUTLIER_RATIO` prevents flapping. */
const RECOVERY_RATIO = 1.25

interface WorkerStats {
  meanLogRatio: number
  samples: number
  isOutlier: boolean
}

/** Compares the run times of workers, each relative to what its work usually takes. */
export class OutlierDetector {
  readonly #workers = new Map<EndpointId, WorkerStats>()
  #medianLogRatio = 0
  #samplesSinceMedian = 0

  isOutlier (id: EndpointId): boolean {
    return this.#workers.get(id)?.isOutlier ?? false
  }

  /** `ratio` is the run time over the usual one; its logarithm is averaged, since run times are skewed. */
  record (id: EndpointId, ratio: number): void {
    const stats = this.#workers.get(id) ?? { meanLogRatio: 0, samples: 0, isOutlier: false }
    this.#workers.set(id, stats)
    stats.samples += 1
    const alpha = Math.max(NEWEST_SAMPLE_WEIGHT, 1 / stats.samples)
    stats.meanLogRatio += alpha * (Math.log(Math.max(ratio, 1e-6)) - stats.meanLogRatio)
    // The median moves slowly; one update for as many samples as there are workers is enough.
    if (++this.#samplesSinceMedian >= this.#workers.size) this.#updateMedian()
    if (stats.samples < MIN_SAMPLES) return
    const relative = Math.exp(stats.meanLogRatio - this.#medianLogRatio)
    stats.isOutlier = stats.isOutlier ? relative > RECOVERY_RATIO : relative > OUTLIER_RATIO
  }

  remove (id: EndpointId): void {
    this.#workers.delete(id)
  }

  #updateMedian (): void {
    this.#samplesSinceMedian = 0
    const ratios = [...this.#workers.values()].filter((stats) => stats.samples >= MIN_SAMPLES).map((stats) => stats.meanLogRatio).sort((a, b) => a - b)
    this.#medianLogRatio = ratios[Math.floor(ratios.length / 2)] ?? 0
  }
}
