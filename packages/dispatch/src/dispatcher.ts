import type { EndpointId, TaskId } from '@ibisstair/common'
import type { EndpointIncarnation, EndpointRecord, JobEntry, RunEnd, SchedulingState, StartGroup, StateCommand, StateResult } from '@ibisstair/jobs'
import { mustParseTaskId, toTaskId } from '@ibisstair/jobs'
import type { Logger, Metrics } from '@ibisstair/telemetry'
import type { TimerService, Unsubscribe } from '@ibisstair/timers'
import { ANNOUNCEMENT_EXPIRY_MS, COMMIT_TIMEOUT_MS, ENDPOINT_EXPIRY_MS, LEAVE_GRACE_MS, MAX_PASS_DELAY_MS, PASS_DELAY_MS, PASS_PAUSE_FACTOR, SESSION_TICK_MS } from './constants.ts'
import { EndpointHealth } from './endpoint-health.ts'
import { EndpointSession, type SessionEvents } from './endpoint-session.ts'
import { Planner } from './planner.ts'
import type { EndpointPort } from './ports.ts'

export interface DispatcherOptions {
  readonly state: SchedulingState
  readonly propose: (command: StateCommand, timeoutMs: number) => Promise<StateResult>
  readonly isLeading: () => boolean
  readonly port: EndpointPort
  readonly timers: TimerService
  readonly logger: Logger
  readonly metrics: Metrics
  /** Fencing token of this leader's term. */
  readonly fencingToken: number
  readonly leaseMaxMs: number
}

/** Members of a gang report their common end at about the same time; they are not stopped before. */
const GANG_END_GRACE_MS = 700

/**
 * Carries out the schedule during one term of leadership: plans starts, gives orders to endpoints
 * and puts what they report into the log. All that must survive is in the replicated state.
 */
export class Dispatcher implements SessionEvents {
  readonly #options: DispatcherOptions
  readonly #planner = new Planner()
  readonly #health: EndpointHealth
  readonly #sessions = new Map<EndpointIncarnation, EndpointSession>()
  readonly #seenAtMs = new Map<EndpointIncarnation, number>()
  readonly #unwantedSinceMs = new Map<TaskId, number>()
  readonly #stops: Unsubscribe[] = []
  #isPassPlanned = false
  #passDelayMs = PASS_DELAY_MS
  #isProposing = false
  #isClosed = false

  constructor (options: DispatcherOptions) {
    this.#options = options
    this.#health = new EndpointHealth(options.timers)
  }

  start (): void {
    const { state, timers } = this.#options
    const now = timers.now()
    for (const { life } of state.endpoints.list()) this.#seenAtMs.set(life, now)
    for (const life of [...state.jobs.listOccupiedEndpoints()]) {
      const session = this.#openSession(life)
      for (const run of state.jobs.listRuns(life).values()) session?.inherit(run)
    }
    this.#stops.push(state.onApplied((command, result) => this.#handleApplied(command, result)))
    this.#stops.push(timers.every(SESSION_TICK_MS, () => this.#tick()))
    this.#planPass()
  }

