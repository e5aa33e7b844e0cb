import type { DomainId, EndpointId } from '@ibisstair/common'
import type { EndpointInfo } from '@ibisstair/model'
import type { RpcClient } from '@ibisstair/rpc'
import type { TimerService, Unsubscribe } from '@ibisstair/timers'
import { ANNOUNCE_FLUSH_MS, CONTROL_CALL_MS, MAX_ANNOUNCED_ENDPOINTS, MAX_ANNOUNCEMENTS_PER_CALL } from './constants.ts'
import type { ControlTarget } from './domains.ts'

interface Lane {
  readonly control: ControlTarget
  readonly pending: Map<EndpointId, EndpointInfo>
  isSending: boolean
}

const isNewer = (a: EndpointInfo, b: EndpointInfo | undefined): boolean =>
  !b || a.incarnation > b.incarnation || (a.incarnation === b.incarnation && a.sequence > b.sequence)

/**
 * Forwards announcements to every control process of the endpoint's failure domain. The newest one
 * of each endpoint stays pending until that process has acknowledged it, so an announcement of
 * leaving that reached only this entry still arrives everywhere.
 */
export class AnnouncementForwarder {
  readonly #rpc: RpcClient
  readonly #lanes = new Map<DomainId, Lane[]>()
  #stop: Unsubscribe | null = null
  #dropped = 0

  constructor (rpc: RpcClient, controls: readonly ControlTarget[]) {
    this.#rpc = rpc
    for (const control of controls) {
      const lane: Lane = { control, pending: new Map(), isSending: false }
      this.#lanes.set(control.domain, [...(this.#lanes.get(control.domain) ?? []), lane])
    }
  }

  start (timers: TimerService): void {
    this.#stop = timers.every(ANNOUNCE_FLUSH_MS, () => this.flush())
  }

  stop (): void {
    this.#stop?.()
  }

  get dropped (): number {
    return this.#dropped
  }

  /** Returns whether the endpoint's failure domain is known. */
  add (info: EndpointInfo): boolean {
    const lanes = this.#lanes.get(info.domain)
    if (!lanes) return false
    for (const lane of lanes) this.#addTo(lane, info)
    if (info.leaving) this.flush()
    return true
  }

  flush (): void {
    for (const lanes of this.#lanes.values()) {
      for (const lane of lanes) this.#send(lane)
    }
  }

  #addTo (lane: Lane, info: EndpointInfo): void {
    if (!isNewer(info, lane.pending.get(info.id))) return
    if (!lane.pending.has(info.id) && lane.pending.size >= MAX_ANNOUNCED_ENDPOINTS) {
      this.#dropped += 1
      return
    }
    lane.pending.set(info.id, info)
  }

  #send (lane: Lane): void {
    if (lane.isSending || lane.pending.size === 0) return
    const batch = [...lane.pending.values()].slice(0, MAX_ANNOUNCEMENTS_PER_CALL)
    lane.isSending = true
    this.#rpc.call(lane.control, 'endpoint.announce', { endpoints: batch }, CONTROL_CALL_MS)
      .then(() => this.#handleAcknowledged(lane, batch))
      .catch(() => {
        // The batch stays pending; the next flush sends it again.
      })
      .finally(() => { lane.isSending = false })
  }

  #handleAcknowledged (lane: Lane, batch: readonly EndpointInfo[]): void {
    for (const info of batch) {
      if (lane.pending.get(info.id) === info) lane.pending.delete(info.id)
    }
  }
}
