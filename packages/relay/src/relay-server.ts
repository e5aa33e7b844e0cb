import { assertNever, checkValue, IbisError } from '@ibisstair/common'
import type { EndpointPort, OrderResult, RenewResult } from '@ibisstair/dispatch'
import type { EndpointIncarnation, EndpointRecord } from '@ibisstair/jobs'
import type { RpcServer } from '@ibisstair/rpc'
import type { Metrics } from '@ibisstair/telemetry'
import type { TimerService, Unsubscribe } from '@ibisstair/timers'
import * as v from 'valibot'
import { IDLE_CHECK_PERIOD_MS, MAX_CALLS_PER_RELAY, RELAY_IDLE_MS, RELAY_METHOD } from './constants.ts'
import { callEndpoint } from './endpoint-call.ts'
import type { EndpointCall, RelayAnswer, RelayRequest } from './types.ts'

const MAX_RELAY_TIMEOUT_MS = 10_000

const RequestSchema = v.looseObject({
  endpoint: v.looseObject({ id: v.string(), life: v.string(), address: v.string() }),
  call: v.looseObject({ type: v.picklist(['start', 'stop', 'renew']), order: v.looseObject({ fencingToken: v.number() }) }),
  timeoutMs: v.pipe(v.number(), v.minValue(1), v.maxValue(MAX_RELAY_TIMEOUT_MS))
})

export interface RelayServerOptions {
  readonly port: EndpointPort
  readonly timers: TimerService
  readonly metrics: Metrics
}

interface UsedEndpoint {
  readonly endpoint: EndpointRecord
  readonly atMs: number
}

/** Passes the leader's calls on to endpoints. It keeps no state but open connections, which it closes when they are idle. */
export class RelayServer {
  readonly #options: RelayServerOptions
  readonly #used = new Map<EndpointIncarnation, UsedEndpoint>()
  readonly #stopTimer: Unsubscribe
  #inProgress = 0

  constructor (options: RelayServerOptions) {
    this.#options = options
    this.#stopTimer = options.timers.every(IDLE_CHECK_PERIOD_MS, () => this.#closeIdle())
  }

  register (server: RpcServer): void {
    server.register(RELAY_METHOD, (params) => this.handle(params))
  }

  /** Rejects with `overloaded` when too many calls are in progress, with `invalid-request` when the request is malformed. */
  async handle (params: unknown): Promise<RelayAnswer> {
    checkValue(RequestSchema, params, 'relayed call')
    const { endpoint, call, timeoutMs } = params as RelayRequest
    const { timers, metrics } = this.#options
    if (this.#inProgress >= MAX_CALLS_PER_RELAY) throw new IbisError('overloaded', `this process is already relaying ${this.#inProgress} calls`)
    this.#inProgress += 1
    this.#used.set(endpoint.life, { endpoint, atMs: timers.now() })
    metrics.increment(`relay.passed-on.${call.type}`)
    try {
      return { type: 'answered', result: await this.#passOn(endpoint, call, timeoutMs) }
    } catch (err) {
      const { kind, message, details } = IbisError.from(err)
      if (kind !== 'unreachable') throw err
      return { type: 'unreachable', detail: message, code: typeof details?.code === 'string' ? details.code : null }
    } finally {
      this.#inProgress -= 1
    }
  }

  /**
   * A relay that has stood still may hold a call that was meant for an earlier incarnation, which has ended meanwhile. The
   * next one knows neither its fencing token nor its runs, so that it is asked who it is first.
   */
  async #passOn (endpoint: EndpointRecord, call: EndpointCall, timeoutMs: number): Promise<OrderResult | RenewResult> {
    const { port, timers } = this.#options
    if (!changesEndpoint(call)) return await callEndpoint(port, endpoint, call, timeoutMs)
    const beganAtMs = timers.now()
    const { fencingToken } = call.order
    const check = await port.renew(endpoint, { fencingToken, ackedUpto: 0, leaseUntilMs: null, waitMs: 0 }, timeoutMs)
    if (check.type !== 'report') return check
    return await callEndpoint(port, endpoint, call, Math.max(1, timeoutMs - (timers.now() - beganAtMs)))
  }

  close (): void {
    this.#stopTimer()
    for (const { endpoint } of this.#used.values()) this.#options.port.closeConnections(endpoint)
    this.#used.clear()
  }

  #closeIdle (): void {
    const { port, timers } = this.#options
    for (const [life, { endpoint, atMs }] of this.#used) {
      if (timers.now() - atMs < RELAY_IDLE_MS) continue
      port.closeConnections(endpoint)
      this.#used.delete(life)
    }
  }
}

/** Whether the call may start, keep or forget anything at the endpoint; a stop does no harm to a later incarnation. */
const changesEndpoint = (call: EndpointCall): boolean => {
  switch (call.type) {
    case 'start': return true
    case 'stop': return false
    case 'renew': return call.order.leaseUntilMs !== null || call.order.ackedUpto > 0
    default: return assertNever(call)
  }
}
