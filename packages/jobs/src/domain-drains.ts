import type { DomainId } from '@ibisstair/common'
import { MAX_RESTORED_DOMAINS } from './constants.ts'

/** Whether operators have drained a failure domain, and since when that has been so. */
export interface DomainDrain {
  readonly domain: DomainId
  readonly isDrained: boolean
  /** Number of the last order that was carried out; it rises over all failure domains. */
  readonly revision: number
  /** Unix milliseconds of the last change. */
  readonly sinceMs: number
}

/** An order to drain or to restore a failure domain. */
export interface DrainOrder {
  readonly domain: DomainId
  readonly isDrained: boolean
  /** Revision of the failure domain that was known where the order arrived. */
  readonly expectedRevision: number
  readonly atMs: number
}

/** What became of an order. An outdated one was given before the last order of its failure domain and changes nothing. */
export interface DrainChange {
  readonly domain: DomainId
  /** State after the order. */
  readonly isDrained: boolean
  readonly revision: number
  readonly isChanged: boolean
  readonly isOutdated: boolean
}

export interface DomainDrainsSnapshot {
  readonly lastRevision: number
  readonly forgottenRevision: number
  readonly domains: readonly DomainDrain[]
}

/**
 * The failure domains that operators have drained or restored. The load pattern: orders are repeated, and overtake each
 * other on their way, so that an order changes something only if it was given in view of the last one that was carried out.
 */
export class DomainDrains {
  /** In the order of their last orders, the oldest first. */
  readonly #byDomain = new Map<DomainId, DomainDrain>()
  #lastRevision = 0
  /** Highest revision of the restored failure domains that were forgotten. */
  #forgottenRevision = 0
  #drainedCount = 0

  /** Number of drained failure domains. */
  get drainedCount (): number {
    return this.#drainedCount
  }

  /** False for the failure domain of an endpoint that is not registered any more (undefined). */
  isDrained (domain: DomainId | undefined): boolean {
    return this.#drainedCount > 0 && domain !== undefined && this.#byDomain.get(domain)?.isDrained === true
  }

  get (domain: DomainId): DomainDrain | undefined {
    return this.#byDomain.get(domain)
  }

  /** Returns the failure domains that were drained at some time, the one with the oldest order first. */
  list (): readonly DomainDrain[] {
    return [...this.#byDomain.values()]
  }

  /** Returns the revision that an order has to name; one that a forgotten order has overtaken never matches. */
  getRevision (domain: DomainId): number {
    return this.#byDomain.get(domain)?.revision ?? this.#forgottenRevision
  }

  /**
   * Carries the order out unless it is outdated. One whose state already holds is carried out whatever its revision, and
   * takes a revision, too: an earlier order that got no answer may still be on its way, and must not undo this one.
   */
  apply ({ domain, isDrained, expectedRevision, atMs }: DrainOrder): DrainChange {
    const wasDrained = this.isDrained(domain)
    const revision = this.getRevision(domain)
    const isChanged = wasDrained !== isDrained
    if (isChanged && expectedRevision !== revision) return { domain, isDrained: wasDrained, revision, isChanged: false, isOutdated: true }
    this.#lastRevision += 1
    const sinceMs = isChanged ? atMs : this.#byDomain.get(domain)?.sinceMs ?? atMs
    this.#byDomain.delete(domain)
    this.#byDomain.set(domain, { domain, isDrained, revision: this.#lastRevision, sinceMs })
    this.#countDrained()
    this.#forgetRestored()
    return { domain, isDrained, revision: this.#lastRevision, isChanged, isOutdated: false }
  }

  toSnapshot (): DomainDrainsSnapshot {
    return { lastRevision: this.#lastRevision, forgottenRevision: this.#forgottenRevision, domains: this.list() }
  }

  restore ({ lastRevision, forgottenRevision, domains }: DomainDrainsSnapshot): void {
    this.#lastRevision = lastRevision
    this.#forgottenRevision = forgottenRevision
    this.#byDomain.clear()
    for (const drain of domains) this.#byDomain.set(drain.domain, drain)
    this.#countDrained()
  }

  #countDrained (): void {
    this.#drainedCount = this.list().filter(({ isDrained }) => isDrained).length
  }

  /** Drained failure domains are never forgotten. */
  #forgetRestored (): void {
    const excess = this.#byDomain.size - this.#drainedCount - MAX_RESTORED_DOMAINS
    const restored = this.list().filter(({ isDrained }) => !isDrained)
    for (const { domain, revision } of restored.slice(0, Math.max(0, excess))) {
      this.#byDomain.delete(domain)
      this.#forgottenRevision = Math.max(this.#forgottenRevision, revision)
    }
  }
}

/** What a state holds that was written before failure domains could be drained. */
export const NO_DOMAIN_DRAINS: DomainDrainsSnapshot = { lastRevision: 0, forgottenRevision: 0, domains: [] }
