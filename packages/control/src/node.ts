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
import { DEGRADED_AFTER_MS, DIRECTORY_TICK_MS, PROPOSE_MS } from './constants.ts'
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

/** Opens this node's replica of a group; the program gives one over the data folder. */
export type OpenGroup = <Command, Result>(spec: GroupSpec, machine: StateMachine<Command, Result>) => Promise<ControlGroup<Command, Result>>

export interface ControlGroup<Command, Result> extends Group<Command, Result> {
  /** Hands leadership to another voter, if this replica leads and one is caught up. */
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
// The entry has validated the request against the configuration; the secret guards this listener.
const SubmitParams = v.object({ request: v.custom<JobRequest>((value) => typeof value === 'object' && value !== null, 'a request'), waitMs: WaitMs })
const AnnounceParams = v.object({ announcements: v.array(v.custom<Announcement>((value) => typeof value === 'object' && value !== null && 'endpoint' in value, 'an announcement')) })
const MessageParams = v.object({ messages: v.array(v.object({ group: v.string(), message: v.unknown() })) })

/** Passes on each new state of the configuration register, which only its state machine sees. */
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

/** One control process: its replicas, the configuration, and the scheduling of its failure domain. */
export class ControlNode {
  readonly #options: ControlNodeOptions
  readonly #directory = new EndpointDirectory()
  readonly #configRegister = new ConfigRegister()
  readonly #jobRegister = new JobRegister()
  readonly #groups = new Map<string, ControlGroup<never, unknown>>()
  readonly #sync: ConfigSync
  readonly #stops: Unsubscribe[] = []
  #configGroup: ControlGroup<ConfigCommand, ConfigResult> | null = null
  #domainGroup: ControlGroup<JobCommand, JobResult> | null = null
  #session: DomainSession | null = null
  #withoutLeaderSinceMs: number | null = null
  /** Term in which this process leads, and the end of the log at the time of its election. */
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
    this.#stops.push(cache.onChange((config) => this.#handleConfig(config)))
    this.#stops.push(timers.every(DIRECTORY_TICK_MS, () => this.#handleTick()))
  }

  /** Hands leadership over first, so that requests in progress go on under the next leader. */
  async stop (): Promise<void> {
    this.#isStopping = true
    for (const group of this.#groups.values()) group.transferLeadership()
    this.#closeSession()
    for (const stop of this.#stops) stop()
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
      this.#stops.push(group.onStatus(() => this.#updateRole()))
    }
  }

  #handleMessages ({ messages }: MessageBatch, from: NodeId): void {
    for (const { group, message } of messages) this.#groups.get(group)?.handleMessage(from, message)
  }

  // Role

  #handleTick (): void {
    const changes = this.#directory.handle({ type: 'tick' }, this.#options.timers.now())
    for (const change of changes) this.#session?.handleEndpointChange(change)
    this.#updateRole()
  }

  #updateRole (): void {
    if (this.#isStopping || !this.#domainGroup) return
    const status = this.#domainGroup.getStatus()
    const wanted = this.#getWantedMode(status)
    const present = this.#getMode()
    if (wanted === present) return
    this.#closeSession()
    if (wanted !== 'none') this.#openSession(wanted === 'degraded')
  }

  #getMode (): 'leader' | 'degraded' | 'none' {
    if (!this.#session) return 'none'
    return this.#session.isDegraded ? 'degraded' : 'leader'
  }

  /**
   * A leader schedules. Without a leader for a while, which means that no majority can be reached,
   * a process schedules idempotent work alone; the endpoints' reservations keep that safe.
   */
  #getWantedMode (status: ReplicaStatus): 'leader' | 'degraded' | 'none' {
    const now = this.#options.timers.now()
    if (!this.#options.cache.current) return 'none'
    if (status.role === 'leader') {
      this.#withoutLeaderSinceMs = null
      return status.hasQuorum && this.#hasAppliedEarlierTerms(status) ? 'leader' : 'none'
    }
    // A candidate still names the leader that it lost, so only a follower's leader counts.
    if (status.role === 'follower' && status.leader !== null) {
      this.#withoutLeaderSinceMs = null
      return 'none'
    }
    this.#withoutLeaderSinceMs ??= now
    return now - this.#withoutLeaderSinceMs >= DEGRADED_AFTER_MS ? 'degraded' : 'none'
  }

  /** Until then the record may lack starts that an earlier leader committed, and would allow them again. */
  #hasAppliedEarlierTerms ({ term, lastIndex, commitIndex }: ReplicaStatus): boolean {
    if (this.#election?.term !== term) this.#election = { term, lastIndex }
    return commitIndex >= this.#election.lastIndex
  }

  #openSession (isDegraded: boolean): void {
    const { timers, random, metrics, logger, domain, cache, createScheduler } = this.#options
    const group = this.#domainGroup!
    logger.info('begins to schedule the failure domain', { domain, degraded: isDegraded, term: group.getStatus().term })
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
      propose: isDegraded ? null : (command) => group.propose(command, PROPOSE_MS)
    })
    this.#session.start(cache.getConfig())
  }

  #closeSession (): void {
    if (!this.#session) return
    this.#options.logger.info('no longer schedules the failure domain', { domain: this.#options.domain })
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
    this.#updateRole()
    if (this.#configGroup?.getStatus().role === 'leader') this.#sync.push(config).catch(() => {})
  }

  async #proposeConfig (command: ConfigCommand): Promise<object> {
    const group = this.#configGroup
    if (!group) throw new IbisError('not-leader', 'this process is not a voter of the config group')
    const { leader, role } = group.getStatus()
    if (role !== 'leader') throw new IbisError('not-leader', `the config group is led by ${leader ?? 'nobody'}`, { info: { leader } })
    this.#checkGroupIsCurrent(command)
    const result = await group.propose(command, PROPOSE_MS)
    if (result.status === 'refused') throw IbisError.fromBody(result.error)
    return { version: result.version, ...(command.type === 'change' && { changeId: command.change.changeId }) }
  }

  /** A group that was set up anew after the loss of the old one must not restart the version numbers. */
  #checkGroupIsCurrent (command: ConfigCommand): void {
    const inForce = this.#options.cache.version
    const inGroup = this.#configRegister.config.version
    if (command.type === 'import' || inForce <= inGroup) return
    throw new IbisError('stale-config', `the config group holds version ${inGroup} and version ${inForce} is in force; if this does not pass within seconds, import the newest copy`)
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
