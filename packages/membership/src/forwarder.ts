import { assertNever, type EndpointId, type NodeId } from '@ibisstair/common'
import type { EndpointInfo } from '@ibisstair/model'
import { FORWARD_RETRY_PERIOD_MS, FORWARD_TTL_MS, MAX_ENDPOINTS } from './constants.ts'
import type { Forward, ForwardEvent } from './types.ts'

interface PendingLeave {
  readonly info: EndpointInfo
  readonly addedAtMs: number
  readonly unacknowledged: Set<NodeId>
  retryAtMs: number
}

/**
 * Forwards announcements to the control processes of the domain. An ordinary announcement is sent
 * once, because the next one follows. A leave announcement is sent again until each control process
 * has acknowledged it, because the endpoint may stop before it can repeat it.
 */
export class AnnouncementForwarder {
  readonly #pending = new Map<EndpointId, PendingLeave>()
  readonly #maxPending: number
  #targets: readonly NodeId[] = []
  #droppedCount = 0

  constructor (maxPending = MAX_ENDPOINTS) {
    this.#maxPending = maxPending
  }

  get pendingCount (): number {
    return this.#pending.size
  }

  /** Leave announcements that timed out before all acknowledgements, or were not kept because the limit was reached. */
  get droppedCount (): number {
    return this.#droppedCount
  }

  /** Applies an event and returns the announcements to send now. */
  handle (event: ForwardEvent, nowMs: number): Forward[] {
    switch (event.type) {
      case 'targets': return this.#onTargets(event.targets)
      case 'announce': return this.#onAnnounce(event.info, nowMs)
      case 'acknowledged': return this.#onAcknowledged(event.target, event.endpointId, event.incarnation, event.sequence)
      case 'tick': return this.#retry(nowMs)
      default: return assertNever(event)
    }
  }

  #onTargets (targets: readonly NodeId[]): Forward[] {
    const added = targets.filter((target) => !this.#targets.includes(target))
    this.#targets = [...targets]
    for (const [endpointId, { unacknowledged }] of this.#pending) {
      for (const target of unacknowledged) {
        if (!targets.includes(target)) unacknowledged.delete(target)
      }
      for (const target of added) unacknowledged.add(target)
      if (unacknowledged.size === 0) this.#pending.delete(endpointId)
    }
    return added.flatMap((target) => [...this.#pending.values()].map(({ info }) => ({ target, info })))
  }

  #onAnnounce (info: EndpointInfo, nowMs: number): Forward[] {
    const pending = this.#pending.get(info.id)
    if (pending && !this.#isNewer(info, pending.info)) return []
    // A newer announcement replaces the older one completely.
    this.#pending.delete(info.id)
    if (info.leaving) this.#addPending(info, nowMs)
    return this.#targets.map((target) => ({ target, info }))
  }

  #addPending (info: EndpointInfo, nowMs: number): void {
    if (this.#pending.size >= this.#maxPending) {
      this.#droppedCount += 1
      return
    }
    this.#pending.set(info.id, { info, addedAtMs: nowMs, unacknowledged: new Set(this.#targets), retryAtMs: nowMs + FORWARD_RETRY_PERIOD_MS })
  }

  #onAcknowledged (target: NodeId, endpointId: EndpointId, incarnation: number, sequence: number): Forward[] {
    const pending = this.#pending.get(endpointId)
    if (!pending || incarnation !== pending.info.incarnation || sequence < pending.info.sequence) return []
    pending.unacknowledged.delete(target)
    if (pending.unacknowledged.size === 0) this.#pending.delete(endpointId)
    return []
  }

  #retry (nowMs: number): Forward[] {
    const forwards: Forward[] = []
    for (const [endpointId, pending] of this.#pending) {
      if (nowMs - pending.addedAtMs >= FORWARD_TTL_MS) {
        this.#pending.delete(endpointId)
        this.#droppedCount += 1
        continue
      }
      if (nowMs < pending.retryAtMs) continue
      pending.retryAtMs = nowMs + FORWARD_RETRY_PERIOD_MS
      for (const target of pending.unacknowledged) forwards.push({ target, info: pending.info })
    }
    return forwards
  }

  #isNewer (a: EndpointInfo, b: EndpointInfo): boolean {
    return a.incarnation > b.incarnation || (a.incarnation === b.incarnation && a.sequence > b.sequence)
  }
}
