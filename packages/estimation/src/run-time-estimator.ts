import type { CustomerId } from '@ibisstair/common'
import { QueueRunTimes } from './queue-run-times.ts'
import { getRelativeFactor, RunTimeGroup, type RunSample, type RunTimeGroupSnapshot, type RunTimeSummary } from './run-time-group.ts'

/** Bounds the memory to about 4 MB. */
const MAX_GROUPS = 1_000
/** Below this number of samples the declared run time counts; the sum of partial samples may be slightly below a whole number. */
const MIN_SAMPLES = 5 - 0.01
/** Declared run times are off by up to this factor in both directions. */
const DECLARED_ERROR_FACTOR = 10
/** Lowest run time that is likely, as a share of the mean. */
const LOW_SHARE_OF_MEAN = 0.8
const DEFAULT_HALF_LIFE_SAMPLES = 64

/** Groups in a snapshot, which are those that were recorded last; about 200 bytes each as JSON. */
export const MAX_SHARED_GROUPS = 200
/** A group is shared from its first whole sample on. */
const MIN_SHARED_SAMPLES = 0.99

/** Work whose run times are similar. */
export interface WorkGroup {
  /** Null for work of a public queue. */
  readonly customer: CustomerId | null
  /** Queue or kind of work. */
  readonly queue: string
  /** Groups are told apart by powers of two. */
  readonly accelerators: number
}

export interface RunTimeEstimate {
  /** Lowest run time that is likely; refusals use it, so that a wrong declaration refuses nothing. */
  readonly lowMs: number
  readonly p50Ms: number
  readonly p90Ms: number
  readonly samples: number
}

export interface RunTimePrediction {
  readonly p50Ms: number
  readonly p90Ms: number
}

export interface LearnedQueue extends RunTimePrediction {
  readonly queue: string
  readonly samples: number
  /** Run time divided by submitted estimate, of the medians; null when no estimates were recorded. */
  readonly estimateRatio: number | null
}

export interface SharedRunTimes extends RunTimeGroupSnapshot {
  readonly work: WorkGroup
  /** Whether it stands for all work of the customer in the queue. */
  readonly isWhole: boolean
}

interface Entry {
  readonly work: WorkGroup
  readonly group: RunTimeGroup
  /** Whether it has all work of the customer in the queue. */
  readonly isWhole: boolean
}

export interface RunTimeEstimatorOptions {
  /** Number of later samples after which a sample counts half as much. */
  readonly halfLifeSamples?: number
}

/** Run times by customer, queue and power of two of the accelerators, with decay. The groups that were recorded last are kept. */
export class RunTimeEstimator {
  readonly #halfLifeSamples: number
  /** In the order of their last records. */
  readonly #entries = new Map<string, Entry>()
  readonly #queues = new Map<string, QueueRunTimes>()

  constructor ({ halfLifeSamples = DEFAULT_HALF_LIFE_SAMPLES }: RunTimeEstimatorOptions = {}) {
    this.#halfLifeSamples = halfLifeSamples
  }

  record (work: WorkGroup, sample: RunSample): void {
    this.#getOrCreate(toKey(work), work, false).group.record(sample)
    this.#getOrCreate(toWholeKey(work), work, true).group.record(sample)
    this.#queues.get(work.queue)?.handleRecorded()
  }

  /** Returns the run times of the group alone, or a wide range around the declared one. */
  estimate (work: WorkGroup, declaredMs: number): RunTimeEstimate {
    const group = this.#entries.get(toKey(work))?.group
    const summary = group?.summarize()
    if (!summary || summary.samples < MIN_SAMPLES) {
      return { lowMs: declaredMs / DECLARED_ERROR_FACTOR, p50Ms: declaredMs, p90Ms: declaredMs * DECLARED_ERROR_FACTOR, samples: group?.samples ?? 0 }
    }
    return { lowMs: summary.meanMs * LOW_SHARE_OF_MEAN, p50Ms: summary.p50Ms, p90Ms: summary.p90Ms, samples: summary.samples }
  }

