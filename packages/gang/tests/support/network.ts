import type { ManualTimerService, RandomSource } from '@ibisstair/timers'
import type { FakeEndpoint } from './endpoint.ts'

export interface NetworkOptions {
  readonly loss: number
  readonly duplication: number
  readonly maxDelayMs: number
}

/** Loses, duplicates and delays requests and answers, and so reorders them. */
export class FakeNetwork {
  /** The longest delay of any handled request, including the wait at a hanging endpoint. */
  worstDelayMs = 0
  areFaultsOff = false
  readonly #cuts = new Set<string>()
  readonly #options: NetworkOptions
  readonly #timers: ManualTimerService
  readonly #random: RandomSource

  constructor (options: NetworkOptions, timers: ManualTimerService, random: RandomSource) {
    this.#options = options
    this.#timers = timers
    this.#random = random
  }

  cut (scheduler: number, endpoint: FakeEndpoint, durationMs: number): void {
    const link = `${scheduler}-${endpoint.id}`
    this.#cuts.add(link)
    this.#timers.subscribe(durationMs, () => this.#cuts.delete(link))
  }

  /** `serve` runs at the endpoint; `onAnswer` runs for each copy of the answer that arrives. */
  request<T> (scheduler: number, endpoint: FakeEndpoint, serve: () => T, onAnswer: (answer: T) => void): void {
    const link = `${scheduler}-${endpoint.id}`
    const sentMs = this.#timers.now()
    this.#deliver(link, () => this.#atEndpoint(endpoint, sentMs, () => {
      const answer = serve()
      this.#deliver(link, () => onAnswer(answer))
    }))
  }

  #atEndpoint (endpoint: FakeEndpoint, sentMs: number, fn: () => void): void {
    if (!endpoint.isUp) return
    const now = this.#timers.now()
    if (endpoint.hungUntilMs > now) {
      this.#timers.subscribe(endpoint.hungUntilMs - now, () => this.#atEndpoint(endpoint, sentMs, fn))
      return
    }
    this.worstDelayMs = Math.max(this.worstDelayMs, now - sentMs)
    fn()
  }

  #deliver (link: string, fn: () => void): void {
    if (this.areFaultsOff) {
      this.#timers.subscribe(1, fn)
      return
    }
    if (this.#cuts.has(link) || this.#random.float() < this.#options.loss) return
    const copies = this.#random.float() < this.#options.duplication ? 2 : 1
    for (let i = 0; i < copies; i++) {
      // Most messages are quick; some arrive long after later ones.
      const isSlow = this.#random.float() < 0.1
      const delayMs = this.#random.int(1, isSlow ? this.#options.maxDelayMs : 20)
      this.#timers.subscribe(delayMs, () => {
        if (!this.#cuts.has(link)) fn()
      })
    }
  }
}
