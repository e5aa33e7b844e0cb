import { IbisError, type EndpointId, type TaskId } from '@ibisstair/common'
import { EndpointClient, type FinishedTask } from '@ibisstair/endpoint-client'
import type { CallResult, TaskListing, TaskRenewal, TaskRequest, TaskView } from '@ibisstair/endpoint-tasks'
import type { EndpointInfo } from '@ibisstair/model'
import type { TimerService } from '@ibisstair/timers'
import { ENDPOINT_CALL_TIMEOUT_MS, EVENT_POLL_WAIT_MS, EVENT_RETRY_DELAY_MS } from './constants.ts'

export interface LinkListener {
  handleFinished (endpointId: EndpointId, finished: readonly FinishedTask[]): void
  /** `requestedAtMs`: when the request that returned these views was sent. */
  handleViews (views: ReadonlyMap<TaskId, TaskView>, requestedAtMs: number): void
  handleUsage (endpointId: EndpointId, acceleratorsBusy: number, lagMs: number): void
  /** Reports whether a call got a response, for health tracking. */
  handleContact (endpointId: EndpointId, isOk: boolean): void
}

/** Connection of one scheduling session to one incarnation of an endpoint: calls, lease renewals and event polling. */
export class EndpointLink {
  readonly info: EndpointInfo
  readonly #client: EndpointClient
  readonly #timers: TimerService
  readonly #listener: LinkListener
  #isClosed = false
  #cursor = 0
  #isRenewing = false

  constructor (info: EndpointInfo, timers: TimerService, listener: LinkListener) {
    this.info = info
    this.#timers = timers
    this.#listener = listener
    this.#client = new EndpointClient(info, timers)
  }

  start (): void {
    this.#pollEvents().catch(() => {})
  }

  close (): void {
    this.#isClosed = true
    this.#client.close()
  }

  async operate (request: TaskRequest): Promise<CallResult> {
    const result = await this.#client.operate(request, ENDPOINT_CALL_TIMEOUT_MS)
    this.#reportContact(result.status !== 'unknown')
    return result
  }

  /** Rejects with `unreachable` when the endpoint does not answer or answers as another incarnation. */
  async listTasks (): Promise<readonly TaskListing[]> {
    const { incarnation, tasks } = await this.#client.listTasks(ENDPOINT_CALL_TIMEOUT_MS)
    this.#reportContact(true)
    if (incarnation !== this.info.incarnation) throw new IbisError('unreachable', `endpoint ${this.info.id} answered as incarnation ${incarnation}, expected ${this.info.incarnation}`)
    return tasks
  }

  /** Sends one renewal at a time. While one is in progress, further calls return without sending. */
  async renew (renewals: readonly TaskRenewal[]): Promise<void> {
    if (this.#isRenewing || this.#isClosed) return
    this.#isRenewing = true
    try {
      const requestedAtMs = this.#timers.now()
      const answer = await this.#client.renewLeases(renewals, ENDPOINT_CALL_TIMEOUT_MS)
      this.#reportContact(true)
      if (this.#isClosed || answer.incarnation !== this.info.incarnation) return
      this.#listener.handleViews(new Map(renewals.flatMap(({ taskId }, i) => {
        const view = answer.views[i]
        return view ? [[taskId, view] as const] : []
      })), requestedAtMs)
      this.#listener.handleUsage(this.info.id, answer.usage.acceleratorsBusy, answer.usage.lagMs)
    } catch {
      this.#reportContact(false)
    } finally {
      this.#isRenewing = false
    }
  }

  async #pollEvents (): Promise<void> {
    while (!this.#isClosed) {
      try {
        const answer = await this.#client.pollEvents(this.#cursor, EVENT_POLL_WAIT_MS)
        if (this.#isClosed || answer.incarnation !== this.info.incarnation) return
        this.#cursor = answer.cursor
        this.#reportContact(true)
        if (answer.finished.length > 0) this.#listener.handleFinished(this.info.id, answer.finished)
      } catch {
        this.#reportContact(false)
        await this.#timers.delay(EVENT_RETRY_DELAY_MS)
      }
    }
  }

  #reportContact (isOk: boolean): void {
    if (!this.#isClosed) this.#listener.handleContact(this.info.id, isOk)
  }
}
