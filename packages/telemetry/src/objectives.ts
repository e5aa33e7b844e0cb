import { invariant, type KindOfWork } from '@ibisstair/common'
import { LONG_WINDOW_MS, MAX_OBJECTIVE_KINDS, OBJECTIVE_BUCKET_MS } from './constants.ts'
import type { KindObjective, ObjectiveBucket, ObjectiveCounts } from './types.ts'

interface Slot {
  startMs: number
  good: number
  total: number
}

interface KindWindow {
  objective: KindObjective
  readonly slots: Slot[]
}

/** One more than fits into the long window, because the oldest bucket overlaps the window only partly. */
const SLOT_COUNT = LONG_WINDOW_MS / OBJECTIVE_BUCKET_MS + 1

const createSlots = (): Slot[] => Array.from({ length: SLOT_COUNT }, () => ({ startMs: -1, good: 0, total: 0 }))

/**
 * Counts good and all requests of each kind of work over the last hour. Buckets are aligned to the Unix
 * epoch, so that the counts of several entries can be summed bucket by bucket.
 */
export class ObjectiveWindow {
  readonly #kinds = new Map<KindOfWork, KindWindow>()
  #ignored = 0

  /** Applies the objectives of a new configuration; kinds that remain keep their counts. */
  setObjectives (objectives: readonly KindObjective[]): void {
    const accepted = objectives.slice(0, MAX_OBJECTIVE_KINDS)
    const acceptedKinds = new Set(accepted.map(({ kind }) => kind))
    for (const kind of this.#kinds.keys()) if (!acceptedKinds.has(kind)) this.#kinds.delete(kind)
    for (const { kind, startWithinMs, target } of accepted) {
      const objective = { kind, startWithinMs, target }
      const window = this.#kinds.get(kind)
      if (window) window.objective = objective
      else this.#kinds.set(kind, { objective, slots: createSlots() })
    }
  }

  /** Records a request that started after waiting `waitedMs`; `atMs` is wall-clock time. */
  recordStart (kind: KindOfWork, waitedMs: number, atMs: number): void {
    const window = this.#kinds.get(kind)
    if (!window) {
      this.#ignored += 1
      return
    }
    this.#countRequest(window, waitedMs <= window.objective.startWithinMs, atMs)
  }

  /** Records a request that the system did not start at all. */
  recordMiss (kind: KindOfWork, atMs: number): void {
    this.recordStart(kind, Infinity, atMs)
  }

  /** Number of requests that were ignored because their kind has no objective. */
  get ignored (): number {
    return this.#ignored
  }

  snapshot (atMs: number): ObjectiveCounts[] {
    return [...this.#kinds.values()].map(({ objective, slots }) => ({
      ...objective,
      buckets: slots
        .filter(({ startMs }) => startMs >= 0 && startMs <= atMs && startMs + OBJECTIVE_BUCKET_MS > atMs - LONG_WINDOW_MS)
        .sort((a, b) => a.startMs - b.startMs)
        .map(({ startMs, good, total }): ObjectiveBucket => [startMs, good, total])
    }))
  }

  #countRequest ({ slots }: KindWindow, isGood: boolean, atMs: number): void {
    const bucketNumber = Math.floor(atMs / OBJECTIVE_BUCKET_MS)
    const startMs = bucketNumber * OBJECTIVE_BUCKET_MS
    const slot = slots[bucketNumber % SLOT_COUNT]
    invariant(slot, 'the time of a request is a Unix time in milliseconds', { atMs })
    if (slot.startMs !== startMs) Object.assign(slot, { startMs, good: 0, total: 0 })
    slot.total += 1
    if (isGood) slot.good += 1
  }
}
