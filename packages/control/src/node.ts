import { asId, checkValue, IbisError, type CustomerId, type DomainId, type NodeId, type RequestKey } from '@ibisstair/common'
import type { Group, ReplicaStatus, StateMachine } from '@ibisstair/consensus'
import { ConfigSync, type ConfigCache, type Peer } from '@ibisstair/config-sync'
import { EndpointDirectory } from '@ibisstair/membership'
import { parseConfig, type Announcement, type Config, type JobRequest } from '@ibisstair/model'
import { ConfigRegister, JobRegister, type ConfigCommand, type ConfigResult, type JobCommand, type JobResult } from '@ibisstair/registers'
import type { MessageBatch, RpcClient, RpcServer } from '@ibisstair/rpc'
import type { DomainScheduler } from '@ibisstair/scheduler'
import type { Logger, Metrics } from '@ibisstair/telemetry'
import type { RandomSource, TimerService, Unsubscribe } from '@ibisstair/timers'
import * as v from 'valibot'
import { DEGRADED_AFTER_MS, DIRECTORY_TICK_MS, PROPOSE_TIMEOUT_MS } from './constants.ts'
import { DomainSession } from './session.ts'

export interface DomainGroupSettings {
  readonly domain: DomainId
  readonly voters: readonly NodeId[]
  readonly witness: NodeId
}

export interface GroupSettings {
  readonly config: { readonly voters: readonly NodeId[] }
  readonly domains: readonly DomainGroupSettings[]
}

export interface GroupSpec {
  readonly name: string
  readonly voters: readonly NodeId[]
  readonly witness: NodeId | null
}

/** Opens this node's replica of a group. The application supplies one that stores its data in the data folder. */
export type OpenGroup = <Command, Result>(spec: GroupSpec, machine: StateMachine<Command, Result>) => Promise<ControlGroup<Command, Result>>

export interface ControlGroup<Command, Result> extends Group<Command, Result> {
  /** Transfers leadership to another voter, if this replica leads and another voter is caught up. */
  transferLeadership (): void
}

export interface ControlNodeOptions {
  readonly node: NodeId
  readonly domain: DomainId
  readonly groups: GroupSettings
  readonly peers: readonly Peer[]
  readonly cache: ConfigCache
  readonly rpc: RpcClient
  readonly server: RpcServer
  readonly timers: TimerService
  readonly random: RandomSource
  readonly metrics: Metrics
  readonly logger: Logger
  readonly openGroup: OpenGroup
  readonly createScheduler: () => DomainScheduler
}

const CONFIG_GROUP = 'config'
const toGroupName = (domain: DomainId): string => `domain-${domain}`

const MAX_WAIT_MS = 30_000
const WaitMs = v.pipe(v.number(), v.minValue(0), v.maxValue(MAX_WAIT_MS))
const KeyParams = v.object({ customer: v.string(), key: v.string() })
const WaitParams = v.object({ customer: v.string(), key: v.string(), waitMs: WaitMs })
// The entry has validated the request against the configuration; the shared secret protects this listener.
const SubmitParams = v.object({ request: v.custom<JobRequest>((value) => typeof value === 'object' && value !== null, 'a request'), waitMs: WaitMs })
const AnnounceParams = v.object({ announcements: v.array(v.custom<Announcement>((value) => typeof value === 'object' && value !== null && 'endpoint' in value, 'an announcement')) })
const MessageParams = v.object({ messages: v.array(v.object({ group: v.string(), message: v.unknown() })) })

/** Calls `onConfig` after each command and each restored snapshot of the configuration register. */
class ObservedConfigRegister implements StateMachine<ConfigCommand, ConfigResult> {
  readonly #register: ConfigRegister
  readonly #onConfig: (config: Config) => void

  constructor (register: ConfigRegister, onConfig: (config: Config) => void) {
    this.#register = register
    this.#onConfig = onConfig
  }

  apply (command: ConfigCommand): ConfigResult {
    const result = this.#register.apply(command)
    this.#onConfig(this.#register.config)
    return result
  }

  toSnapshot (): unknown {
    return this.#register.toSnapshot()
  }

  restore (snapshot: unknown): void {
    this.#register.restore(snapshot)
    this.#onConfig(this.#register.config)
  }
}

/** One control process: runs its replicas, distributes the configuration and schedules its failure domain. */
export class ControlNode {
  readonly #options: ControlNodeOptions
  readonly #directory = new EndpointDirectory()
  readonly #configRegister = new ConfigRegister()
  readonly #jobRegister = new JobRegister()
  readonly #groups = new Map<string, ControlGroup<never, unknown>>()
  readonly #sync: ConfigSync
  readonly #unsubscribes: Unsubscribe[] = []
  #configGroup: ControlGroup<ConfigCommand, ConfigResult> | null = null
  #domainGroup: ControlGroup<JobCommand, JobResult> | null = null
  #session: DomainSession | null = null
  #leaderlessSinceMs: number | null = null
  /** Term in which this process leads, and the last log index at the time of its election. */
  #election: { readonly term: number, readonly lastIndex: number } | null = null
  #isStopping = false

