import { invariant } from '@ibisstair/common'
import type { LogEntry, Member } from './types.ts'

/** Index, term and punctuation of an entry in a message. */
const ENTRY_OVERHEAD_BYTES = 40

interface Configuration {
  readonly index: number
  readonly members: readonly Member[]
}

export interface LogBase {
  readonly index: number
  readonly term: number
  readonly members: readonly Member[]
}

const estimateBytes = (entry: LogEntry): number => Buffer.byteLength(JSON.stringify(entry.body)) + ENTRY_OVERHEAD_BYTES

/** The entries in memory, behind a base that a snapshot covers, and the configurations in them. */
export class ReplicaLog {
  #base: { readonly index: number, readonly term: number }
  #entries: LogEntry[] = []
  /** For each entry the estimated bytes of the log up to and including it. */
  #sums: number[] = []
  #baseSum = 0
  /** The configuration at the base and those in entries; the last one is in force. */
  #configurations: Configuration[]

  constructor (base: LogBase, entries: readonly LogEntry[] = []) {
    this.#base = { index: base.index, term: base.term }
    this.#configurations = [{ index: base.index, members: base.members }]
    for (const entry of entries) this.append(entry)
  }

  get baseIndex (): number {
    return this.#base.index
  }

  get lastIndex (): number {
    return this.#base.index + this.#entries.length
  }

  get lastTerm (): number {
    return this.#entries.at(-1)?.term ?? this.#base.term
  }

  get configuration (): Configuration {
    return this.#configurations.at(-1)!
  }

  /** Returns null for an index behind the base or past the end. */
  termAt (index: number): number | null {
    if (index === this.#base.index) return this.#base.term
    return this.get(index)?.term ?? null
  }

  get (index: number): LogEntry | undefined {
    return index > this.#base.index ? this.#entries[index - this.#base.index - 1] : undefined
  }

  membersAt (index: number): readonly Member[] {
    const found = this.#configurations.findLast((configuration) => configuration.index <= index)
    invariant(found, 'a configuration is asked for at or behind the base', { index })
    return found.members
  }

  /** The configuration at the index and all later ones. */
  listMembersFrom (index: number): (readonly Member[])[] {
    const later = this.#configurations.filter((configuration) => configuration.index > index)
    return [this.membersAt(index), ...later.map((configuration) => configuration.members)]
  }

  append (entry: LogEntry): void {
    invariant(entry.index === this.lastIndex + 1, 'the log has no gap', { entry: entry.index, last: this.lastIndex })
    invariant(entry.term >= this.lastTerm, 'terms do not decrease along the log', { entry: entry.term, last: this.lastTerm })
    this.#entries.push(entry)
    this.#sums.push(this.#sumAt(this.lastIndex - 1) + estimateBytes(entry))
    if (entry.body.type === 'members') this.#configurations.push({ index: entry.index, members: entry.body.members })
  }

  /** Drops the entry at the index and all after it. */
  truncateFrom (index: number): void {
    const keep = Math.max(0, index - this.#base.index - 1)
    this.#entries.length = Math.min(keep, this.#entries.length)
    this.#sums.length = this.#entries.length
    while (this.#configurations.length > 1 && this.configuration.index >= index) this.#configurations.pop()
  }

  /** Forgets the entries up to the index, which a snapshot covers. */
  compact (index: number): void {
    if (index <= this.#base.index) return
    const term = this.termAt(index)
    invariant(term !== null, 'the log is compacted up to an entry it has', { index, last: this.lastIndex })
    const members = this.membersAt(index)
    const count = index - this.#base.index
    this.#baseSum = this.#sumAt(index)
    this.#entries = this.#entries.slice(count)
    this.#sums = this.#sums.slice(count)
    this.#base = { index, term }
    this.#configurations = [{ index, members }, ...this.#configurations.filter((configuration) => configuration.index > index)]
  }

  /** Entries from an index up to another, as far as the limits allow, and at least one. */
  slice (from: number, to: number, maxEntries: number, maxBytes: number): LogEntry[] {
    const start = from - this.#base.index - 1
    const limit = Math.min(to - this.#base.index, start + maxEntries, this.#entries.length)
    let end = start
    const maxSum = this.#sumAt(from - 1) + maxBytes
    while (end < limit && (end === start || this.#sumAt(this.#base.index + end + 1) <= maxSum)) end += 1
    return this.#entries.slice(start, end)
  }

  /** Estimated bytes of the entries after the index. */
  bytesAfter (index: number): number {
    return this.#sumAt(this.lastIndex) - this.#sumAt(index)
  }

  #sumAt (index: number): number {
    return this.#sums[index - this.#base.index - 1] ?? this.#baseSum
  }
}
