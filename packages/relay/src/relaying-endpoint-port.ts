import { assertNever, checkValue, IbisError, type NodeId } from '@ibisstair/common'
import type { EndpointPort, OrderResult, RenewOrder, RenewResult, StartOrder, StopOrder } from '@ibisstair/dispatch'
import type { EndpointIncarnation, EndpointRecord } from '@ibisstair/jobs'
import type { Logger, Metrics } from '@ibisstair/telemetry'
import type { TimerService } from '@ibisstair/timers'
import { DIRECT_PROBE_TIMEOUT_MS, MAX_RELAYED_CALLS, RELAY_HOP_MS } from './constants.ts'
import { EndpointPath } from './endpoint-path.ts'
import { callEndpoint } from './endpoint-call.ts'
import { RelayAnswerSchema, toResultSchema } from './relay-answer.ts'
import type { RelayDirectory } from './relay-directory.ts'
import type { EndpointCall, Path, RelayAnswer, RelayRequest } from './types.ts'

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
    const path = this.#getPath(endpoint)
    const call: EndpointCall = { type: 'stop', order }
    // While no renewal tells whether the path works, as when the runs of an ended incarnation are settled, stops do.
    if (!path.isRenewing) return await this.#sendAndDecide(endpoint, path, call, timeoutMs) as OrderResult
    return await this.#send(endpoint, path.current, call, timeoutMs) as OrderResult
  }

  async renew (endpoint: EndpointRecord, order: RenewOrder, timeoutMs: number): Promise<RenewResult> {
    const path = this.#getPath(endpoint)
    if (path.isProbeDue(this.#options.timers.now())) this.#probeDirectly(endpoint, path, order)
    path.isRenewing = true
    return await this.#sendAndDecide(endpoint, path, { type: 'renew', order }, timeoutMs).finally(() => { path.isRenewing = false }) as RenewResult
  }

  closeConnections (endpoint: EndpointRecord): void {
    this.#paths.delete(endpoint.life)
    this.#options.direct.closeConnections(endpoint)
  }

  /** Sends a call on the present path; its outcome decides the path of the next ones. */
  async #sendAndDecide (endpoint: EndpointRecord, path: EndpointPath, call: EndpointCall, timeoutMs: number): Promise<OrderResult | RenewResult> {
    const { timers, logger } = this.#options
    const { current } = path
    try {
      const result = await this.#send(endpoint, current, call, timeoutMs)
      if (path.recordAnswer(current, timers.now())) logger.info('endpoint does not answer directly, but through a relay', { endpoint: endpoint.id, address: endpoint.address, ...current })
      return result
    } catch (err) {
      path.recordFailure(current, this.#options.relays.listFor(endpoint, timers.now()).map(({ node }) => node), timers.now())
      throw err
    }
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
      return toResult(relay, req, await this.#readAnswer(callRelay, relay, req))
    } finally {
      this.#relayedCalls -= 1
    }
  }

  /** A failure of the relay itself says nothing about the endpoint, whose error code it must not pass for. */
  async #readAnswer (callRelay: RelayingEndpointPortOptions['callRelay'], relay: NodeId, req: RelayRequest): Promise<RelayAnswer> {
    try {
      return checkValue(RelayAnswerSchema, await callRelay(relay, req, req.timeoutMs + RELAY_HOP_MS), 'relay answer')
    } catch (err) {
      this.#options.metrics.increment('relay.failures')
      throw new IbisError('unreachable', `relay ${relay}: ${IbisError.from(err).message}`, { info: { reason: 'relay' } })
    }
  }

  /** Renews nothing and acknowledges nothing: the call only shows whether the direct path works again. */
  #probeDirectly (endpoint: EndpointRecord, path: EndpointPath, { fencingToken }: RenewOrder): void {
    const { direct, timers, logger, metrics } = this.#options
    path.beginProbe(timers.now())
    metrics.increment('relay.direct-probes')
    direct.renew(endpoint, { fencingToken, ackedUpto: 0, leaseUntilMs: null, waitMs: 0 }, DIRECT_PROBE_TIMEOUT_MS)
      .then(() => {
        path.recordDirectAnswer()
        logger.info('endpoint answers directly again', { endpoint: endpoint.id })
      })
      .catch(() => { /* The next probe is scheduled already. */ })
  }
}

/** Throws `unreachable` for what is no answer of an endpoint. */
const toResult = (relay: NodeId, { call }: RelayRequest, answer: RelayAnswer): OrderResult | RenewResult => {
  switch (answer.type) {
    case 'answered': return checkResult(relay, call, answer.result)
    case 'unreachable': throw new IbisError('unreachable', `through ${relay}: ${answer.detail}`, { info: { reason: 'relayed', ...(answer.code !== null && { code: answer.code }) } })
    default: return assertNever(answer)
  }
}

const checkResult = (relay: NodeId, call: EndpointCall, result: unknown): OrderResult | RenewResult => {
  try {
    return checkValue(toResultSchema(call), result, 'relayed result') as OrderResult | RenewResult
  } catch (err) {
    throw new IbisError('unreachable', `through ${relay}: ${IbisError.from(err).message}`, { info: { reason: 'malformed' } })
  }
}
