import type { EndpointIncarnation, EndpointRecord } from '@ibisstair/jobs'
import { MAX_ENDPOINTS } from '@ibisstair/jobs'

/**
 * The newest record of each endpoint that was proposed and is not applied: its commit is awaited, or its outcome is not
 * known. Until then the replicated state tells what the endpoint announced before.
 */
export class PendingRecords {
  readonly #records = new Map<EndpointIncarnation, EndpointRecord>()

  get (life: EndpointIncarnation): EndpointRecord | undefined {
    return this.#records.get(life)
  }

  /** To be called in the order of the proposals. */
  add (record: EndpointRecord): void {
    this.#records.delete(record.life)
    this.#records.set(record.life, record)
    const [oldest] = this.#records.keys()
    if (this.#records.size > MAX_ENDPOINTS) this.#records.delete(oldest!)
  }

  handleApplied ({ life, sequence }: EndpointRecord): void {
    const pending = this.#records.get(life)
    if (pending && pending.sequence <= sequence) this.#records.delete(life)
  }
}
