import { MAX_RETRY_SPREAD_MS, MIN_RETRY_DELAY_MS, MIN_RETRY_SPREAD_MS, RETRY_WINDOW_MS, RETURNS_PER_S } from './constants.ts'

/**
 * Returns a retry delay that is spread evenly over the time in which the callers should return.
 * `rejections` callers were turned away in the window; `fraction` is uniform in [0, 1).
 */
export const getRetryDelayMs = (rejections: number, fraction: number): number => {
  const spreadMs = Math.min(MAX_RETRY_SPREAD_MS, Math.max(MIN_RETRY_SPREAD_MS, rejections * 1_000 / RETURNS_PER_S))
  return Math.round(MIN_RETRY_DELAY_MS + fraction * spreadMs)
}

/**
 * Chooses the retry delays of the callers that one process turns away. It answers the end of an outage, when all callers
 * of all entries wait for a new leader: they return one after the other instead of at the same moment.
 */
export class RetrySpread {
  /** Times of the rejections in the window, oldest first. Bounded, as more of them do not lengthen the delay. */
  #rejectedAtMs: number[] = []

  /** Records that a caller is turned away and returns its delay. */
  reject (nowMs: number, fraction: number): number {
    const firstInWindow = this.#rejectedAtMs.findIndex((atMs) => nowMs - atMs < RETRY_WINDOW_MS)
    this.#rejectedAtMs = firstInWindow < 0 ? [] : this.#rejectedAtMs.slice(firstInWindow)
    this.#rejectedAtMs.push(nowMs)
    if (this.#rejectedAtMs.length > MAX_COUNTED_REJECTIONS) this.#rejectedAtMs.shift()
    return getRetryDelayMs(this.#rejectedAtMs.length, fraction)
  }
}

const MAX_COUNTED_REJECTIONS = MAX_RETRY_SPREAD_MS * RETURNS_PER_S / 1_000