  constructor (options: ControlNodeOptions) {
    this.#options = options
    const { cache, peers, rpc, timers, random } = options
    this.#sync = new ConfigSync({ cache, peers, client: rpc, timers, random, parse: parseConfig })
  }

  async start (): Promise<void> {
    const { timers, cache } = this.#options
    this.#registerHandlers()
    await this.#openGroups()
    this.#sync.start()
    this.#unsubscribes.push(cache.onChange((config) => this.#handleConfig(config)))
    this.#unsubscribes.push(timers.every(DIRECTORY_TICK_MS, () => this.#handleTick()))
  }

  /** Transfers leadership first, so that requests in progress continue under the next leader. */
  async stop (): Promise<void> {
    this.#isStopping = true
    for (const group of this.#groups.values()) group.transferLeadership()
    this.#closeSession()
    for (const stop of this.#unsubscribes) stop()
    this.#sync.stop()
    await Promise.all([...this.#groups.values()].map((group) => group.stop()))
    await this.#options.cache.flush()
  }

  getStatus (): object {
    return {
      configVersion: this.#options.cache.version,
      groups: [...this.#groups.values()].map((group) => group.getStatus()),
      endpoints: this.#directory.getStats(),
      session: this.#session ? { degraded: this.#session.isDegraded, ...this.#session.getStats() } : null,
      records: this.#jobRegister.getStats()
    }
  }

  // Groups

  async #openGroups (): Promise<void> {
    const { groups, node, domain, openGroup, cache } = this.#options
    if (groups.config.voters.includes(node)) {
      const machine = new ObservedConfigRegister(this.#configRegister, (config) => { cache.applyIfNewer(config) })
      this.#configGroup = await openGroup({ name: CONFIG_GROUP, voters: groups.config.voters, witness: null }, machine)
      this.#groups.set(CONFIG_GROUP, this.#configGroup as ControlGroup<never, unknown>)
    }
    for (const spec of groups.domains) {
      if (!spec.voters.includes(node) && spec.witness !== node) continue
      const isOwn = spec.domain === domain
      const machine = isOwn ? this.#jobRegister : new JobRegister()
      const group = await openGroup({ name: toGroupName(spec.domain), voters: spec.voters, witness: spec.witness }, machine)
      this.#groups.set(toGroupName(spec.domain), group as ControlGroup<never, unknown>)
      if (!isOwn || spec.witness === node) continue
      this.#domainGroup = group
      this.#unsubscribes.push(group.onStatus(() => this.#updateMode()))
    }
  }

  #handleMessages ({ messages }: MessageBatch, from: NodeId): void {
    for (const { group, message } of messages) this.#groups.get(group)?.handleMessage(from, message)
  }

  // Scheduling mode

  #handleTick (): void {
    const changes = this.#directory.handle({ type: 'tick' }, this.#options.timers.now())
    for (const change of changes) this.#session?.handleEndpointChange(change)
    this.#updateMode()
  }

  #updateMode (): void {
    if (this.#isStopping || !this.#domainGroup) return
    const status = this.#domainGroup.getStatus()
    const targetMode = this.#getTargetMode(status)
    const currentMode = this.#getMode()
    if (targetMode === currentMode) return
    this.#closeSession()
    if (targetMode !== 'none') this.#openSession(targetMode === 'degraded')
  }

  #getMode (): 'leader' | 'degraded' | 'none' {
    if (!this.#session) return 'none'
    return this.#session.isDegraded ? 'degraded' : 'leader'
  }

  /**
   * A leader with a quorum schedules. A process that has had no leader for a while cannot reach a
   * quorum and schedules idempotent work alone; the endpoints' reservations keep that safe.
   */
  #getTargetMode (status: ReplicaStatus): 'leader' | 'degraded' | 'none' {
    const now = this.#options.timers.now()
    if (!this.#options.cache.current) return 'none'
    if (status.role === 'leader') {
      this.#leaderlessSinceMs = null
      return status.hasQuorum && this.#hasAppliedEarlierTerms(status) ? 'leader' : 'none'
    }
    // A candidate still reports its former leader, so only the leader that a follower reports counts.
    if (status.role === 'follower' && status.leader !== null) {
      this.#leaderlessSinceMs = null
      return 'none'
    }
    this.#leaderlessSinceMs ??= now
    return now - this.#leaderlessSinceMs >= DEGRADED_AFTER_MS ? 'degraded' : 'none'
  }

  /** Before that, the register may lack starts that an earlier leader committed, and would allow a second start. */
  #hasAppliedEarlierTerms ({ term, lastIndex, commitIndex }: ReplicaStatus): boolean {
    if (this.#election?.term !== term) this.#election = { term, lastIndex }
    return commitIndex >= this.#election.lastIndex
  }

  #openSession (isDegraded: boolean): void {
    const { timers, random, metrics, logger, domain, cache, createScheduler } = this.#options
    const group = this.#domainGroup!
    logger.info('scheduling session of the failure domain opened', { domain, degraded: isDegraded, term: group.getStatus().term })
    metrics.increment(isDegraded ? 'sessions.degraded' : 'sessions.leader')
    this.#session = new DomainSession({
      domain,
      sessionId: `${domain}-${random.token()}`,
      timers,
      metrics,
      logger,
      scheduler: createScheduler(),
      directory: this.#directory,
      register: this.#jobRegister,
      propose: isDegraded ? null : (command) => group.propose(command, PROPOSE_TIMEOUT_MS)
    })
    this.#session.start(cache.getConfig())
  }

