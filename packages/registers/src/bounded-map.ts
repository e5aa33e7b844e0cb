/** A map that keeps the newest `limit` entries and evicts the oldest. */
export class BoundedMap<V> {
  readonly #limit: number
  readonly #entries = new Map<string, V>()

  constructor (limit: number, entries: Iterable<readonly [string, V]> = []) {
    this.#limit = limit
    for (const [key, value] of entries) this.add(key, value)
  }

  get size (): number {
    return this.#entries.size
  }

  get (key: string): V | undefined {
    return this.#entries.get(key)
  }

  /** Returns the value that was evicted to keep the limit, if any. */
  add (key: string, value: V): V | undefined {
    this.#entries.set(key, value)
    if (this.#entries.size <= this.#limit) return undefined
    const [oldest, dropped] = this.#entries.entries().next().value!
    this.#entries.delete(oldest)
    return dropped
  }

  toEntries (): Array<[string, V]> {
    return [...this.#entries]
  }
}
