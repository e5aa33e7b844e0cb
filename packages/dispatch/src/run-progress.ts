/** Shortest time between two observations that a rate is taken from; percents are whole numbers. */
const MIN_OBSERVATION_MS = 400

interface Observation {
  readonly percent: number
  readonly atMs: number
}

/** The progress of one run as its endpoint reports it, and an estimate of when the run ends. */
export class RunProgress {
  #first: Observation | null = null
  #last: Observation | null = null

  record (percent: number, atMs: number): void {
    if (!Number.isFinite(percent) || percent < 0 || percent > 100) return
    const observation = { percent, atMs }
    this.#first ??= observation
    // A repeated percentage says nothing new: the run may be stalled, and its last advance counts.
    if (this.#last === null || percent > this.#last.percent) this.#last = observation
  }

  /** Returns the time until the run ends at the rate observed so far; null while no rate is known or when the run is overdue. */
  estimateRemainingMs (nowMs: number): number | null {
    if (!this.#first || !this.#last) return null
    const observedMs = this.#last.atMs - this.#first.atMs
    const advanced = this.#last.percent - this.#first.percent
    if (observedMs < MIN_OBSERVATION_MS || advanced <= 0) return null
    const msPerPercent = observedMs / advanced
    const remainingMs = (100 - this.#last.percent) * msPerPercent - (nowMs - this.#last.atMs)
    // A run that is overdue by more than a percent of its work has become slow or has stalled: its rate is out of date.
    return remainingMs < -msPerPercent ? null : Math.max(0, remainingMs)
  }
}
