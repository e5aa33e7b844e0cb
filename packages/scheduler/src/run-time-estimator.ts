import type { CustomerId, KindOfWork } from '@ibisstair/common'
import type { JsHistogram } from 'hdr-histogram-js/dist/JsHistogram.js'
import { constructorFromBucketSize } from 'hdr-histogram-js/dist/JsHistogramFactory.js'

const MAX_RUN_MS = 30 * 24 * 3_600_000
/** One digit keeps a histogram near 2 KB; estimates need no more. */
const SIGNIFICANT_DIGITS = 1
const MAX_GROUPS = 1000
/** Below this number of samples the declared run time counts, with a wide range. */
const MIN_SAMPLES = 5
/** Samples after which the older half is forgotten, so that the estimate follows changes. */
const WINDOW_SAMPLES = 200
/** Declared run times are off by up to this factor in both directions. */
const DECLARED_ERROR_FACTOR = 10

export interface RunTimeEstimate {
  /** Lowest run time that is likely; refusals use it, so that a wrong declaration refuses nothing. */
  readonly lowMs: number
  readonly p50Ms: number
  readonly p90Ms: number
  readonly samples: number
}

interface Group {
  newer: JsHistogram
  older: JsHistogram | undefined
  estimate: RunTimeEstimate | undefined
}

const createHistogram = (): JsHistogram => new (constructorFromBucketSize(32))(1, MAX_RUN_MS, SIGNIFICANT_DIGITS)

/** Run times by customer, kind of work and power of two of the accelerators. */
export class RunTimeEstimator {
  readonly #groups = new Map<string, Group>()

  record (customer: CustomerId, kind: KindOfWork, accelerators: number, runMs: number): void {
    const key = keyOf(customer, kind, accelerators)
    const group = this.#groups.get(key) ?? this.#create(key)
    group.newer.recordValue(Math.min(MAX_RUN_MS, Math.max(1, Math.round(runMs))))
    group.estimate = undefined
    if (group.newer.totalCount < WINDOW_SAMPLES) return
    group.older = group.newer
    group.newer = createHistogram()
  }

  estimate (customer: CustomerId, kind: KindOfWork, accelerators: number, declaredMs: number): RunTimeEstimate {
    const group = this.#groups.get(keyOf(customer, kind, accelerators))
    const samples = group ? group.newer.totalCount + (group.older?.totalCount ?? 0) : 0
    if (!group || samples < MIN_SAMPLES) {
      return { lowMs: declaredMs / DECLARED_ERROR_FACTOR, p50Ms: declaredMs, p90Ms: declaredMs * DECLARED_ERROR_FACTOR, samples }
    }
    group.estimate ??= summarise(group, samples)
    return group.estimate
  }

  #create (key: string): Group {
    if (this.#groups.size >= MAX_GROUPS) this.#groups.delete(this.#groups.keys().next().value!)
    const group: Group = { newer: createHistogram(), older: undefined, estimate: undefined }
    this.#groups.set(key, group)
    return group
  }
}

const keyOf = (customer: CustomerId, kind: KindOfWork, accelerators: number): string =>
  `${customer}\u0000${kind}\u0000${Math.ceil(Math.log2(Math.max(1, accelerators)))}`

const summarise = ({ newer, older }: Group, samples: number): RunTimeEstimate => {
  // A freshly rotated window is too small to stand alone.
  const source = older && newer.totalCount < WINDOW_SAMPLES / 4 ? older : newer
  const p50Ms = source.getValueAtPercentile(50)
  return { lowMs: source.mean * 0.8, p50Ms, p90Ms: source.getValueAtPercentile(90), samples }
}
