/**
 * Monotonic elapsed time for the replica. When the caller's clock steps back, no time elapses, so that
 * deadlines are neither skipped nor postponed.
 */
export class ElapsedClock {
  #lastRawMs: number | null = null
  #elapsedMs = 0

  /** Advances to the caller's time and returns the milliseconds since the previous call. */
  advance (rawMs: number): number {
    const delta = this.#lastRawMs === null ? 0 : Math.max(0, rawMs - this.#lastRawMs)
    this.#lastRawMs = rawMs
    this.#elapsedMs += delta
    return delta
  }

  now (): number {
    return this.#elapsedMs
  }

  /** Converts a time of the caller's clock to a time on this clock. */
  toElapsed (rawMs: number): number {
    return this.#elapsedMs + Math.max(0, rawMs - (this.#lastRawMs ?? rawMs))
  }
}
