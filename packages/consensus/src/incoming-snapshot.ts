import type { NodeId } from '@ibisstair/common'
import { MAX_SNAPSHOT_CHARS } from './constants.ts'
import type { MessageOf } from './messages.ts'
import type { EncodedSnapshot } from './types.ts'

/** A snapshot that a follower receives from its leader in parts, in order. */
export class IncomingSnapshot {
  readonly #index: number
  readonly #lastTerm: number
  readonly #leader: NodeId
  #data = ''
  #isComplete = false

  constructor (leader: NodeId, { index, lastTerm }: MessageOf<'snapshot'>) {
    this.#index = index
    this.#lastTerm = lastTerm
    this.#leader = leader
  }

  /** Whether the part belongs to this snapshot. */
  isOf (leader: NodeId, { index, lastTerm }: MessageOf<'snapshot'>): boolean {
    return this.#leader === leader && this.#index === index && this.#lastTerm === lastTerm
  }

  /** Number of characters received, which is the offset of the next part. */
  get offset (): number {
    return this.#data.length
  }

  /** Adds a part, unless it is not the next one; returns the snapshot once it is complete, and null later. */
  add ({ offset, total, data, members }: MessageOf<'snapshot'>): EncodedSnapshot | null {
    if (this.#isComplete) return null
    if (offset === this.#data.length && total <= MAX_SNAPSHOT_CHARS) this.#data += data
    if (this.#data.length < total) return null
    this.#isComplete = true
    return { index: this.#index, term: this.#lastTerm, members, data: this.#data }
  }
}
