import { rankByRendezvous, type DomainId, type NodeId } from '@ibisstair/common'
import type { EndpointRecord } from '@ibisstair/jobs'
import { MAX_RELAYS, MAX_RELAYS_PER_ENDPOINT, OFFER_EXPIRY_MS } from './constants.ts'
import type { RelayOffer } from './types.ts'

interface KnownOffer {
  readonly offer: RelayOffer
  readonly atMs: number
}

/** The processes that offer to relay calls, as far as the leader has heard from them of late. */
export class RelayDirectory {
  readonly #offers = new Map<NodeId, KnownOffer>()

  /** Returns the number of processes whose offer holds. */
  count (nowMs: number): number {
    return this.#listCurrent(nowMs).length
  }

  /** Forgets the offer of a process that is about to stop. */
  remove (node: NodeId): void {
    this.#offers.delete(node)
  }

  record (offer: RelayOffer, nowMs: number): void {
    if (!this.#offers.has(offer.node) && this.#offers.size >= MAX_RELAYS) this.#removeExpired(nowMs)
    if (!this.#offers.has(offer.node) && this.#offers.size >= MAX_RELAYS) return
    this.#offers.set(offer.node, { offer, atMs: nowMs })
  }

  /**
   * Returns the relays to try for an endpoint, in order: one of its own failure domain first, then one of each other
   * domain, since a fault may cut off a whole domain. Endpoints are spread over the relays by rendezvous hashing.
   */
  listFor (endpoint: EndpointRecord, nowMs: number): RelayOffer[] {
    const byDomain = new Map<DomainId, RelayOffer[]>([[endpoint.domain, []]])
    for (const offer of this.#sortFor(endpoint, this.#listCurrent(nowMs))) {
      const others = byDomain.get(offer.domain)
      if (others) others.push(offer)
      else byDomain.set(offer.domain, [offer])
    }
    const ranked: RelayOffer[] = []
    for (let round = 0; ranked.length < MAX_RELAYS_PER_ENDPOINT; round++) {
      const next = [...byDomain.values()].flatMap((offers) => offers[round] ?? [])
      if (next.length === 0) break
      ranked.push(...next)
    }
    return ranked.slice(0, MAX_RELAYS_PER_ENDPOINT)
  }

  /** Returns the address to which the endpoint should send its announcements: that of a relay in its failure domain; null if there is none. */
  getAnnounceAddress (endpoint: EndpointRecord, nowMs: number): string | null {
    const offers = this.#listCurrent(nowMs).filter(({ domain, announceAddress }) => domain === endpoint.domain && announceAddress !== null)
    return this.#sortFor(endpoint, offers)[0]?.announceAddress ?? null
  }

  #listCurrent (nowMs: number): RelayOffer[] {
    return [...this.#offers.values()].filter(({ atMs }) => nowMs - atMs < OFFER_EXPIRY_MS).map(({ offer }) => offer)
  }

  #sortFor ({ id }: EndpointRecord, offers: readonly RelayOffer[]): RelayOffer[] {
    return rankByRendezvous(id, offers.map(({ node }) => node)).map((node) => this.#offers.get(node)!.offer)
  }

  #removeExpired (nowMs: number): void {
    for (const [node, { atMs }] of this.#offers) if (nowMs - atMs >= OFFER_EXPIRY_MS) this.#offers.delete(node)
  }
}