  close (): void {
    this.#isClosed = true
    for (const stop of this.#stops) stop()
    for (const session of this.#sessions.values()) session.close()
  }

  /** An endpoint has announced itself. Resolves when what is new of it is in the log. */
  async announce (record: EndpointRecord, clockMs: number): Promise<void> {
    const { state, timers } = this.#options
    const now = timers.now()
    if (state.endpoints.wouldChange(record)) {
      await this.#propose({ type: 'register-endpoint', endpoint: record, atMs: timers.wallClock() })
      this.#options.logger.info('endpoint announced', { endpoint: record.id, life: record.life, domain: record.domain, rack: record.rack, draining: record.draining })
    }
    if (!state.endpoints.get(record.life)) return
    this.#seenAtMs.set(record.life, now)
    this.#sessions.get(record.life)?.noteClock(clockMs, now)
  }

  /** An endpoint says that it ends now. */
  leave (id: EndpointId): void {
    const { state, timers, logger } = this.#options
    const record = [...state.endpoints.list()].find((endpoint) => endpoint.id === id)
    if (!record) return
    logger.info('endpoint leaves', { endpoint: id, life: record.life })
    timers.subscribe(LEAVE_GRACE_MS, () => this.#remove(record))
  }

  // Events of sessions

  isLeading (): boolean {
    return !this.#isClosed && this.#options.isLeading()
  }

  log (message: string, fields: Readonly<Record<string, unknown>>): void {
    this.#options.logger.info(message, fields)
  }

  async handleEnds (endpoint: EndpointRecord, ends: readonly RunEnd[]): Promise<void> {
    const { timers, logger, metrics } = this.#options
    for (const { task, run, outcome } of ends) {
      logger.info('run ended', { task, run, outcome, endpoint: endpoint.id })
      metrics.increment(`runs.${outcome}`)
      this.#health.noteEnd(endpoint.life, task, outcome)
    }
    await this.#propose({ type: 'end', endpoint: endpoint.life, ends, atMs: timers.wallClock() })
  }

  handleReplaced (endpoint: EndpointRecord): void {
    this.#options.logger.warn('another life answers at the endpoint\'s address', { endpoint: endpoint.id, life: endpoint.life })
    this.#remove(endpoint)
  }

  handleFenced (endpoint: EndpointRecord): void {
    this.#options.logger.warn('endpoint obeys a newer leader', { endpoint: endpoint.id, fence: this.#options.fencingToken })
  }

  handleStartRefused (endpoint: EndpointRecord, task: TaskId, reason: string): void {
    this.#options.logger.warn('endpoint refused a start', { task, endpoint: endpoint.id, reason })
    this.#options.metrics.increment(`starts.refused.${reason}`)
    this.#health.noteRefusal(endpoint.life)
  }

  // State

  #handleApplied (command: StateCommand, result: StateResult): void {
    if (this.#isClosed) return
    if (result.type === 'started') for (const group of result.groups) this.#orderStarts(group)
    if (command.type === 'end') for (const { task, run } of command.ends) this.#sessions.get(command.endpoint)?.release(task, run)
    if (command.type === 'register-endpoint' || command.type === 'remove-endpoint') this.#closeStaleSessions()
    this.#planPass()
  }

  #orderStarts ({ job: id, occurrence, step, run, members }: StartGroup): void {
    const { state, logger, metrics } = this.#options
    const job = state.jobs.get(id)
    if (!job) return
    const entry = job.getOccurrence(occurrence).steps[step]!
    metrics.increment('runs.ordered', members.length)
    for (const { index, endpoint } of members) {
      const task = toTaskId({ job: id, occurrence, step, index })
      const active = state.jobs.listRuns(endpoint).get(task)
      const session = this.#openSession(endpoint)
      if (!active || !session) continue
      logger.info('run ordered', { task, run, endpoint: session.endpoint.id, waitedMs: Math.round(this.#options.timers.wallClock() - job.acceptedAtMs) })
      session.start(active, job.spec.payload, job.spec.steps[step]!.gang ? entry.checkpoint : entry.tasks[index]!.checkpoint)
    }
  }

  #openSession (life: EndpointIncarnation): EndpointSession | null {
    const { state, port, timers, fencingToken, leaseMaxMs } = this.#options
    const known = this.#sessions.get(life)
    if (known) return known
    const endpoint = state.endpoints.get(life)
    if (!endpoint) return null
    const session = new EndpointSession({ endpoint, port, timers, fencingToken, leaseMaxMs, events: this })
    this.#sessions.set(life, session)
    return session
  }

  #closeStaleSessions (): void {
    for (const [life, session] of this.#sessions) {
      const record = this.#options.state.endpoints.get(life)
      if (record) {
        session.endpoint = record
        continue
      }
      session.close()
      this.#sessions.delete(life)
      this.#seenAtMs.delete(life)
      this.#health.forget(life)
    }
  }

  #remove ({ life, id }: EndpointRecord): void {
    if (this.#isClosed || !this.#options.state.endpoints.get(life)) return
    this.#propose({ type: 'remove-endpoint', life, atMs: this.#options.timers.wallClock() })
      .then(() => this.#options.logger.info('endpoint removed', { endpoint: id, life }))
      .catch((err: unknown) => this.#options.logger.warn('endpoint could not be removed', { endpoint: id, err }))
  }

  async #propose (command: StateCommand): Promise<StateResult> {
    return await this.#options.propose(command, COMMIT_TIMEOUT_MS)
  }

  // Passes

  #tick (): void {
    if (!this.isLeading()) return
    for (const session of this.#sessions.values()) session.tick()
    this.#removeSilentEndpoints()
    this.#planPass()
  }

  #removeSilentEndpoints (): void {
    const { state, timers } = this.#options
    const now = timers.now()
    for (const record of [...state.endpoints.list()]) {
      const seenAtMs = this.#seenAtMs.get(record.life) ?? 0
      if (now - seenAtMs > ENDPOINT_EXPIRY_MS && state.jobs.listRuns(record.life).size === 0) this.#remove(record)
    }
  }

  #planPass (): void {
    if (this.#isPassPlanned || this.#isClosed) return
    this.#isPassPlanned = true
    this.#options.timers.subscribe(this.#passDelayMs, () => {
      this.#isPassPlanned = false
      if (this.isLeading()) this.#runTimedPass()
    })
  }

  /** Long passes are made less often, so that leases and reports get their turn. */
  #runTimedPass (): void {
    const { timers, metrics } = this.#options
    const beganAtMs = timers.now()
    this.#runPass()
    const tookMs = timers.now() - beganAtMs
    metrics.timing('planner.pass', tookMs)
    this.#passDelayMs = Math.max(PASS_DELAY_MS, Math.min(MAX_PASS_DELAY_MS, tookMs * PASS_PAUSE_FACTOR))
  }

