import { assertNever, type NodeId } from '@ibisstair/common'
import type { RandomSource } from '@ibisstair/timers'
import { MAX_PEERS, PEER_PROGRESS_TIMEOUT_MS, PEER_RETRY_MAX_DELAY_MS, PEER_RETRY_MIN_DELAY_MS } from './constants.ts'
import type { PeerChange, PeerEvent } from './types.ts'

interface Peer {
  outstandingCalls: number
  lastProgressAtMs: number
  consecutiveFailures: number
  retryAtMs: number
}

/** Tracks the health of peer processes from the results of calls to them. */
export class PeerDirectory {
  readonly #peers = new Map<NodeId, Peer>()
  readonly #random: RandomSource
  readonly #progressTimeoutMs: number
  #ignoredCount = 0

  constructor (random: RandomSource, progressTimeoutMs = PEER_PROGRESS_TIMEOUT_MS) {
    this.#random = random
    this.#progressTimeoutMs = progressTimeoutMs
  }

  /** Number of peers beyond `MAX_PEERS`, which are never called. */
  get ignoredCount (): number {
    return this.#ignoredCount
  }

  /** Applies an event and returns the resulting changes, in the order in which to act on them. */
  handle (event: PeerEvent, nowMs: number): PeerChange[] {
    switch (event.type) {
      case 'peers': return this.#onPeers(event.peers)
      case 'call-started': return this.#onCallStarted(event.peer, nowMs)
      case 'progress': return this.#onProgress(event.peer, nowMs)
      case 'call-ended': return this.#onCallEnded(event.peer, event.ok, nowMs)
      case 'tick': return this.#checkProgress(nowMs)
      default: return assertNever(event)
    }
  }

  /** Returns false for an unknown peer. */
  isHealthy (peer: NodeId): boolean {
    return this.#peers.get(peer)?.consecutiveFailures === 0
  }

  /**
   * Returns the candidates in the order in which to try them: healthy ones in the given order, then
   * failing ones whose retry delay has passed, fewest failures first. Omits failing ones whose delay
   * has not passed and unknown ones.
   */
  rank (candidates: readonly NodeId[], nowMs: number): NodeId[] {
    const known = candidates.flatMap((id) => {
      const peer = this.#peers.get(id)
      return peer ? [{ id, peer }] : []
    })
    const healthy = known.filter(({ peer }) => peer.consecutiveFailures === 0)
    const due = known
      .filter(({ peer }) => peer.consecutiveFailures > 0 && peer.retryAtMs <= nowMs)
      .sort((a, b) => a.peer.consecutiveFailures - b.peer.consecutiveFailures)
    return [...healthy, ...due].map(({ id }) => id)
  }

  pick (candidates: readonly NodeId[], nowMs: number): NodeId | undefined {
    return this.rank(candidates, nowMs)[0]
  }

  #onPeers (peers: readonly NodeId[]): PeerChange[] {
    const accepted = peers.slice(0, MAX_PEERS)
    this.#ignoredCount = peers.length - accepted.length
    for (const id of this.#peers.keys()) {
      if (!accepted.includes(id)) this.#peers.delete(id)
    }
    for (const id of accepted) {
      if (!this.#peers.has(id)) this.#peers.set(id, { outstandingCalls: 0, lastProgressAtMs: 0, consecutiveFailures: 0, retryAtMs: 0 })
    }
    return []
  }

  #onCallStarted (id: NodeId, nowMs: number): PeerChange[] {
    const peer = this.#peers.get(id)
    if (!peer) return []
    if (peer.outstandingCalls === 0) peer.lastProgressAtMs = nowMs
    peer.outstandingCalls += 1
    return []
  }

  #onProgress (id: NodeId, nowMs: number): PeerChange[] {
    const peer = this.#peers.get(id)
    if (peer) peer.lastProgressAtMs = Math.max(peer.lastProgressAtMs, nowMs)
    return []
  }

  #onCallEnded (id: NodeId, ok: boolean, nowMs: number): PeerChange[] {
    const peer = this.#peers.get(id)
    if (!peer) return []
    peer.outstandingCalls = Math.max(0, peer.outstandingCalls - 1)
    if (!ok) return this.#onFailure(id, peer, nowMs)
    peer.lastProgressAtMs = nowMs
    if (peer.consecutiveFailures === 0) return []
    peer.consecutiveFailures = 0
    return [{ type: 'peer-up', peer: id }]
  }

  #checkProgress (nowMs: number): PeerChange[] {
    const changes: PeerChange[] = []
    for (const [id, peer] of this.#peers) {
      if (peer.outstandingCalls === 0 || nowMs - peer.lastProgressAtMs < this.#progressTimeoutMs) continue
      // Resetting the connections ends these calls; their results do not count as further failures.
      peer.outstandingCalls = 0
      changes.push({ type: 'reset-connections', peer: id }, ...this.#onFailure(id, peer, nowMs))
    }
    return changes
  }

  #onFailure (id: NodeId, peer: Peer, nowMs: number): PeerChange[] {
    // Calls that were started before the retry delay fail together and count as one failure.
    if (peer.consecutiveFailures > 0 && nowMs < peer.retryAtMs) return []
    peer.consecutiveFailures += 1
    const delayMs = Math.min(PEER_RETRY_MIN_DELAY_MS * 2 ** Math.min(peer.consecutiveFailures - 1, 10), PEER_RETRY_MAX_DELAY_MS)
    // Jitter between half and all of the delay keeps many observers from retrying at the same moment.
    peer.retryAtMs = nowMs + delayMs * (0.5 + this.#random.float() / 2)
    return [{ type: 'peer-down', peer: id, retryAtMs: peer.retryAtMs }]
  }
}
