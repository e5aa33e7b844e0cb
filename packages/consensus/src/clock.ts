/**
 * Elapsed time for the replica. A step back of the clock counts as no time, so that a deadline is
 * neither skipped nor moved away.
 */
export class ElapsedClock {
  #raw: number | null = null
  #elapsed = 0

  /** Takes over the caller's clock and returns the time since the previous call. */
  advance (rawMs: number): number {
    const delta = this.#raw === null ? 0 : Math.max(0, rawMs - this.#raw)
    this.#raw = rawMs
    this.#elapsed += delta
    return delta
  }

  now (): number {
    return this.#elapsed
  }

  /** The time on this clock that a value of the caller's clock stands for. */
  at (rawMs: number): number {
    return this.#elapsed + Math.max(0, rawMs - (this.#raw ?? rawMs))
  }
}