  #runPass (): void {
    this.#stopUnwanted()
    if (this.#isProposing) return
    const { state, timers, logger } = this.#options
    const plan = this.#planner.plan({
      state,
      nowMs: timers.now(),
      wallMs: timers.wallClock(),
      fleet: { isUsable: (endpoint) => this.#isUsable(endpoint), getPenalty: ({ life }) => this.#health.getPenalty(life) }
    })
    for (const task of plan.preempted) {
      logger.info('run preempted', { task })
      this.#options.metrics.increment('runs.preempted')
      this.#stopTask(task)
    }
    if (plan.starts.length > 0) this.#commitStarts(plan.starts)
  }

  #commitStarts (groups: readonly StartGroup[]): void {
    this.#isProposing = true
    this.#propose({ type: 'start', groups, atMs: this.#options.timers.wallClock() })
      .catch((err: unknown) => this.#options.logger.warn('starts were not committed', { groups: groups.length, err }))
      .finally(() => {
        this.#isProposing = false
        this.#planPass()
      })
  }

  #isUsable (endpoint: EndpointRecord): boolean {
    if (endpoint.draining || this.#health.isSuspect(endpoint.life)) return false
    if ((this.#sessions.get(endpoint.life)?.failures ?? 0) > 0) return false
    return this.#options.timers.now() - (this.#seenAtMs.get(endpoint.life) ?? -Infinity) < ANNOUNCEMENT_EXPIRY_MS
  }

  /** Stops runs whose job or task is over, and what is left of a gang that lost a member. */
  #stopUnwanted (): void {
    const { state } = this.#options
    const seen = new Set<TaskId>()
    for (const life of state.jobs.listOccupiedEndpoints()) {
      for (const { task } of state.jobs.listRuns(life).values()) {
        const ref = mustParseTaskId(task)
        const job = state.jobs.get(ref.job)!
        if (job.isRunWanted(ref.occurrence, ref.step, ref.index) && !this.#isBrokenGang(job, ref.occurrence, ref.step)) continue
        seen.add(task)
        if (this.#isEndExpected(job, ref.step, task)) continue
        this.#sessions.get(life)?.stop(task)
      }
    }
    for (const task of this.#unwantedSinceMs.keys()) if (!seen.has(task)) this.#unwantedSinceMs.delete(task)
  }

  #isBrokenGang (job: JobEntry, occurrence: number, step: number): boolean {
    const { gang, count } = job.spec.steps[step]!
    return gang && job.getOccurrence(occurrence).steps[step]!.activeTasks < count
  }

  #isEndExpected (job: JobEntry, step: number, task: TaskId): boolean {
    const now = this.#options.timers.now()
    const sinceMs = this.#unwantedSinceMs.get(task) ?? now
    this.#unwantedSinceMs.set(task, sinceMs)
    const hasDoneGang = job.state !== 'cancelled' && job.state !== 'failed' && job.spec.steps[step]!.gang
    return hasDoneGang && now - sinceMs < GANG_END_GRACE_MS
  }

  #stopTask (task: TaskId): void {
    for (const session of this.#sessions.values()) session.stop(task)
  }
}
