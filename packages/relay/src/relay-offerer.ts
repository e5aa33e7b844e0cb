import { IbisError } from '@ibisstair/common'
import type { Logger } from '@ibisstair/telemetry'
import type { TimerService, Unsubscribe } from '@ibisstair/timers'
import { OFFER_PERIOD_MS } from './constants.ts'
import type { RelayOffer } from './types.ts'

export interface RelayOffererOptions {
  readonly offer: RelayOffer
  /** Sends the offer to the present leader. */
  readonly send: (offer: RelayOffer) => Promise<unknown>
  /** Takes the offer back. */
  readonly withdraw: (offer: RelayOffer) => Promise<unknown>
  readonly timers: TimerService
  readonly logger: Logger
}

/** Tells the leader again and again that this process relays calls. */
export class RelayOfferer {
  readonly #options: RelayOffererOptions
  #stopTimer: Unsubscribe = () => {}
  #isSending = false
  /** Whether an offer was asked for while another one was on its way, perhaps to an earlier leader. */
  #mustRepeat = false
  #hasFailed = false

  constructor (options: RelayOffererOptions) {
    this.#options = options
  }

  start (): void {
    this.#stopTimer = this.#options.timers.every(OFFER_PERIOD_MS, () => this.offer())
    this.offer()
  }

  /** Takes the offer back. Calls that are sent all the same should still be served for a while. */
  stop (): void {
    const { offer, withdraw, logger } = this.#options
    this.#stopTimer()
    this.#mustRepeat = false
    withdraw(offer).catch((err: unknown) => logger.info('the leader does not know that this process relays no more calls', { detail: IbisError.from(err).message }))
  }

  /** Sends the offer now, or after the one that is on its way; called when another leader has taken over. */
  offer (): void {
    this.#mustRepeat = this.#isSending
    if (this.#isSending) return
    const { offer, send, logger } = this.#options
    this.#isSending = true
    send(offer)
      .then(() => { this.#hasFailed = false })
      .catch((err: unknown) => {
        if (!this.#hasFailed) logger.info('offer to relay calls did not reach the leader; it is repeated', { kind: IbisError.from(err).kind, detail: IbisError.from(err).message })
        this.#hasFailed = true
      })
      .finally(() => {
        this.#isSending = false
        if (this.#mustRepeat) this.offer()
      })
  }
}
