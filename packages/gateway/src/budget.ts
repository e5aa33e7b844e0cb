import { RETRY_MAX_SAVED, RETRY_MIN_PER_SECOND, RETRY_RATIO } from './constants.ts'

/** Bounds the load that retries add when a failure domain does not answer. */
export class RetryBudget {
  #tokens = RETRY_MAX_SAVED / 5
  #lastMs: number | null = null
  #spent = 0
  #denied = 0

  handleFirstAttempt (): void {
    this.#tokens = Math.min(RETRY_MAX_SAVED, this.#tokens + RETRY_RATIO)
  }

  /** Takes one extra attempt from the budget if there is one. */
  trySpend (nowMs: number): boolean {
    const elapsedMs = this.#lastMs === null ? 0 : nowMs - this.#lastMs
    this.#lastMs = nowMs
    this.#tokens = Math.min(RETRY_MAX_SAVED, this.#tokens + elapsedMs * RETRY_MIN_PER_SECOND / 1000)
    if (this.#tokens < 1) {
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
