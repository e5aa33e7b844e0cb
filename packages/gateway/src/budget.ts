import type { Urgency } from '@ibisstair/model'
import { RETRY_MAX_TOKENS, RETRY_TOKENS_PER_SECOND, RETRY_TOKENS_PER_FIRST_ATTEMPT, RETRY_TOKENS_PER_ACCEPTED_RETRY, RETRY_RESERVED_TOKENS } from './constants.ts'

/** A token bucket that bounds the load of retries when a failure domain does not answer. */
export class RetryBudget {
  #tokens = RETRY_MAX_TOKENS / 5
  #lastRefillMs: number | null = null
  #spent = 0
  #denied = 0

  handleFirstAttempt (): void {
    this.#tokens = Math.min(RETRY_MAX_TOKENS, this.#tokens + RETRY_TOKENS_PER_FIRST_ATTEMPT)
  }

  /** An accepted retry shows that its failure domain has recovered, so it allows more retries. */
  handleRetryAccepted (): void {
    this.#tokens = Math.min(RETRY_MAX_TOKENS, this.#tokens + RETRY_TOKENS_PER_ACCEPTED_RETRY)
  }

  /** Takes one retry from the budget; the last tokens are reserved for more urgent requests. */
  trySpend (nowMs: number, urgency: Urgency): boolean {
    const elapsedMs = this.#lastRefillMs === null ? 0 : nowMs - this.#lastRefillMs
    this.#lastRefillMs = nowMs
    this.#tokens = Math.min(RETRY_MAX_TOKENS, this.#tokens + elapsedMs * RETRY_TOKENS_PER_SECOND / 1000)
    if (this.#tokens < 1 + RETRY_RESERVED_TOKENS[urgency]) {
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
