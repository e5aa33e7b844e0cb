import type { NodeId } from '@ibisstair/common'
import { MAX_DIRECT_PROBE_INTERVAL_MS, MAX_RELAY_RETRY_MS, MAX_RELAYS_IN_A_ROW, MIN_DIRECT_PROBE_INTERVAL_MS, MIN_RELAY_RETRY_MS } from './constants.ts'
import type { Path } from './types.ts'

const DIRECT: Path = { type: 'direct' }

const isSamePath = (a: Path, b: Path): boolean =>
  a.type === 'direct' ? b.type === 'direct' : b.type === 'relayed' && a.relay === b.relay

/** Doubles a time with each failure in a row after the first. */
const backOff = (minMs: number, maxMs: number, failures: number): number => Math.min(maxMs, minMs * 2 ** (failures - 1))

/**
 * The path of calls to one endpoint. Renewals decide it, which are repeated all the time: one order without an answer says
 * little. After a renewal without an answer the next one takes another path, so that a fault of one path does not count as
 * a fault of the endpoint; the direct path is used again as soon as it works.
 */
export class EndpointPath {
  /** Whether a renewal is in progress. */
  isRenewing = false
  #path: Path = DIRECT
  /** Whether the endpoint has answered on the present path. */
  #hasAnswered = false
  #nextRelay = 0
  /** Relays that were tried since the direct path was. */
  #relaysInARow = 0
  /** Attempts in a row in which a relay did not reach the endpoint. */
  #relayFailures = 0
  #relayRetryAtMs = -Infinity
  #unansweredProbes = 0
  #probeAtMs = Infinity

  get current (): Path {
    return this.#path
  }

  /** Whether the endpoint is to be called directly, too, because its calls have been relayed for a while. */
  isProbeDue (nowMs: number): boolean {
    return this.#path.type === 'relayed' && this.#hasAnswered && nowMs >= this.#probeAtMs
  }

  /** Records the answer to a renewal; returns whether the path is a newly established relay. */
  recordAnswer (path: Path, nowMs: number): boolean {
    if (!isSamePath(path, this.#path)) return false
    const isNewRelay = path.type === 'relayed' && !this.#hasAnswered
    this.#hasAnswered = true
    this.#relayFailures = 0
    this.#relayRetryAtMs = -Infinity
    if (isNewRelay) {
      this.#unansweredProbes = 0
      this.#probeAtMs = nowMs + MIN_DIRECT_PROBE_INTERVAL_MS
    }
    return isNewRelay
  }

  /** Records a renewal without an answer, and chooses the path of the next one. */
  recordFailure (path: Path, relays: readonly NodeId[], nowMs: number): void {
    if (!isSamePath(path, this.#path)) return
    const hadAnswered = this.#hasAnswered
    this.#hasAnswered = false
    if (path.type === 'direct' || hadAnswered) this.#relaysInARow = 0
    if (path.type === 'relayed') this.#nextRelay += 1
    // The relay itself may have failed, or be cut off as well: another one may reach the endpoint.
    if (this.#relaysInARow < Math.min(MAX_RELAYS_IN_A_ROW, relays.length)) return this.#useRelay(relays, nowMs)
    this.#relayFailures += 1
    this.#relayRetryAtMs = nowMs + backOff(MIN_RELAY_RETRY_MS, MAX_RELAY_RETRY_MS, this.#relayFailures)
    this.#path = DIRECT
  }

  /** Records that the endpoint is being called directly while its calls are relayed; sets the time of the next attempt. */
  beginProbe (nowMs: number): void {
    this.#unansweredProbes += 1
    this.#probeAtMs = nowMs + backOff(MIN_DIRECT_PROBE_INTERVAL_MS, MAX_DIRECT_PROBE_INTERVAL_MS, this.#unansweredProbes)
  }

  /** Records that the endpoint has answered a direct call. */
  recordDirectAnswer (): void {
    if (this.#path.type === 'direct') return
    this.#path = DIRECT
    this.#hasAnswered = true
  }

  #useRelay (relays: readonly NodeId[], nowMs: number): void {
    const relay = relays[this.#nextRelay % relays.length]
    if (relay === undefined || nowMs < this.#relayRetryAtMs) {
      this.#path = DIRECT
      return
    }
    this.#relaysInARow += 1
    this.#path = { type: 'relayed', relay }
  }
}
