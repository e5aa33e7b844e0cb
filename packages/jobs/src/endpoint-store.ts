import type { EndpointId } from '@ibisstair/common'
import { MAX_ENDED_INCARNATIONS, MAX_ENDPOINTS } from './constants.ts'
import type { EndpointIncarnation, EndpointRecord } from './types.ts'

export const toEndpointIncarnation = (id: EndpointId, bornMs: number): EndpointIncarnation => `${id}@${bornMs}` as EndpointIncarnation

/** Whether the announcements differ in their number at most. */
const isSameRecord = (a: EndpointRecord, b: EndpointRecord): boolean =>
  JSON.stringify({ ...a, sequence: 0 }) === JSON.stringify({ ...b, sequence: 0 })

/** The registered endpoints: at most one incarnation for each id and for each address. */
export class EndpointStore {
  readonly #byIncarnation = new Map<EndpointIncarnation, EndpointRecord>()
  readonly #byId = new Map<EndpointId, EndpointIncarnation>()
  readonly #byAddress = new Map<string, EndpointIncarnation>()
  /** Incarnations that have left or were replaced, oldest first. Their late announcements are ignored. */
  readonly #ended = new Set<EndpointIncarnation>()

  get size (): number {
    return this.#byIncarnation.size
  }

  get (incarnation: EndpointIncarnation): EndpointRecord | undefined {
    return this.#byIncarnation.get(incarnation)
  }

  list (): IterableIterator<EndpointRecord> {
    return this.#byIncarnation.values()
  }

  listEnded (): IterableIterator<EndpointIncarnation> {
    return this.#ended.values()
  }

  /** Whether the announcement changes the store. A late one of an earlier incarnation does not. */
  wouldChange (record: EndpointRecord): boolean {
    if (this.#ended.has(record.life)) return false
    const known = this.#byIncarnation.get(record.life)
    if (known) return !isSameRecord(this.#merge(known, record), known)
    return this.#listConflicting(record).every((conflicting) => conflicting.bornMs < record.bornMs)
  }

  /** Returns the incarnations that the announced one would replace. */
  listReplacedBy (record: EndpointRecord): readonly EndpointRecord[] {
    return this.#byIncarnation.has(record.life) ? [] : this.#listConflicting(record)
  }

  /** Returns the records of incarnations that a new one replaces, or null when the announcement changes nothing. */
  put (record: EndpointRecord): EndpointRecord[] | null {
    if (!this.wouldChange(record)) return null
    const known = this.#byIncarnation.get(record.life)
    if (!known && this.#byIncarnation.size >= MAX_ENDPOINTS) return null
    const replaced = known ? [] : this.#listConflicting(record)
    for (const { life: incarnation } of replaced) this.end(incarnation)
    this.#add(known ? this.#merge(known, record) : record)
    return replaced
  }

  remove (incarnation: EndpointIncarnation): boolean {
    const record = this.#byIncarnation.get(incarnation)
    if (!record) return false
    this.#byIncarnation.delete(incarnation)
    if (this.#byId.get(record.id) === incarnation) this.#byId.delete(record.id)
    if (this.#byAddress.get(record.address) === incarnation) this.#byAddress.delete(record.address)
    return true
  }

  /** Removes an incarnation that never returns. */
  end (incarnation: EndpointIncarnation): void {
    this.remove(incarnation)
    this.#ended.add(incarnation)
    const [oldest] = this.#ended
    if (this.#ended.size > MAX_ENDED_INCARNATIONS) this.#ended.delete(oldest!)
  }

  restore (records: readonly EndpointRecord[], ended: readonly EndpointIncarnation[]): void {
    this.#ended.clear()
    for (const incarnation of ended) this.#ended.add(incarnation)
    this.#byIncarnation.clear()
    this.#byId.clear()
    this.#byAddress.clear()
    for (const record of records) this.#add(record)
  }

  /** Keeps `draining` set: a draining endpoint does not return to service in the same incarnation. */
  #merge (known: EndpointRecord, record: EndpointRecord): EndpointRecord {
    return { ...record, draining: known.draining || record.draining }
  }

  #listConflicting (record: EndpointRecord): EndpointRecord[] {
    const incarnations = new Set([this.#byId.get(record.id), this.#byAddress.get(record.address)])
    return [...incarnations].flatMap((incarnation) => (incarnation === undefined ? [] : this.#byIncarnation.get(incarnation) ?? []))
  }

  #add (record: EndpointRecord): void {
    this.#byIncarnation.set(record.life, record)
    this.#byId.set(record.id, record.life)
    this.#byAddress.set(record.address, record.life)
  }
}
