import { ELECTION_TIMEOUT_MIN_MS, MAX_INFLIGHT_BATCHES, REPLY_TIMEOUT_MS } from './constants.ts'
import type { Member } from './types.ts'

type Mode = 'probe' | 'replicate' | 'snapshot'

/** What a leader knows of one peer. */
export class Progress {
  mode: Mode = 'probe'
  matchIndex = 0
  /** When the newest message that the peer answered was sent; the peer was alive after that. */
  contactAt = -Infinity
  diskFull = false
  snapshotIndex = 0
  snapshotOffset = 0
  /** The last index of each message with entries that has no answer. */
  #inflight: number[] = []
  #waitingSince = 0

  /** A learner has caught up once it reached the end of the log, as of a recent time, quickly. */
  isCaughtUp = false
  #roundIndex: number
  #roundAt: number

  constructor (public member: Member, public nextIndex: number, lastIndex: number, now: number) {
    this.#roundIndex = lastIndex
    this.#roundAt = now
  }

  updateRound (lastIndex: number, now: number): void {
    if (this.matchIndex < this.#roundIndex) return
    this.isCaughtUp = now - this.#roundAt < ELECTION_TIMEOUT_MIN_MS
    this.#roundIndex = lastIndex
    this.#roundAt = now
  }

  get isWindowFull (): boolean {
    return this.#inflight.length >= (this.mode === 'replicate' ? MAX_INFLIGHT_BATCHES : 1)
  }

  isOverdue (now: number): boolean {
    return this.#inflight.length > 0 && now - this.#waitingSince >= REPLY_TIMEOUT_MS
  }

  recordSent (lastIndex: number, now: number): void {
    if (this.#inflight.length === 0) this.#waitingSince = now
    this.#inflight.push(lastIndex)
  }

  acknowledge (matchIndex: number, now: number): void {
    this.matchIndex = Math.max(this.matchIndex, matchIndex)
    this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1)
    if (this.mode !== 'replicate') this.#inflight = []
    this.mode = 'replicate'
    this.#inflight = this.#inflight.filter((index) => index > matchIndex)
    this.#waitingSince = now
  }

  /** Goes back to one message at a time from the given index. */
  probeFrom (nextIndex: number): void {
    this.mode = 'probe'
    this.nextIndex = Math.max(this.matchIndex + 1, nextIndex)
    this.#inflight = []
  }

  startSnapshot (index: number): void {
    this.mode = 'snapshot'
    this.snapshotIndex = index
    this.snapshotOffset = 0
    this.#inflight = []
  }

  clearInflight (): void {
    this.#inflight = []
  }
}
