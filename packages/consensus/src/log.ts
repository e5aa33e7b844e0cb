import { invariant } from '@ibisstair/common'
import type { LogEntry, Member } from './types.ts'

/** Estimated size of the index, term and JSON punctuation of an entry in a message. */
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

/** The log entries in memory after a base index that a snapshot covers, and the configurations in them. */
export class ReplicaLog {
  #base: { readonly index: number, readonly term: number }
  #entries: LogEntry[] = []
  /** For each entry, the estimated bytes of the log up to and including it. */
  #cumulativeBytes: number[] = []
  #bytesAtBase = 0
  /** The configuration at the base and those in later entries; the last one is active. */
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

  /** Returns null for an index before the base or after the end. */
  termAt (index: number): number | null {
    if (index === this.#base.index) return this.#base.term
    return this.get(index)?.term ?? null
  }

  get (index: number): LogEntry | undefined {
    return index > this.#base.index ? this.#entries[index - this.#base.index - 1] : undefined
  }

  membersAt (index: number): readonly Member[] {
    const configuration = this.#configurations.findLast((configuration) => configuration.index <= index)
    invariant(configuration, 'the requested index is at or after the base', { index })
    return configuration.members
  }

  /** Returns the configuration at the index and all later ones. */
  listMembersFrom (index: number): (readonly Member[])[] {
    const later = this.#configurations.filter((configuration) => configuration.index > index)
    return [this.membersAt(index), ...later.map((configuration) => configuration.members)]
  }

  append (entry: LogEntry): void {
    invariant(entry.index === this.lastIndex + 1, 'the log has no gap', { entry: entry.index, last: this.lastIndex })
    invariant(entry.term >= this.lastTerm, 'terms do not decrease along the log', { entry: entry.term, last: this.lastTerm })
    this.#entries.push(entry)
    this.#cumulativeBytes.push(this.#bytesUpTo(this.lastIndex - 1) + estimateBytes(entry))
    if (entry.body.type === 'members') this.#configurations.push({ index: entry.index, members: entry.body.members })
  }

  /** Removes the entry at the index and all later ones. */
  truncateFrom (index: number): void {
    const keptCount = Math.max(0, index - this.#base.index - 1)
    this.#entries.length = Math.min(keptCount, this.#entries.length)
    this.#cumulativeBytes.length = this.#entries.length
    while (this.#configurations.length > 1 && this.configuration.index >= index) this.#configurations.pop()
  }

  /** Discards the entries up to the index, which a snapshot covers. */
  compact (index: number): void {
    if (index <= this.#base.index) return
    const term = this.termAt(index)
    invariant(term !== null, 'the log has the entry it is compacted up to', { index, last: this.lastIndex })
    const members = this.membersAt(index)
    const count = index - this.#base.index
    this.#bytesAtBase = this.#bytesUpTo(index)
    this.#entries = this.#entries.slice(count)
    this.#cumulativeBytes = this.#cumulativeBytes.slice(count)
    this.#base = { index, term }
    this.#configurations = [{ index, members }, ...this.#configurations.filter((configuration) => configuration.index > index)]
  }

  /** Returns the entries from one index to another (inclusive) within the limits, but at least one. */
  slice (from: number, to: number, maxEntries: number, maxBytes: number): LogEntry[] {
    const start = from - this.#base.index - 1
    const limit = Math.min(to - this.#base.index, start + maxEntries, this.#entries.length)
    let end = start
    const byteLimit = this.#bytesUpTo(from - 1) + maxBytes
    while (end < limit && (end === start || this.#bytesUpTo(this.#base.index + end + 1) <= byteLimit)) end += 1
    return this.#entries.slice(start, end)
  }

  /** Returns the estimated bytes of the entries after the index. */
  bytesAfter (index: number): number {
    return this.#bytesUpTo(this.lastIndex) - this.#bytesUpTo(index)
  }

  #bytesUpTo (index: number): number {
    return this.#cumulativeBytes[index - this.#base.index - 1] ?? this.#bytesAtBase
  }
}
