import type { EndpointId } from '@ibisstair/common'

const MIN_SAMPLES = 8
/** Weight of the newest run time in a worker's mean. */
const NEWEST_SAMPLE_WEIGHT = 0.15
/** A worker this much slower than the median of the domain gets less work. */
const OUTLIER_RATIO = 1.6
/** It is ordinary again below this, so that it does not switch back and forth. */
const RECOVERY_RATIO = 1.25

interface WorkerStats {
  ratio: number
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
    const pace = this.#workers.get(id) ?? { ratio: 0, samples: 0, isOutlier: false }
    this.#workers.set(id, pace)
    pace.samples += 1
    const alpha = Math.max(NEWEST_SAMPLE_WEIGHT, 1 / pace.samples)
    pace.ratio += alpha * (Math.log(Math.max(ratio, 1e-6)) - pace.ratio)
    // The median moves slowly; one update for as many samples as there are workers is enough.
    if (++this.#samplesSinceMedian >= this.#workers.size) this.#updateMedian()
    if (pace.samples < MIN_SAMPLES) return
    const relative = Math.exp(pace.ratio - this.#medianLogRatio)
    pace.isOutlier = pace.isOutlier ? relative > RECOVERY_RATIO : relative > OUTLIER_RATIO
  }

  remove (id: EndpointId): void {
    this.#workers.delete(id)
  }

  #updateMedian (): void {
    this.#samplesSinceMedian = 0
    const ratios = [...this.#workers.values()].filter((pace) => pace.samples >= MIN_SAMPLES).map((pace) => pace.ratio).sort((a, b) => a - b)
    this.#medianLogRatio = ratios[Math.floor(ratios.length / 2)] ?? 0
  }
}
