const TOKENS_PER_FIRST_ATTEMPT = 0.1
const TOKENS_PER_SECOND = 1
const MAX_TOKENS = 50

/** Token bucket for retries of failed or lost work: one retry for ten first attempts, plus one a second. */
export class RetryBudget {
  #tokens = MAX_TOKENS
  #refilledAtMs = 0

  recordFirstAttempt (): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + TOKENS_PER_FIRST_ATTEMPT)
  }

  tryTake (nowMs: number): boolean {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + TOKENS_PER_SECOND * Math.max(0, nowMs - this.#refilledAtMs) / 1000)
    this.#refilledAtMs = nowMs
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }
}
