import { IbisError } from '@ibisstair/common'
import type { Logger } from '@ibisstair/telemetry'
import type { TimerService, Unsubscribe } from '@ibisstair/timers'
import { OFFER_PERIOD_MS } from './constants.ts'
import type { RelayOffer } from './types.ts'

export interface RelayOffererOptions {
  readonly offer: RelayOffer
  /** Sends the offer to the present leader. */
  readonly send: (offer: RelayOffer) => Promise<unknown>
  readonly timers: TimerService
  readonly logger: Logger
}

/** Tells the leader again and again that this process relays calls. */
export class RelayOfferer {
  readonly #options: RelayOffererOptions
  #stopTimer: Unsubscribe = () => {}
  #isSending = false
  #hasFailed = false

  constructor (options: RelayOffererOptions) {
    this.#options = options
  }

  start (): void {
    this.#stopTimer = this.#options.timers.every(OFFER_PERIOD_MS, () => this.offer())
    this.offer()
  }

  stop (): void {
    this.#stopTimer()
  }

  /** Sends the offer now, unless one is on its way; called when another leader has taken over. */
  offer (): void {
    if (this.#isSending) return
    const { offer, send, logger } = this.#options
    this.#isSending = true
    send(offer)
      .then(() => { this.#hasFailed = false })
      .catch((err: unknown) => {
        if (!this.#hasFailed) logger.info('offer to relay calls did not reach the leader; it is repeated', { kind: IbisError.from(err).kind, detail: IbisError.from(err).message })
        this.#hasFailed = true
      })
      .finally(() => { this.#isSending = false })
  }
}
