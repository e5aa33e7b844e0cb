import type { EndpointIncarnation } from '@ibisstair/jobs'
import type { TimerService } from '@ibisstair/timers'
import { REPLACEMENT_RETRY_DELAY_MS } from './constants.ts'

export interface ReplacedEndpointsOptions {
  readonly timers: TimerService
  /** Whether the incarnation is still in the replicated state. */
  readonly isRegistered: (life: EndpointIncarnation) => boolean
  /** Finds out what became of its runs, and removes it. May reject, or leave it registered. */
  readonly remove: (life: EndpointIncarnation) => Promise<void>
  readonly log: (message: string, fields: Readonly<Record<string, unknown>>) => void
}

interface Removal {
  isInProgress: boolean
  retryAtMs: number
}

/**
 * Incarnations whose place another one has taken: they have ended and get no more orders, whether the successor
 * announces itself or not. The removal of each is tried again until the replicated state no longer has it.
 */
export class ReplacedEndpoints {
  readonly #options: ReplacedEndpointsOptions
  readonly #removals = new Map<EndpointIncarnation, Removal>()

  constructor (options: ReplacedEndpointsOptions) {
    this.#options = options
  }

  has (life: EndpointIncarnation): boolean {
    return this.#removals.has(life)
  }

  /** Begins the removal, unless that has been done. */
  add (life: EndpointIncarnation): void {
    if (this.#removals.has(life) || !this.#options.isRegistered(life)) return
    this.#removals.set(life, { isInProgress: false, retryAtMs: -Infinity })
    this.retryDue()
  }

  /** Tries the removals again whose last attempt is over and has failed. To be called only while leading. */
  retryDue (): void {
    const { timers, isRegistered } = this.#options
    for (const [life, removal] of this.#removals) {
      if (!isRegistered(life)) this.#removals.delete(life)
      else if (!removal.isInProgress && timers.now() >= removal.retryAtMs) this.#remove(life, removal)
    }
  }

  #remove (life: EndpointIncarnation, removal: Removal): void {
    const { timers, remove, log } = this.#options
    removal.isInProgress = true
    remove(life)
      .catch((err: unknown) => log('removal of a replaced endpoint failed; it is tried again while this process leads', { life, err }))
      .finally(() => {
        removal.isInProgress = false
        removal.retryAtMs = timers.now() + REPLACEMENT_RETRY_DELAY_MS
      })
  }
}
