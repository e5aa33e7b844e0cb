import { DEPOSED_LEADER_GRACE_MS, LEASE_END_MARGIN_MS, LEASE_SAFETY_MARGIN_MS, MAX_ANSWER_DELAY_MS, MAX_CLOCK_DRIFT } from './constants.ts'

/** A reading of the endpoint's clock, and the leader's time when it arrived. */
interface ClockReading {
  readonly valueMs: number
  readonly atMs: number
}

/**
 * The lease of the runs on one incarnation of an endpoint, which ends by the endpoint's own clock. Answers carry
 * readings of that clock; between them it is estimated from below, as it may be slow.
 */
export class EndpointLease {
  readonly #openedAtMs: number
  readonly #maxMs: number
  #clock: ClockReading | null = null
  /** Latest end that may have been granted, on the endpoint's clock. */
  #untilMs = 0
  /** Earliest end that a reading has shown for the latest grant, in the leader's time. */
  #shownEndMs = Infinity
  /** Leader's time of the last answer during this term; null while there is none. */
  #answeredAtMs: number | null = null

  /** `maxMs` is the longest lease that an endpoint accepts. */
  constructor (openedAtMs: number, maxMs: number) {
    this.#openedAtMs = openedAtMs
    this.#maxMs = maxMs
  }

  /** Whether the endpoint has answered a call during this term. */
  get hasHadContact (): boolean {
    return this.#answeredAtMs !== null
  }

  hasAnsweredSince (atMs: number): boolean {
    return this.#answeredAtMs !== null && this.#answeredAtMs >= atMs
  }

  /** Takes the reading of an announcement, which may be behind the endpoint's clock, never ahead. */
  recordAnnouncement (valueMs: number, atMs: number): void {
    const estimateMs = this.#estimateClock(atMs)
    if (estimateMs !== null && estimateMs >= valueMs) return
    // The margin counts once, from the reading that first shows the end.
    if (this.hasHadContact) this.#shownEndMs = this.getEndMs()
    this.#clock = { valueMs, atMs }
  }

  /** Takes the reading of an answer. */
  recordAnswer (valueMs: number, atMs: number): void {
    this.#clock = { valueMs, atMs }
    // An earlier leader may have granted the longest lease just before this first contact.
    if (!this.hasHadContact) this.#grant(valueMs + this.#maxMs)
    this.#shownEndMs = Infinity
    this.#answeredAtMs = atMs
  }

  /** Whether the reading can't be of this incarnation, because its clock was ahead of it before. */
  isOfOtherIncarnation (valueMs: number): boolean {
    return this.#clock !== null && valueMs < this.#clock.valueMs - MAX_ANSWER_DELAY_MS
  }

  /** Returns the end to grant now, on the endpoint's clock, not later than in `limitMs`; null while the clock is not known. */
  extend (nowMs: number, limitMs = Infinity): number | null {
    const clockMs = this.#estimateClock(nowMs)
    if (clockMs === null) return null
    const untilMs = Math.floor(clockMs + Math.min(limitMs, this.#maxMs - LEASE_SAFETY_MARGIN_MS))
    this.#grant(untilMs)
    return untilMs
  }

  /** Returns the leader's time by which every lease of this and earlier leaders has expired. */
  getEndMs (): number {
    if (!this.#clock || !this.hasHadContact) return this.#openedAtMs + DEPOSED_LEADER_GRACE_MS + this.#maxMs / (1 - MAX_CLOCK_DRIFT) + LEASE_END_MARGIN_MS
    const endMs = this.#clock.atMs + Math.max(0, this.#untilMs - this.#clock.valueMs) / (1 - MAX_CLOCK_DRIFT) + LEASE_END_MARGIN_MS
    return Math.min(this.#shownEndMs, endMs)
  }

  #grant (untilMs: number): void {
    if (untilMs <= this.#untilMs) return
    this.#untilMs = untilMs
    this.#shownEndMs = Infinity
  }

  /** Returns a lower bound: the reading was taken before it arrived, and the clock may be slow. */
  #estimateClock (atMs: number): number | null {
    return this.#clock && this.#clock.valueMs + (atMs - this.#clock.atMs) * (1 - MAX_CLOCK_DRIFT)
  }
}
