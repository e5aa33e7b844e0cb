import type { EndpointIncarnation, EndpointRecord } from '@ibisstair/jobs'
import { ANNOUNCEMENT_EXPIRY_MS, ENDPOINT_EXPIRY_MS, MAX_COLD_MS } from './constants.ts'

/**
 * When each endpoint last announced itself during a leader's term, which of its announcements is the newest, and how long
 * it stays slow after its start.
 */
export class Announcements {
  readonly #sequences = new Map<EndpointIncarnation, number>()
  readonly #appliedAtMs = new Map<EndpointIncarnation, number>()
  readonly #coldUntilMs = new Map<EndpointIncarnation, number>()
  readonly #termStartedAtMs: number
  readonly #inheritedAtMs: number

  /** `inheritedAtMs` is the time until which earlier leaders took announcements; -Infinity if it is not known. */
  constructor (termStartedAtMs: number, inheritedAtMs: number) {
    this.#termStartedAtMs = termStartedAtMs
    this.#inheritedAtMs = inheritedAtMs
  }

  /** Whether a newer announcement than this one has arrived, or is in the replicated state as `known`. */
  isOutdated ({ life, sequence }: EndpointRecord, known: EndpointRecord | undefined): boolean {
    return sequence < Math.max(this.#sequences.get(life) ?? 0, known?.sequence ?? 0)
  }

  /** Notes the announcement of a registered endpoint before it is committed, since an older one may arrive meanwhile. */
  recordArrival ({ life, sequence }: EndpointRecord): void {
    this.#sequences.set(life, sequence)
  }

  /** Records that the replicated state holds what the endpoint announced at `atMs`. */
  recordApplied ({ life, sequence }: EndpointRecord, atMs: number): void {
    this.#sequences.set(life, Math.max(sequence, this.#sequences.get(life) ?? 0))
    this.#appliedAtMs.set(life, Math.max(atMs, this.#appliedAtMs.get(life) ?? -Infinity))
  }

  /** Records what the endpoint announced at `atMs` about the time for which it stays slow. */
  recordCold ({ life }: EndpointRecord, coldLeftMs: number, atMs: number): void {
    if (coldLeftMs > 0) this.#coldUntilMs.set(life, atMs + Math.min(coldLeftMs, MAX_COLD_MS))
    else this.#coldUntilMs.delete(life)
  }

  isCold (incarnation: EndpointIncarnation, nowMs: number): boolean {
    return nowMs < (this.#coldUntilMs.get(incarnation) ?? -Infinity)
  }

  remove (incarnation: EndpointIncarnation): void {
    this.#coldUntilMs.delete(incarnation)
    this.#sequences.delete(incarnation)
    this.#appliedAtMs.delete(incarnation)
  }

  /** Whether the endpoint's record, above all its capacity, is recent enough to give it work. */
  isCurrent (incarnation: EndpointIncarnation, nowMs: number): boolean {
    return nowMs - (this.#appliedAtMs.get(incarnation) ?? this.#inheritedAtMs) < ANNOUNCEMENT_EXPIRY_MS
  }

  /** Whether the endpoint has been silent for so long that it is removed; silence before the term does not count. */
  isExpired (incarnation: EndpointIncarnation, nowMs: number): boolean {
    return nowMs - (this.#appliedAtMs.get(incarnation) ?? this.#termStartedAtMs) > ENDPOINT_EXPIRY_MS
  }
}