  #closeSession (): void {
    if (!this.#session) return
    this.#options.logger.info('scheduling session of the failure domain closed', { domain: this.#options.domain })
    this.#session.close()
    this.#session = null
  }

  #getSession (): DomainSession {
    if (this.#session) return this.#session
    const { domain } = this.#options
    if (this.#isStopping) throw new IbisError('shutting-down', 'this control process is shutting down')
    if (!this.#options.cache.current) throw new IbisError('stale-config', 'this control process has no configuration yet')
    const leader = this.#domainGroup?.getStatus().leader ?? null
    if (leader === null) throw new IbisError('no-leader', `failure domain ${domain} has no leader`)
    throw new IbisError('not-leader', `failure domain ${domain} is scheduled by ${leader}`, { info: { leader } })
  }

  // Configuration

  #handleConfig (config: Config): void {
    this.#options.metrics.gauge('config.version', config.version)
    this.#session?.setConfig(config)
    this.#updateMode()
    if (this.#configGroup?.getStatus().role === 'leader') this.#sync.push(config).catch(() => {})
  }

  async #proposeConfig (command: ConfigCommand): Promise<object> {
    const group = this.#configGroup
    if (!group) throw new IbisError('not-leader', 'this process is not a voter of the config group')
    const { leader, role } = group.getStatus()
    if (role !== 'leader') throw new IbisError('not-leader', `the config group is led by ${leader ?? 'nobody'}`, { info: { leader } })
    this.#checkGroupIsCurrent(command)
    const result = await group.propose(command, PROPOSE_TIMEOUT_MS)
    if (result.status === 'refused') throw IbisError.fromBody(result.error)
    return { version: result.version, ...(command.type === 'change' && { changeId: command.change.changeId }) }
  }

  /** A config group that replaces a lost one must not reuse version numbers that were already in force. */
  #checkGroupIsCurrent (command: ConfigCommand): void {
    const effectiveVersion = this.#options.cache.version
    const groupVersion = this.#configRegister.config.version
    if (command.type === 'import' || effectiveVersion <= groupVersion) return
    throw new IbisError('stale-config', `the config group holds version ${groupVersion} and version ${effectiveVersion} is in force; if this error persists for more than a few seconds, import the newest copy of the configuration`)
  }

  // Calls

  #registerHandlers (): void {
    const { server } = this.#options
    this.#sync.register(server)
    server.register('raft.message', (params, ctx) => this.#handleMessages(checkValue(MessageParams, params, 'raft.message') as MessageBatch, ctx.from))
    server.register('endpoint.announce', (params) => this.#handleAnnouncements(params))
    server.register('config.propose', (params) => this.#proposeConfig({ type: 'change', change: params as never }))
    server.register('config.import', (params) => this.#proposeConfig({ type: 'import', config: (params as { config?: unknown } | null)?.config as never }))
    server.register('job.submit', async (params) => {
      const { request, waitMs } = checkValue(SubmitParams, params, 'job.submit')
      return await this.#getSession().submit(request, waitMs)
    })
    server.register('job.wait', async (params) => {
      const { customer, key, waitMs } = checkValue(WaitParams, params, 'job.wait')
      return await this.#getSession().wait(asId<CustomerId>(customer), asId<RequestKey>(key), waitMs)
    })
    server.register('job.cancel', async (params) => {
      const { customer, key } = checkValue(KeyParams, params, 'job.cancel')
      return await this.#getSession().cancel(asId<CustomerId>(customer), asId<RequestKey>(key))
    })
    server.register('job.explain', (params) => {
      const { customer, key } = checkValue(KeyParams, params, 'job.explain')
      return this.#getSession().explain(asId<CustomerId>(customer), asId<RequestKey>(key))
    })
    server.register('control.status', () => this.getStatus())
    server.register('metrics.read', () => this.#options.metrics.read())
  }

  #handleAnnouncements (params: unknown): object {
    const { announcements } = checkValue(AnnounceParams, params, 'endpoint.announce')
    for (const { endpoint } of announcements) {
      if (endpoint.domain !== this.#options.domain) continue
      const changes = this.#directory.handle({ type: 'announce', info: endpoint }, this.#options.timers.now())
      for (const change of changes) this.#session?.handleEndpointChange(change)
    }
    return { accepted: announcements.length }
  }
}
