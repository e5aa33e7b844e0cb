import type { Urgency } from '@ibisstair/model'
import { RETRY_MAX_SAVED, RETRY_MIN_PER_SECOND, RETRY_RATIO, RETRY_REFUND, RETRY_RESERVE } from './constants.ts'

/** Bounds the load that retries add when a failure domain does not answer. */
export class RetryBudget {
  #tokens = RETRY_MAX_SAVED / 5
  #lastMs: number | null = null
  #spent = 0
  #denied = 0

  handleFirstAttempt (): void {
    this.#tokens = Math.min(RETRY_MAX_SAVED, this.#tokens + RETRY_RATIO)
  }

  /** A retry that was accepted shows that its failure domain is back, so more retries may follow. */
  handleRetryAccepted (): void {
    this.#tokens = Math.min(RETRY_MAX_SAVED, this.#tokens + RETRY_REFUND)
  }

  /** Takes one extra attempt from the budget; the last ones are kept for more urgent requests. */
  trySpend (nowMs: number, urgency: Urgency): boolean {
    const elapsedMs = this.#lastMs === null ? 0 : nowMs - this.#lastMs
    this.#lastMs = nowMs
    this.#tokens = Math.min(RETRY_MAX_SAVED, this.#tokens + elapsedMs * RETRY_MIN_PER_SECOND / 1000)
    if (this.#tokens < 1 + RETRY_RESERVE[urgency]) {
      this.#denied += 1
      return false
    }
    this.#tokens -= 1
    this.#spent += 1
    return true
  }

  get spent (): number {
    return this.#spent
  }

  get denied (): number {
    return this.#denied
  }
}
