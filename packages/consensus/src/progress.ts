import { ELECTION_TIMEOUT_MIN_MS, MAX_INFLIGHT_BATCHES, REPLY_TIMEOUT_MS, RESIGN_VALIDITY_MS } from './constants.ts'
import type { Member } from './types.ts'

type ReplicationMode = 'probe' | 'replicate' | 'snapshot'

/** Replication progress of one peer, as the leader tracks it. */
export class Progress {
  mode: ReplicationMode = 'probe'
  matchIndex = 0
  /** Send time of the newest message that the peer answered; the peer was alive after that time. */
  lastContactAt = -Infinity
  /** When the peer last asked to give up its vote, as it shuts down. */
  resignedAt = -Infinity
  diskFull = false
  snapshotIndex = 0
  snapshotOffset = 0
  /** The last entry index of each unanswered message; in snapshot mode, the snapshot index. */
  #inflight: number[] = []
  #awaitingReplySince = 0

  /** Whether the peer took less than the minimum election timeout to reach the log end of the last round. */
  isCaughtUp = false
  #roundIndex: number
  #roundStartedAt: number

  /** `addedAt` is the time of the leader's election, or of the peer's admission if that came later. */
  constructor (public member: Member, public nextIndex: number, lastIndex: number, readonly addedAt: number) {
    this.#roundIndex = lastIndex
    this.#roundStartedAt = addedAt
  }

  hasAnsweredWithin (ms: number, now: number): boolean {
    return now - this.lastContactAt < ms
  }

  /** Whether the peer has asked to give up its vote, as it shuts down. */
  isLeaving (now: number): boolean {
    return now - this.resignedAt < RESIGN_VALIDITY_MS
  }

  /** Whether the peer is a learner that answers and holds the log, so that it can vote at once. */
  isPromotable (now: number): boolean {
    if (this.member.role !== 'learner' || this.mode !== 'replicate' || this.isLeaving(now)) return false
    return this.isCaughtUp && this.hasAnsweredWithin(ELECTION_TIMEOUT_MIN_MS, now)
  }

  /** Whether the peer is a voter that can lead at once. */
  canLead (lastIndex: number, now: number): boolean {
    const { role, witness } = this.member
    if (role !== 'voter' || witness || this.diskFull || this.isLeaving(now)) return false
    return this.matchIndex === lastIndex && this.hasAnsweredWithin(ELECTION_TIMEOUT_MIN_MS, now)
  }

  updateCatchUpRound (lastIndex: number, now: number): void {
    if (this.matchIndex < this.#roundIndex) return
    this.isCaughtUp = now - this.#roundStartedAt < ELECTION_TIMEOUT_MIN_MS
    this.#roundIndex = lastIndex
    this.#roundStartedAt = now
  }

  get isWindowFull (): boolean {
    return this.#inflight.length >= (this.mode === 'replicate' ? MAX_INFLIGHT_BATCHES : 1)
  }

  isOverdue (now: number): boolean {
    return this.#inflight.length > 0 && now - this.#awaitingReplySince >= REPLY_TIMEOUT_MS
  }

  recordSent (lastIndex: number, now: number): void {
    if (this.#inflight.length === 0) this.#awaitingReplySince = now
    this.#inflight.push(lastIndex)
  }

  acknowledge (matchIndex: number, now: number): void {
    this.matchIndex = Math.max(this.matchIndex, matchIndex)
    this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1)
    if (this.mode !== 'replicate') this.#inflight = []
    this.mode = 'replicate'
    this.#inflight = this.#inflight.filter((index) => index > matchIndex)
    this.#awaitingReplySince = now
  }

  /** Returns to probe mode: one message at a time, from the given index. */
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
