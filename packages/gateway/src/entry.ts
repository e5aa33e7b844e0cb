import { IbisError, type DomainId, type NodeId } from '@ibisstair/common'
import { ConfigSync, type ConfigCache, type Peer } from '@ibisstair/config-sync'
import { parseConfig, type Config, type JobRequest, type JobStatus } from '@ibisstair/model'
import type { RpcClient, RpcServer, Target } from '@ibisstair/rpc'
import { ObjectiveWindow, type Logger, type Metrics, type MetricsBody } from '@ibisstair/telemetry'
import type { RandomSource, TimerService, Unsubscribe } from '@ibisstair/timers'
import { AnnouncementSender } from './announcements.ts'
import { CallerApi } from './caller-api.ts'
import { CONFIG_RETRY_MS } from './constants.ts'
import { DomainClient, type ControlTarget } from './domains.ts'
import { EndpointApi } from './endpoint-api.ts'
import { HttpListener } from './listener.ts'
import { OperatorApi } from './operator-api.ts'
import { RequestRunner } from './runner.ts'

export interface EntryOptions {
  readonly node: NodeId
  readonly domain: DomainId
  readonly listen: {
    readonly callers: Target
    readonly endpoints: Target
    readonly operators: Target
    readonly internal: Target
  }
  readonly secret: string
  readonly controls: readonly ControlTarget[]
  /** Other entries, for the comparison of configurations. */
  readonly entries: readonly Peer[]
  readonly cache: ConfigCache
  readonly rpc: RpcClient
  readonly server: RpcServer
  readonly timers: TimerService
  readonly random: RandomSource
  readonly metrics: Metrics
  readonly logger: Logger
  /** From the loss of readiness to the refusal of new connections. */
  readonly drainMs: number
  readonly maxBodyBytes: number
  readonly maxPending: number
}

export interface EntryAddresses {
  readonly callers: Target
  readonly endpoints: Target
  readonly operators: Target
  readonly internal: Target
}

/** One entry: its listeners, and the shutdown that cuts no request. */
export class Entry {
  readonly #options: EntryOptions
  readonly #sync: ConfigSync
  readonly #sender: AnnouncementSender
  readonly #runner: RequestRunner
  readonly #callerApi: CallerApi
  readonly #listeners: { readonly callers: HttpListener, readonly endpoints: HttpListener, readonly operators: HttpListener }
  readonly #objectives = new ObjectiveWindow()
  readonly #stops: Unsubscribe[] = []
  #isReady = false

  constructor (options: EntryOptions) {
    this.#options = options
    const { cache, rpc, timers, random, controls, entries } = options
    this.#sync = new ConfigSync({ cache, peers: [...controls, ...entries], client: rpc, timers, random, parse: parseConfig })
    this.#sender = new AnnouncementSender(rpc, timers, controls)
    this.#runner = new RequestRunner({ domains: new DomainClient(rpc, timers, random, controls), timers, ownDomain: options.domain })
    this.#callerApi = this.#createCallerApi()
    const endpointApi = new EndpointApi(this.#sender)
    const operatorApi = this.#createOperatorApi()
    this.#listeners = {
      callers: new HttpListener((call) => this.#callerApi.handle(call)),
      endpoints: new HttpListener((call) => endpointApi.handle(call)),
      operators: new HttpListener((call) => operatorApi.handle(call))
    }
  }

  async start (): Promise<EntryAddresses> {
    const { cache, listen, server, metrics } = this.#options
    this.#sync.register(server)
    server.register('metrics.read', () => metrics.read())
    this.#stops.push(cache.onChange((config) => this.#handleConfig(config)))
    if (cache.current) this.#handleConfig(cache.current)
    const addresses = {
      internal: await server.listen(listen.internal),
      operators: await this.#listeners.operators.listen(listen.operators),
      endpoints: await this.#listeners.endpoints.listen(listen.endpoints),
      callers: await this.#listeners.callers.listen(listen.callers)
    }
    this.#sync.start()
    this.#sender.start()
    this.#fetchConfig().catch(() => {})
    return addresses
  }

  /** Readiness goes first; requests in progress are answered before the process ends. */
  async stop (): Promise<void> {
    const { timers, logger, server, cache, drainMs } = this.#options
    this.#isReady = false
    logger.info('not ready: shutting down', { pending: this.#callerApi.pending })
    await timers.delay(drainMs)
    await this.#listeners.callers.close()
    this.#sender.stop()
    this.#sync.stop()
    for (const stop of this.#stops) stop()
    await Promise.all([this.#listeners.endpoints.close(), this.#listeners.operators.close(), server.close()])
    await cache.flush()
    logger.info('shut down', {})
  }

  /** An entry may have missed changes while it was down, so it compares with all before it is ready. */
  async #fetchConfig (): Promise<void> {
    for (;;) {
      try {
        await this.#sync.fetchHighest()
        this.#isReady = true
        this.#options.logger.info('ready', { configVersion: this.#options.cache.version })
        return
      } catch {
        await this.#options.timers.delay(CONFIG_RETRY_MS)
      }
    }
  }

  #handleConfig (config: Config): void {
    this.#options.metrics.gauge('config.version', config.version)
    this.#objectives.setObjectives(config.kinds.map(({ kind, objective }) => ({ kind, ...objective })))
  }

  #createCallerApi (): CallerApi {
    const { cache, maxBodyBytes, maxPending } = this.#options
    return new CallerApi({
      cache,
      runner: this.#runner,
      maxBodyBytes,
      maxPending,
      isReady: () => this.#isReady,
      onOutcome: (request, outcome) => this.#handleOutcome(request, outcome)
    })
  }

  #createOperatorApi (): OperatorApi {
    const { secret, cache, rpc, controls } = this.#options
    return new OperatorApi({
      secret,
      cache,
      runner: this.#runner,
      rpc,
      controls,
      readMetrics: () => this.#readMetrics(),
      readStatus: () => this.#readStatus()
    })
  }

  #handleOutcome (request: JobRequest, outcome: JobStatus | IbisError): void {
    const { metrics, timers } = this.#options
    const atMs = timers.wallClock()
    if (outcome instanceof IbisError) {
      metrics.increment(`requests.failed.${outcome.kind}`)
      // A caller that cancels its own request is not a miss of the system.
      if (outcome.kind !== 'cancelled' && outcome.kind !== 'cancelled-running' && outcome.execution !== 'ran') this.#objectives.recordMiss(request.kind, atMs)
      return
    }
    metrics.increment('requests.answered')
    if (outcome.startedAfterMs === undefined) return
    metrics.timing('requests.start-wait', outcome.startedAfterMs)
    this.#objectives.recordStart(request.kind, outcome.startedAfterMs, atMs)
  }

  #readMetrics (): MetricsBody {
    const { node, timers, metrics } = this.#options
    const atMs = timers.wallClock()
    return { node, atMs, objectives: this.#objectives.snapshot(atMs), counters: metrics.read().counters }
  }

  #readStatus (): object {
    const { node, domain, cache, rpc } = this.#options
    return {
      node,
      domain,
      ready: this.#isReady,
      pending: this.#callerApi.pending,
      configVersion: cache.version,
      retries: { spent: this.#runner.budget.spent, denied: this.#runner.budget.denied },
      announcementsDropped: this.#sender.dropped,
      transport: rpc.counters
    }
  }
}
