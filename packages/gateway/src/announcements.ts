import type { DomainId, EndpointId } from '@ibisstair/common'
import { AnnouncementForwarder, type Forward } from '@ibisstair/membership'
import type { Announcement } from '@ibisstair/model'
import type { RpcClient } from '@ibisstair/rpc'
import type { TimerService, Unsubscribe } from '@ibisstair/timers'
import { ANNOUNCE_FLUSH_MS, CONTROL_CALL_MS, MAX_ANNOUNCED_ENDPOINTS, MAX_ANNOUNCEMENTS_PER_CALL } from './constants.ts'
import type { ControlTarget } from './domains.ts'

interface Lane {
  readonly control: ControlTarget
  readonly forwarder: AnnouncementForwarder
  /** The newest announcement of each endpoint that waits for the next batch. */
  readonly waiting: Map<EndpointId, Announcement>
  isSending: boolean
}

export interface AnnounceParams {
  readonly announcements: readonly Announcement[]
}

/** Sends announcements in batches to the control processes of the endpoint's failure domain. */
export class AnnouncementSender {
  readonly #rpc: RpcClient
  readonly #timers: TimerService
  readonly #lanes = new Map<DomainId, Lane[]>()
  readonly #forwarders = new Map<DomainId, AnnouncementForwarder>()
  #stop: Unsubscribe | null = null
  #dropped = 0

  constructor (rpc: RpcClient, timers: TimerService, controls: readonly ControlTarget[]) {
    this.#rpc = rpc
    this.#timers = timers
    for (const control of controls) this.#addControl(control)
    for (const [domain, forwarder] of this.#forwarders) {
      forwarder.handle({ type: 'targets', targets: this.#lanes.get(domain)!.map(({ control }) => control.node) }, timers.now())
    }
  }

  start (): void {
    this.#stop = this.#timers.every(ANNOUNCE_FLUSH_MS, () => this.#handleTick())
  }

  stop (): void {
    this.#stop?.()
  }

  get dropped (): number {
    return this.#dropped
  }

  /** Returns whether the endpoint's failure domain has control processes. */
  add (announcement: Announcement): boolean {
    const { endpoint } = announcement
    const forwarder = this.#forwarders.get(endpoint.domain)
    if (!forwarder) return false
    this.#queue(endpoint.domain, forwarder.handle({ type: 'announce', info: endpoint }, this.#timers.now()), announcement)
    // New work must stop within seconds of leaving, so that announcement does not wait for a batch.
    if (endpoint.leaving) this.#flush()
    return true
  }

  #addControl (control: ControlTarget): void {
    const forwarder = this.#forwarders.get(control.domain) ?? new AnnouncementForwarder()
    this.#forwarders.set(control.domain, forwarder)
    const lane: Lane = { control, forwarder, waiting: new Map(), isSending: false }
    this.#lanes.set(control.domain, [...(this.#lanes.get(control.domain) ?? []), lane])
  }

  #queue (domain: DomainId, forwards: readonly Forward[], announcement?: Announcement): void {
    for (const { target, info } of forwards) {
      const lane = this.#lanes.get(domain)?.find(({ control }) => control.node === target)
      if (!lane) continue
      if (lane.waiting.size >= MAX_ANNOUNCED_ENDPOINTS && !lane.waiting.has(info.id)) {
        this.#dropped += 1
        continue
      }
      lane.waiting.set(info.id, announcement ?? { endpoint: info })
    }
  }

  #handleTick (): void {
    for (const [domain, forwarder] of this.#forwarders) this.#queue(domain, forwarder.handle({ type: 'tick' }, this.#timers.now()))
    this.#flush()
  }

  #flush (): void {
    for (const lanes of this.#lanes.values()) {
      for (const lane of lanes) this.#send(lane)
    }
  }

  #send (lane: Lane): void {
    if (lane.isSending || lane.waiting.size === 0) return
    const batch = [...lane.waiting.values()].slice(0, MAX_ANNOUNCEMENTS_PER_CALL)
    for (const { endpoint } of batch) lane.waiting.delete(endpoint.id)
    lane.isSending = true
    const params: AnnounceParams = { announcements: batch }
    this.#rpc.call(lane.control, 'endpoint.announce', params, CONTROL_CALL_MS)
      .then(() => this.#handleAcknowledged(lane, batch))
      .catch(() => {
        // The next announcement follows within a second; one of leaving is repeated by the forwarder.
      })
      .finally(() => { lane.isSending = false })
  }

  #handleAcknowledged (lane: Lane, batch: readonly Announcement[]): void {
    for (const { endpoint: { id, incarnation, sequence } } of batch) {
      lane.forwarder.handle({ type: 'acknowledged', target: lane.control.node, endpointId: id, incarnation, sequence }, this.#timers.now())
    }
  }
}