  /**
   * Predicts from the most similar work that has enough samples: the group, all work of the customer in the queue, or the
   * queue. The estimate counts relative to those of that work. Returns null when none has enough.
   */
  predict (work: WorkGroup, estimateMs: number): RunTimePrediction | null {
    const summary = this.#find(work)
    if (!summary) return null
    const factor = getRelativeFactor(summary.estimates, estimateMs)
    return { p50Ms: summary.p50Ms * factor, p90Ms: summary.p90Ms * factor }
  }

  /** Returns the queues that have enough samples, over all customers. */
  listLearnedQueues (): LearnedQueue[] {
    return [...this.#queues].flatMap(([queue, runTimes]) => {
      const summary = runTimes.summarize()
      if (!summary || summary.samples < MIN_SAMPLES) return []
      const { samples, p50Ms, p90Ms, estimates } = summary
      return [{ queue, samples, p50Ms, p90Ms, estimateRatio: estimates ? p50Ms / estimates.medianMs : null }]
    })
  }

  /** Returns what another process needs to continue; the groups that were recorded last come last. */
  toSnapshot (): SharedRunTimes[] {
    return [...this.#entries.values()]
      .filter(({ group }) => group.samples >= MIN_SHARED_SAMPLES)
      .slice(-MAX_SHARED_GROUPS)
      .map(({ work, group, isWhole }) => ({ work, isWhole, ...group.toSnapshot() }))
  }

  /** Takes over a snapshot; groups that are known already stay. */
  restore (snapshot: readonly SharedRunTimes[]): void {
    for (const { work, isWhole, ...group } of snapshot) {
      const key = isWhole ? toWholeKey(work) : toKey(work)
      if (!this.#entries.has(key)) this.#add(key, { work, isWhole, group: RunTimeGroup.restore(group, this.#halfLifeSamples) })
    }
  }

  #find (work: WorkGroup): RunTimeSummary | null {
    const group = this.#entries.get(toKey(work))?.group
    if (group && group.samples >= MIN_SAMPLES) return group.summarize()
    const whole = this.#entries.get(toWholeKey(work))?.group
    if (whole && whole.samples >= MIN_SAMPLES) return whole.summarize()
    const summary = this.#queues.get(work.queue)?.summarizeForOthers() ?? null
    return summary && summary.samples >= MIN_SAMPLES ? summary : null
  }

  #getOrCreate (key: string, work: WorkGroup, isWhole: boolean): Entry {
    const known = this.#entries.get(key)
    if (!known) return this.#add(key, { work, group: new RunTimeGroup(this.#halfLifeSamples), isWhole })
    this.#entries.delete(key)
    this.#entries.set(key, known)
    return known
  }

  #add (key: string, entry: Entry): Entry {
    this.#entries.set(key, entry)
    if (entry.isWhole) this.#addToQueue(entry.work, entry.group)
    if (this.#entries.size > MAX_GROUPS) this.#removeOldest()
    return entry
  }

  #addToQueue ({ queue, customer }: WorkGroup, group: RunTimeGroup): void {
    const runTimes = this.#queues.get(queue) ?? new QueueRunTimes()
    this.#queues.set(queue, runTimes)
    runTimes.set(customer, group)
  }

  #removeOldest (): void {
    const [key, { work: { queue, customer }, isWhole }] = this.#entries.entries().next().value!
    this.#entries.delete(key)
    if (!isWhole) return
    const runTimes = this.#queues.get(queue)!
    runTimes.remove(customer)
    if (runTimes.isEmpty) this.#queues.delete(queue)
  }
}

const toWholeKey = ({ customer, queue }: WorkGroup): string => `${customer === null ? '' : `c${customer}`}\u0000${queue}`

const toKey = (work: WorkGroup): string => `${toWholeKey(work)}\u0000${Math.ceil(Math.log2(Math.max(1, work.accelerators)))}`
