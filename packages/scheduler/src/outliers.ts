import type { EndpointId } from '@ibisstair/common'

const MIN_SAMPLES = 8
/** Weight of the newest run time in a worker's mean. */
const ALPHA = 0.15
/** A worker this much slower than the median of the domain gets less work. */
const OUTLIER_RATIO = 1.6
/** It is ordinary again below this, so that it does not switch back and forth. */
const ORDINARY_RATIO = 1.25

interface Pace {
  ratio: number
  samples: number
  isOutlier: boolean
}

/** Compares the run times of workers, each relative to what its work usually takes. */
export class Outliers {
  readonly #paces = new Map<EndpointId, Pace>()
  #median = 0
  #noted = 0

  isOutlier (id: EndpointId): boolean {
    return this.#paces.get(id)?.isOutlier ?? false
  }

  /** `ratio` is the run time over the usual one; its logarithm is averaged, since run times are skewed. */
  note (id: EndpointId, ratio: number): void {
    const pace = this.#paces.get(id) ?? { ratio: 0, samples: 0, isOutlier: false }
    this.#paces.set(id, pace)
    pace.samples += 1
    const alpha = Math.max(ALPHA, 1 / pace.samples)
    pace.ratio += alpha * (Math.log(Math.max(ratio, 1e-6)) - pace.ratio)
    // The median moves slowly; one update for as many samples as there are workers is enough.
    if (++this.#noted >= this.#paces.size) this.#updateMedian()
    if (pace.samples < MIN_SAMPLES) return
    const relative = Math.exp(pace.ratio - this.#median)
    pace.isOutlier = pace.isOutlier ? relative > ORDINARY_RATIO : relative > OUTLIER_RATIO
  }

  forget (id: EndpointId): void {
    this.#paces.delete(id)
  }

  #updateMedian (): void {
    this.#noted = 0
    const ratios = [...this.#paces.values()].filter((pace) => pace.samples >= MIN_SAMPLES).map((pace) => pace.ratio).sort((a, b) => a - b)
    this.#median = ratios[Math.floor(ratios.length / 2)] ?? 0
  }
}
