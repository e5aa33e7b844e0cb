import { asId, IbisError, type DomainId, type NodeId } from '@ibisstair/common'
import type { EndpointPort, RenewOrder } from '@ibisstair/dispatch'
import type { EndpointIncarnation, EndpointRecord } from '@ibisstair/jobs'
import { Metrics } from '@ibisstair/telemetry'
import type { TimerService } from '@ibisstair/timers'
import type { TestCluster } from '../../../dispatch/tests/support/test-cluster.ts'
import { RelayDirectory, RelayingEndpointPort, RelayServer, type RelayRequest } from '../../src/index.ts'

const OFFER_PERIOD_MS = 2_000

/** One process's way to the endpoints, parts of which may be cut. */
export class CutPort implements EndpointPort {
  /** Endpoints that calls of this process do not reach. */
  readonly cut = new Set<EndpointIncarnation>()
  /** Endpoints that calls reach, and whose answers are lost. */
  readonly deaf = new Set<EndpointIncarnation>()
  readonly closed: EndpointIncarnation[] = []
  calls = 0
  readonly renewals: RenewOrder[] = []
  readonly #port: EndpointPort
  readonly #timers: TimerService

  constructor (port: EndpointPort, timers: TimerService) {
    this.#port = port
    this.#timers = timers
  }

  start: EndpointPort['start'] = async (endpoint, order, timeoutMs) => await this.#call(endpoint, timeoutMs, () => this.#port.start(endpoint, order, timeoutMs))
  stop: EndpointPort['stop'] = async (endpoint, order, timeoutMs) => await this.#call(endpoint, timeoutMs, () => this.#port.stop(endpoint, order, timeoutMs))
  renew: EndpointPort['renew'] = async (endpoint, order, timeoutMs) => {
    this.renewals.push(order)
    return await this.#call(endpoint, timeoutMs, () => this.#port.renew(endpoint, order, timeoutMs))
  }

  closeConnections ({ life }: EndpointRecord): void {
    this.closed.push(life)
  }

  async #call<T> ({ life }: EndpointRecord, timeoutMs: number, send: () => Promise<T>): Promise<T> {
    this.calls += 1
    const isCut = this.cut.has(life)
    if (!isCut && !this.deaf.has(life)) return await send()
    if (!isCut) send().catch(() => {})
    await this.#timers.delay(timeoutMs)
    throw new IbisError('unreachable', 'no answer', { info: { reason: 'timeout' } })
  }
}

export interface TestRelay {
  readonly node: NodeId
  readonly port: CutPort
  readonly server: RelayServer
  /** While false, the process gives no answers and repeats no offers. */
  isUp: boolean
}

/** Gives the leaders of a cluster relays to its endpoints, one in each of the named failure domains. */
export class RelayedPaths {
  readonly direct: CutPort
  readonly directory = new RelayDirectory()
  readonly relays: readonly TestRelay[]
  readonly port: RelayingEndpointPort
  readonly #cluster: TestCluster

  constructor (cluster: TestCluster, domains: readonly string[]) {
    const { timers, fleet, metrics } = cluster
    this.#cluster = cluster
    this.direct = new CutPort(fleet, timers)
    this.relays = domains.map((_, i) => {
      const port = new CutPort(fleet, timers)
      return { node: asId<NodeId>(`10.9.0.${i}`), port, server: new RelayServer({ port, timers, metrics: new Metrics({ node: `entry-${i}` }) }), isUp: true }
    })
    const logger = { error: () => {}, warn: () => {}, info: (message: string, fields = {}) => { cluster.logLines.push({ message, fields }) }, debug: () => {} }
    this.port = new RelayingEndpointPort({ direct: this.direct, relays: this.directory, callRelay: (node, req, timeoutMs) => this.#callRelay(node, req, timeoutMs), timers, logger, metrics })
    cluster.port = this.port
    const offerAll = (): void => this.relays.forEach(({ node, isUp }, i) => {
      if (isUp) this.directory.record({ node, domain: asId<DomainId>(domains[i]!), announceAddress: null }, timers.now())
    })
    offerAll()
    timers.every(OFFER_PERIOD_MS, offerAll)
  }

  async #callRelay (node: NodeId, req: RelayRequest, timeoutMs: number): Promise<unknown> {
    const relay = this.relays.find((other) => other.node === node)!
    if (relay.isUp) return JSON.parse(JSON.stringify(await relay.server.handle(JSON.parse(JSON.stringify(req)))))
    await this.#cluster.timers.delay(timeoutMs)
    throw new IbisError('unreachable', 'no answer', { info: { reason: 'timeout' } })
  }
}
