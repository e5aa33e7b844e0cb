import { assertNever, checkValue, IbisError, type NodeId } from '@ibisstair/common'
import type { EndpointPort, OrderResult, RenewOrder, RenewResult, StartOrder, StopOrder } from '@ibisstair/dispatch'
import type { EndpointIncarnation, EndpointRecord } from '@ibisstair/jobs'
import type { Logger, Metrics } from '@ibisstair/telemetry'
import type { TimerService } from '@ibisstair/timers'
import * as v from 'valibot'
import { DIRECT_PROBE_TIMEOUT_MS, MAX_RELAYED_CALLS, RELAY_HOP_MS } from './constants.ts'
import { EndpointPath } from './endpoint-path.ts'
import { callEndpoint } from './endpoint-call.ts'
import type { RelayDirectory } from './relay-directory.ts'
import type { EndpointCall, Path, RelayAnswer, RelayRequest } from './types.ts'

const AnswerSchema = v.variant('type', [
  v.object({ type: v.literal('answered'), result: v.looseObject({ type: v.string() }) }),
  v.object({ type: v.literal('unreachable'), detail: v.string(), code: v.nullable(v.string()) })
])

export interface RelayingEndpointPortOptions {
  /** Calls endpoints from this process. */
  readonly direct: EndpointPort
  readonly relays: RelayDirectory
  /** Sends a request to a relay; rejects when it gives no answer in time. */
  readonly callRelay: (relay: NodeId, req: RelayRequest, timeoutMs: number) => Promise<unknown>
  readonly timers: TimerService
  readonly logger: Logger
  readonly metrics: Metrics
}

/**
 * Calls endpoints directly, and through another process those that do not answer directly. A call that is repeated on
 * another path is harmless: every call is idempotent at the endpoint, which goes by the fencing token and the run number.
 */
export class RelayingEndpointPort implements EndpointPort {
  readonly #options: RelayingEndpointPortOptions
  readonly #paths = new Map<EndpointIncarnation, EndpointPath>()
  #relayedCalls = 0

  constructor (options: RelayingEndpointPortOptions) {
    this.#options = options
  }

  async start (endpoint: EndpointRecord, order: StartOrder, timeoutMs: number): Promise<OrderResult> {
    return await this.#send(endpoint, this.#getPath(endpoint).current, { type: 'start', order }, timeoutMs) as OrderResult
  }

  async stop (endpoint: EndpointRecord, order: StopOrder, timeoutMs: number): Promise<OrderResult> {
    return await this.#send(endpoint, this.#getPath(endpoint).current, { type: 'stop', order }, timeoutMs) as OrderResult
  }

  async renew (endpoint: EndpointRecord, order: RenewOrder, timeoutMs: number): Promise<RenewResult> {
    const { timers, logger } = this.#options
    const path = this.#getPath(endpoint)
    const { current } = path
    if (path.isProbeDue(timers.now())) this.#probeDirectly(endpoint, path, order)
    try {
      const result = await this.#send(endpoint, current, { type: 'renew', order }, timeoutMs) as RenewResult
      if (path.recordAnswer(current, timers.now())) logger.info('endpoint does not answer directly, but through a relay', { endpoint: endpoint.id, address: endpoint.address, ...current })
      return result
    } catch (err) {
      path.recordFailure(current, this.#options.relays.listFor(endpoint, timers.now()).map(({ node }) => node), timers.now())
      throw err
    }
  }

  closeConnections (endpoint: EndpointRecord): void {
    this.#paths.delete(endpoint.life)
    this.#options.direct.closeConnections(endpoint)
  }

  #getPath ({ life }: EndpointRecord): EndpointPath {
    const known = this.#paths.get(life)
    if (known) return known
    const path = new EndpointPath()
    this.#paths.set(life, path)
    return path
  }

  async #send (endpoint: EndpointRecord, path: Path, call: EndpointCall, timeoutMs: number): Promise<OrderResult | RenewResult> {
    switch (path.type) {
      case 'direct': return await callEndpoint(this.#options.direct, endpoint, call, timeoutMs)
      case 'relayed': return await this.#relay(path.relay, { endpoint, call, timeoutMs })
      default: return assertNever(path)
    }
  }

  async #relay (relay: NodeId, req: RelayRequest): Promise<OrderResult | RenewResult> {
    const { callRelay, metrics } = this.#options
    if (this.#relayedCalls >= MAX_RELAYED_CALLS) {
      metrics.increment('relay.calls-over-limit')
      throw new IbisError('unreachable', 'too many calls are being relayed', { info: { reason: 'relay-limit' } })
    }
    this.#relayedCalls += 1
    metrics.increment('relay.calls')
    try {
      return toResult(relay, await this.#readAnswer(callRelay, relay, req))
    } finally {
      this.#relayedCalls -= 1
    }
  }

  /** A failure of the relay itself says nothing about the endpoint, whose error code it must not pass for. */
  async #readAnswer (callRelay: RelayingEndpointPortOptions['callRelay'], relay: NodeId, req: RelayRequest): Promise<RelayAnswer> {
    try {
      return checkValue(AnswerSchema, await callRelay(relay, req, req.timeoutMs + RELAY_HOP_MS), 'relay answer')
    } catch (err) {
      this.#options.metrics.increment('relay.failures')
      throw new IbisError('unreachable', `relay ${relay}: ${IbisError.from(err).message}`, { info: { reason: 'relay' } })
    }
  }

  /** Renews nothing and acknowledges nothing: the call only shows whether the direct path works again. */
  #probeDirectly (endpoint: EndpointRecord, path: EndpointPath, { fencingToken }: RenewOrder): void {
    const { direct, timers, logger, metrics } = this.#options
    path.recordProbe(false, timers.now())
    metrics.increment('relay.direct-probes')
    direct.renew(endpoint, { fencingToken, ackedUpto: 0, leaseUntilMs: null, waitMs: 0 }, DIRECT_PROBE_TIMEOUT_MS)
      .then(() => {
        path.recordProbe(true, timers.now())
        logger.info('endpoint answers directly again', { endpoint: endpoint.id })
      })
      .catch(() => { /* The next probe is scheduled already. */ })
  }
}

const toResult = (relay: NodeId, answer: RelayAnswer): OrderResult | RenewResult => {
  switch (answer.type) {
    case 'answered': return answer.result as OrderResult | RenewResult
    case 'unreachable': throw new IbisError('unreachable', `through ${relay}: ${answer.detail}`, { info: { reason: 'relayed', ...(answer.code !== null && { code: answer.code }) } })
    default: return assertNever(answer)
  }
}
