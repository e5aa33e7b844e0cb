import type { DomainId, EndpointId } from '@ibisstair/common'
import { AnnouncementForwarder, type Forward } from '@ibisstair/membership'
import type { Announcement } from '@ibisstair/model'
import type { RpcClient } from '@ibisstair/rpc'
import type { TimerService, Unsubscribe } from '@ibisstair/timers'
import { ANNOUNCE_FLUSH_MS, CONTROL_CALL_TIMEOUT_MS, MAX_ANNOUNCED_ENDPOINTS, MAX_ANNOUNCEMENTS_PER_CALL } from './constants.ts'
import type { ControlTarget } from './domains.ts'

/** Announcements that wait to be sent to one control process. */
interface ControlQueue {
  readonly control: ControlTarget
  readonly forwarder: AnnouncementForwarder
  /** The newest unsent announcement of each endpoint. */
  readonly pending: Map<EndpointId, Announcement>
  isSending: boolean
}

/** Parameters of the call `endpoint.announce`. */
export interface AnnounceParams {
  readonly announcements: readonly Announcement[]
}

/** Sends announcements in batches to the control processes of the endpoint's failure domain. */
export class AnnouncementSender {
  readonly #rpc: RpcClient
  readonly #timers: TimerService
  readonly #queues = new Map<DomainId, ControlQueue[]>()
  readonly #forwarders = new Map<DomainId, AnnouncementForwarder>()
  #cancelFlushTimer: Unsubscribe | null = null
  #dropped = 0

  constructor (rpc: RpcClient, timers: TimerService, controls: readonly ControlTarget[]) {
    this.#rpc = rpc
    this.#timers = timers
    for (const control of controls) this.#addControl(control)
    for (const [domain, forwarder] of this.#forwarders) {
      forwarder.handle({ type: 'targets', targets: this.#queues.get(domain)!.map(({ control }) => control.node) }, timers.now())
    }
  }

  start (): void {
    this.#cancelFlushTimer = this.#timers.every(ANNOUNCE_FLUSH_MS, () => this.#handleTick())
  }

  stop (): void {
    this.#cancelFlushTimer?.()
  }

  get dropped (): number {
    return this.#dropped
  }

  /** Queues the announcement; returns false if the endpoint's failure domain has no control process. */
  add (announcement: Announcement): boolean {
    const { endpoint } = announcement
    const forwarder = this.#forwarders.get(endpoint.domain)
    if (!forwarder) return false
    this.#enqueue(endpoint.domain, forwarder.handle({ type: 'announce', info: endpoint }, this.#timers.now()), announcement)
    // A leaving endpoint must get no new work within seconds, so its announcement does not wait for the next batch.
    if (endpoint.leaving) this.#flush()
    return true
  }

  #addControl (control: ControlTarget): void {
    const forwarder = this.#forwarders.get(control.domain) ?? new AnnouncementForwarder()
    this.#forwarders.set(control.domain, forwarder)
    const queue: ControlQueue = { control, forwarder, pending: new Map(), isSending: false }
    this.#queues.set(control.domain, [...(this.#queues.get(control.domain) ?? []), queue])
  }

  #enqueue (domain: DomainId, forwards: readonly Forward[], announcement?: Announcement): void {
    for (const { target, info } of forwards) {
      const queue = this.#queues.get(domain)?.find(({ control }) => control.node === target)
      if (!queue) continue
      if (queue.pending.size >= MAX_ANNOUNCED_ENDPOINTS && !queue.pending.has(info.id)) {
        this.#dropped += 1
        continue
      }
      queue.pending.set(info.id, announcement ?? { endpoint: info })
    }
  }

  #handleTick (): void {
    for (const [domain, forwarder] of this.#forwarders) this.#enqueue(domain, forwarder.handle({ type: 'tick' }, this.#timers.now()))
    this.#flush()
  }

  #flush (): void {
    for (const queues of this.#queues.values()) {
      for (const queue of queues) this.#sendBatch(queue)
    }
  }

  #sendBatch (queue: ControlQueue): void {
    if (queue.isSending || queue.pending.size === 0) return
    const batch = [...queue.pending.values()].slice(0, MAX_ANNOUNCEMENTS_PER_CALL)
    for (const { endpoint } of batch) queue.pending.delete(endpoint.id)
    queue.isSending = true
    const params: AnnounceParams = { announcements: batch }
    this.#rpc.call(queue.control, 'endpoint.announce', params, CONTROL_CALL_TIMEOUT_MS)
      .then(() => this.#handleAcknowledged(queue, batch))
      .catch(() => {
        // Endpoints announce themselves again within a second; the forwarder repeats announcements of leaving endpoints.
      })
      .finally(() => { queue.isSending = false })
  }

  #handleAcknowledged (queue: ControlQueue, batch: readonly Announcement[]): void {
    for (const { endpoint: { id, incarnation, sequence } } of batch) {
      queue.forwarder.handle({ type: 'acknowledged', target: queue.control.node, endpointId: id, incarnation, sequence }, this.#timers.now())
    }
  }
}
