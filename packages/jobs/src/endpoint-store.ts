import type { EndpointId } from '@ibisstair/common'
import { MAX_ENDPOINTS } from './constants.ts'
import type { EndpointIncarnation, EndpointRecord } from './types.ts'

export const toEndpointIncarnation = (id: EndpointId, bornMs: number): EndpointIncarnation => `${id}@${bornMs}` as EndpointIncarnation

const isSameRecord = (a: EndpointRecord, b: EndpointRecord): boolean => JSON.stringify(a) === JSON.stringify(b)

/** The endpoints that have announced themselves, one life for each id and for each address. */
export class EndpointStore {
  readonly #byLife = new Map<EndpointIncarnation, EndpointRecord>()
  readonly #byId = new Map<EndpointId, EndpointIncarnation>()
  readonly #byAddress = new Map<string, EndpointIncarnation>()

  get size (): number {
    return this.#byLife.size
  }

  get (life: EndpointIncarnation): EndpointRecord | undefined {
    return this.#byLife.get(life)
  }

  list (): IterableIterator<EndpointRecord> {
    return this.#byLife.values()
  }

  /** Whether the announcement says something new. A late one of an earlier life does not. */
  wouldChange (record: EndpointRecord): boolean {
    const known = this.#byLife.get(record.life)
    if (known) return !isSameRecord(this.#merge(known, record), known)
    return this.#listRivals(record).every((rival) => rival.bornMs < record.bornMs)
  }

  /** Returns the lives that the new one replaces, or null when the announcement changes nothing. */
  put (record: EndpointRecord): EndpointIncarnation[] | null {
    if (!this.wouldChange(record)) return null
    const known = this.#byLife.get(record.life)
    if (!known && this.#byLife.size >= MAX_ENDPOINTS) return null
    const replaced = known ? [] : this.#listRivals(record).map(({ life }) => life)
    for (const life of replaced) this.remove(life)
    this.#add(known ? this.#merge(known, record) : record)
    return replaced
  }

  remove (life: EndpointIncarnation): boolean {
    const record = this.#byLife.get(life)
    if (!record) return false
    this.#byLife.delete(life)
    if (this.#byId.get(record.id) === life) this.#byId.delete(record.id)
    if (this.#byAddress.get(record.address) === life) this.#byAddress.delete(record.address)
    return true
  }

  restore (records: readonly EndpointRecord[]): void {
    this.#byLife.clear()
    this.#byId.clear()
    this.#byAddress.clear()
    for (const record of records) this.#add(record)
  }

  /** An endpoint that has begun to drain does not return to service in the same life. */
  #merge (known: EndpointRecord, record: EndpointRecord): EndpointRecord {
    return { ...record, draining: known.draining || record.draining }
  }

  #listRivals (record: EndpointRecord): EndpointRecord[] {
    const lives = new Set([this.#byId.get(record.id), this.#byAddress.get(record.address)])
    return [...lives].flatMap((life) => (life === undefined ? [] : this.#byLife.get(life) ?? []))
  }

  #add (record: EndpointRecord): void {
    this.#byLife.set(record.life, record)
    this.#byId.set(record.id, record.life)
    this.#byAddress.set(record.address, record.life)
  }
}
