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
  /** Other entries, with which this entry compares its configuration. */
  readonly entries: readonly Peer[]
  readonly cache: ConfigCache
  readonly rpc: RpcClient
  readonly server: RpcServer
  readonly timers: TimerService
  readonly random: RandomSource
  readonly metrics: Metrics
  readonly logger: Logger
  /** Time between reporting not ready and refusing new connections, in milliseconds. */
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

/** An entry process: starts its listeners, and shuts down without aborting requests in progress. */
export class Entry {
  readonly #options: EntryOptions
  readonly #configSync: ConfigSync
  readonly #announcementSender: AnnouncementSender
  readonly #runner: RequestRunner
  readonly #callerApi: CallerApi
  readonly #listeners: { readonly callers: HttpListener, readonly endpoints: HttpListener, readonly operators: HttpListener }
  readonly #objectiveWindow = new ObjectiveWindow()
  readonly #unsubscribes: Unsubscribe[] = []
  #isReady = false

  constructor (options: EntryOptions) {
    this.#options = options
    const { cache, rpc, timers, random, controls, entries } = options
    this.#configSync = new ConfigSync({ cache, peers: [...controls, ...entries], client: rpc, timers, random, parse: parseConfig })
    this.#announcementSender = new AnnouncementSender(rpc, timers, controls)
    this.#runner = new RequestRunner({ domains: new DomainClient(rpc, timers, random, controls), timers, ownDomain: options.domain })
    this.#callerApi = this.#createCallerApi()
    const endpointApi = new EndpointApi(this.#announcementSender)
    const operatorApi = this.#createOperatorApi()
    this.#listeners = {
      callers: new HttpListener((call) => this.#callerApi.handle(call)),
      endpoints: new HttpListener((call) => endpointApi.handle(call)),
      operators: new HttpListener((call) => operatorApi.handle(call))
    }
  }

  async start (): Promise<EntryAddresses> {
    const { cache, listen, server, metrics } = this.#options
    this.#configSync.register(server)
    server.register('metrics.read', () => metrics.read())
    this.#unsubscribes.push(cache.onChange((config) => this.#handleConfig(config)))
    if (cache.current) this.#handleConfig(cache.current)
    const addresses = {
      internal: await server.listen(listen.internal),
      operators: await this.#listeners.operators.listen(listen.operators),
      endpoints: await this.#listeners.endpoints.listen(listen.endpoints),
      callers: await this.#listeners.callers.listen(listen.callers)
    }
    this.#configSync.start()
    this.#announcementSender.start()
    this.#fetchConfigUntilReady().catch(() => {})
    return addresses
  }

  /** Reports not ready first, then refuses new connections; resolves once the requests in progress have been answered. */
  async stop (): Promise<void> {
    const { timers, logger, server, cache, drainMs } = this.#options
    this.#isReady = false
    logger.info('entry is shutting down; no longer ready', { pending: this.#callerApi.pending })
    await timers.delay(drainMs)
    await this.#listeners.callers.close()
    this.#announcementSender.stop()
    this.#configSync.stop()
    for (const unsubscribe of this.#unsubscribes) unsubscribe()
    await Promise.all([this.#listeners.endpoints.close(), this.#listeners.operators.close(), server.close()])
    await cache.flush()
    logger.info('entry shut down', {})
  }

  /** An entry may have missed configuration changes while it was down, so it compares versions with all peers before it becomes ready. */
  async #fetchConfigUntilReady (): Promise<void> {
    for (;;) {
      try {
        await this.#configSync.fetchHighest()
        this.#isReady = true
        this.#options.logger.info('entry ready', { configVersion: this.#options.cache.version })
        return
      } catch {
        await this.#options.timers.delay(CONFIG_RETRY_MS)
      }
    }
  }

  #handleConfig (config: Config): void {
    this.#options.metrics.gauge('config.version', config.version)
    this.#objectiveWindow.setObjectives(config.kinds.map(({ kind, objective }) => ({ kind, ...objective })))
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
      // A request that its caller cancelled does not count as a missed objective.
      if (outcome.kind !== 'cancelled' && outcome.kind !== 'cancelled-running' && outcome.execution !== 'ran') this.#objectiveWindow.recordMiss(request.kind, atMs)
      return
    }
    metrics.increment('requests.answered')
    if (outcome.startedAfterMs === undefined) return
    metrics.timing('requests.start-wait', outcome.startedAfterMs)
    this.#objectiveWindow.recordStart(request.kind, outcome.startedAfterMs, atMs)
  }

  #readMetrics (): MetricsBody {
    const { node, timers, metrics } = this.#options
    const atMs = timers.wallClock()
    return { node, atMs, objectives: this.#objectiveWindow.snapshot(atMs), counters: metrics.read().counters }
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
      announcementsDropped: this.#announcementSender.dropped,
      transport: rpc.counters
    }
  }
}
