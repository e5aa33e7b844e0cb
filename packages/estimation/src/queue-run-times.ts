import type { CustomerId } from '@ibisstair/common'
import type { EstimateSummary, RunTimeGroup, RunTimeSummary } from './run-time-group.ts'

/** With fewer customers, a single one that submits much would decide what is expected of the others. */
const MIN_CUSTOMERS = 3
/** A customer counts from its first whole sample on; the sum of partial ones may be slightly below 1. */
const MIN_SAMPLES_OF_CUSTOMER = 0.99

/** The run times of one queue over its customers. Each customer counts once, however much it submits. */
export class QueueRunTimes {
  readonly #customers = new Map<CustomerId | null, RunTimeGroup>()
  /** Undefined while it has to be computed. */
  #summary: RunTimeSummary | null | undefined

  get isEmpty (): boolean {
    return this.#customers.size === 0
  }

  set (customer: CustomerId | null, group: RunTimeGroup): void {
    this.#customers.set(customer, group)
    this.#summary = undefined
  }

  remove (customer: CustomerId | null): void {
    this.#customers.delete(customer)
    this.#summary = undefined
  }

  handleRecorded (): void {
    this.#summary = undefined
  }

  /** Returns what is expected of a customer that has no samples of its own; null when too few customers are known. */
  summarizeForOthers (): RunTimeSummary | null {
    const summary = this.summarize()
    return this.#listSummaries().length >= MIN_CUSTOMERS ? summary : null
  }

  /** Returns the medians over the customers; null without samples. */
  summarize (): RunTimeSummary | null {
    if (this.#summary === undefined) this.#summary = combine(this.#listSummaries())
    return this.#summary
  }

  #listSummaries (): RunTimeSummary[] {
    const summaries: RunTimeSummary[] = []
    for (const group of this.#customers.values()) {
      const summary = group.samples >= MIN_SAMPLES_OF_CUSTOMER ? group.summarize() : null
      if (summary) summaries.push(summary)
    }
    return summaries
  }
}

const combine = (summaries: readonly RunTimeSummary[]): RunTimeSummary | null => {
  if (summaries.length === 0) return null
  const estimates = summaries.flatMap((summary) => summary.estimates ?? [])
  return {
    samples: summaries.reduce((sum, { samples }) => sum + samples, 0),
    p50Ms: getMedian(summaries, ({ p50Ms }) => p50Ms),
    p90Ms: getMedian(summaries, ({ p90Ms }) => p90Ms),
    meanMs: getMedian(summaries, ({ meanMs }) => meanMs),
    estimates: estimates.length === 0 ? null : combineEstimates(estimates)
  }
}

const combineEstimates = (estimates: readonly EstimateSummary[]): EstimateSummary => ({
  medianMs: getMedian(estimates, ({ medianMs }) => medianMs),
  lowMs: getMedian(estimates, ({ lowMs }) => lowMs),
  highMs: getMedian(estimates, ({ highMs }) => highMs),
  weight: getMedian(estimates, ({ weight }) => weight)
})

const getMedian = <T> (items: readonly T[], select: (item: T) => number): number =>
  items.map(select).sort((a, b) => a - b)[(items.length - 1) >> 1]!
