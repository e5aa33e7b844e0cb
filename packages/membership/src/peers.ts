import { assertNever, type NodeId } from '@ibisstair/common'
import type { RandomSource } from '@ibisstair/timers'
import { MAX_PEERS, PEER_PROGRESS_MS, PEER_RETRY_MAX_MS, PEER_RETRY_MIN_MS } from './constants.ts'
import type { PeerChange, PeerEvent } from './types.ts'

interface Peer {
  outstanding: number
  progressMs: number
  failures: number
  retryAtMs: number
}

/** Health of our other processes, from the results of calls to them. */
export class PeerDirectory {
  readonly #peers = new Map<NodeId, Peer>()
  readonly #random: RandomSource
  readonly #progressMs: number
  #ignored = 0

  constructor (random: RandomSource, progressMs = PEER_PROGRESS_MS) {
    this.#random = random
    this.#progressMs = progressMs
  }

  /** Peers beyond the bound, which are never tried. */
  get ignoredCount (): number {
    return this.#ignored
  }

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

  isHealthy (peer: NodeId): boolean {
    return this.#peers.get(peer)?.failures === 0
  }

  /**
   * The candidates in the order to try them: healthy ones as given, then failing ones whose delay has
   * passed, those with fewer failures first. Others are left out until their delay has passed.
   */
  rank (candidates: readonly NodeId[], nowMs: number): NodeId[] {
    const known = candidates.flatMap((id) => {
      const peer = this.#peers.get(id)
      return peer ? [{ id, peer }] : []
    })
    const healthy = known.filter(({ peer }) => peer.failures === 0)
    const due = known
      .filter(({ peer }) => peer.failures > 0 && peer.retryAtMs <= nowMs)
      .sort((a, b) => a.peer.failures - b.peer.failures)
    return [...healthy, ...due].map(({ id }) => id)
  }

  pick (candidates: readonly NodeId[], nowMs: number): NodeId | undefined {
    return this.rank(candidates, nowMs)[0]
  }

  #onPeers (peers: readonly NodeId[]): PeerChange[] {
    const wanted = peers.slice(0, MAX_PEERS)
    this.#ignored = peers.length - wanted.length
    for (const id of this.#peers.keys()) {
      if (!wanted.includes(id)) this.#peers.delete(id)
    }
    for (const id of wanted) {
      if (!this.#peers.has(id)) this.#peers.set(id, { outstanding: 0, progressMs: 0, failures: 0, retryAtMs: 0 })
    }
    return []
  }

  #onCallStarted (id: NodeId, nowMs: number): PeerChange[] {
    const peer = this.#peers.get(id)
    if (!peer) return []
    if (peer.outstanding === 0) peer.progressMs = nowMs
    peer.outstanding += 1
    return []
  }

  #onProgress (id: NodeId, nowMs: number): PeerChange[] {
    const peer = this.#peers.get(id)
    if (peer) peer.progressMs = Math.max(peer.progressMs, nowMs)
    return []
  }

  #onCallEnded (id: NodeId, ok: boolean, nowMs: number): PeerChange[] {
    const peer = this.#peers.get(id)
    if (!peer) return []
    peer.outstanding = Math.max(0, peer.outstanding - 1)
    if (!ok) return this.#onFailure(id, peer, nowMs)
    peer.progressMs = nowMs
    if (peer.failures === 0) return []
    peer.failures = 0
    return [{ type: 'peer-up', peer: id }]
  }

  #checkProgress (nowMs: number): PeerChange[] {
    const changes: PeerChange[] = []
    for (const [id, peer] of this.#peers) {
      if (peer.outstanding === 0 || nowMs - peer.progressMs < this.#progressMs) continue
      // The calls end with the connections; their results are not failures of their own.
      peer.outstanding = 0
      changes.push({ type: 'reset-connections', peer: id }, ...this.#onFailure(id, peer, nowMs))
    }
    return changes
  }

  #onFailure (id: NodeId, peer: Peer, nowMs: number): PeerChange[] {
    // Calls that were made before the delay began fail together and count once.
    if (peer.failures > 0 && nowMs < peer.retryAtMs) return []
    peer.failures += 1
    const delayMs = Math.min(PEER_RETRY_MIN_MS * 2 ** Math.min(peer.failures - 1, 10), PEER_RETRY_MAX_MS)
    // Between half and all of the delay, so that many observers do not return at the same moment.
    peer.retryAtMs = nowMs + delayMs * (0.5 + this.#random.float() / 2)
    return [{ type: 'peer-down', peer: id, retryAtMs: peer.retryAtMs }]
  }
}
