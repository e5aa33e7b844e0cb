import { USAGE_DECAY_MS } from './constants.ts'

interface Average {
  value: number
  atMs: number
}

/**
 * Average of each customer's share in which older values count less. It answers floods of short work: a customer whose runs
 * have all just ended is not taken for one that has used nothing. The first value of a customer counts as its past.
 */
export class DecayingUsage<K> {
  readonly #averages = new Map<K, Average>()

  /** Records the current share, which is taken to have held since the last record. */
  record (customer: K, share: number, nowMs: number): number {
    const known = this.#averages.get(customer)
    if (!known) {
      this.#averages.set(customer, { value: share, atMs: nowMs })
      return share
    }
    const weight = Math.exp(-Math.max(0, nowMs - known.atMs) / USAGE_DECAY_MS)
    known.value = share + (known.value - share) * weight
    known.atMs = nowMs
    return known.value
  }

  /** Drops customers that have not been recorded for so long that their past no longer counts. */
  removeOlderThan (atMs: number): void {
    for (const [customer, average] of this.#averages) if (average.atMs < atMs) this.#averages.delete(customer)
  }

  get size (): number {
    return this.#averages.size
  }
}
