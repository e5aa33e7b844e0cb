import type { TaskId } from '@ibisstair/common'
import type { SharedRunTimes } from '@ibisstair/estimation'
import type { EndedIncarnation, EndpointIncarnation, EndpointRecord, IncarnationEnd, RunEnd, SchedulingState, Silence, StartGroup, StateCommand, StateResult } from '@ibisstair/jobs'
import { SpeedEstimator, type SpeedSnapshot } from '@ibisstair/estimation'
import type { Logger, Metrics } from '@ibisstair/telemetry'
import type { TimerService, Unsubscribe } from '@ibisstair/timers'
import { Announcements } from './announcements.ts'
import { BARRIER_RETRY_DELAY_MS, COMMIT_TIMEOUT_MS, FAILED_PASS_DELAY_MS, MAX_PASS_DELAY_MS, MAX_SURVEY_MS, PASS_DELAY_MS, PASS_PAUSE_FACTOR, SESSION_TICK_MS } from './constants.ts'
import { DrainedDomains } from './drained-domains.ts'
import { EndpointHealth } from './endpoint-health.ts'
import { EndpointRegistrar } from './endpoint-registrar.ts'
import { EndpointSession, type SessionEvents } from './endpoint-session.ts'
import { EndpointUse } from './endpoint-use.ts'
import { LearnedHistory } from './learned-history.ts'
import { isNoticeOf, type LeaveNotice } from './leave-notice.ts'
import { LeavingEndpoints } from './leaving-endpoints.ts'
import { PendingRecords } from './pending-records.ts'
import { LongPolls } from './long-polls.ts'
import { ObservedFleet } from './observed-fleet.ts'
import type { Plan, SchedulingPolicy, WorkHistory } from './plan-types.ts'
import { Planner, type PlannerOptions } from './planner.ts'
import { describeSilence } from './silence.ts'
import { StartOrders } from './start-orders.ts'
import type { EndpointPort } from './ports.ts'
import { ReplacedEndpoints } from './replaced-endpoints.ts'
import type { ObservedRate } from './run-rate.ts'
import { RunSpeeds } from './run-speeds.ts'
import { UnsettledRuns, type RunStatus } from './unsettled-runs.ts'
import { UnwantedRuns } from './unwanted-runs.ts'
import { WaitingReport } from './waiting-report.ts'

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
  /** Time by `timers.now()` until which earlier leaders took announcements; -Infinity if it is not known. */
  readonly announcedUntilMs: number
  /** Every rule is off by default. */
  readonly policy?: SchedulingPolicy
  /** Run times that an earlier leader has learned; none by default. */
  readonly runTimes?: readonly SharedRunTimes[]
  readonly planner?: PlannerOptions
  /** With the speeds that an earlier leader has learned. */
  readonly speedEstimator?: SpeedEstimator
}

/**
 * Runs the schedule during one term of leadership: plans starts, sends orders to endpoints
 * and commits their reports to the log. Everything that must survive the term is in the replicated state.
 */
export class Dispatcher implements SessionEvents {
  readonly #options: DispatcherOptions
  readonly #planner: Planner
  readonly #health: EndpointHealth
  readonly #history: LearnedHistory
  readonly #sessions = new Map<EndpointIncarnation, EndpointSession>()
  readonly #announcements: Announcements
  readonly #pendingRecords = new PendingRecords()
  readonly #runSpeeds: RunSpeeds
  readonly #registrar: EndpointRegistrar
  readonly #startOrders: StartOrders
  readonly #longPolls = new LongPolls()
  readonly #unwantedRuns: UnwantedRuns
  readonly #leaving: LeavingEndpoints
  readonly #replaced: ReplacedEndpoints
  readonly #fleet: ObservedFleet
  readonly #endpointUse: EndpointUse
  readonly #drainedDomains: DrainedDomains
  readonly #waitingReport: WaitingReport
  readonly #unsettledRuns: UnsettledRuns
  readonly #unsubscribes: Unsubscribe[] = []
  /** Sessions with runs of earlier leaders whose first report is awaited. */
  #unsurveyed: readonly EndpointSession[] = []
  #surveyUntilMs = 0
  #isPassScheduled = false
  #passDelayMs = PASS_DELAY_MS
  /** Time that the report on waiting work took in the present pass. */
  #reportMs = 0
  #isProposing = false
  #isClosed = false

  constructor (options: DispatcherOptions) {
    this.#options = options
    this.#planner = new Planner(options.planner)
    this.#health = new EndpointHealth(options.timers)
    this.#history = new LearnedHistory({ state: options.state, logger: options.logger, metrics: options.metrics, getSpeed: (endpoint) => this.#runSpeeds.getSpeed(endpoint), ...(options.runTimes && { runTimes: options.runTimes }) })
    this.#announcements = new Announcements(options.timers.now(), options.announcedUntilMs)
    const { state, timers, metrics, speedEstimator: estimator = new SpeedEstimator() } = options
    this.#runSpeeds = new RunSpeeds({ state, timers, metrics, estimator, isCold: ({ life }) => this.#announcements.isCold(life, timers.now()) })
    this.#startOrders = new StartOrders({
      state: options.state,
      timers: options.timers,
      logger: options.logger,
      metrics: options.metrics,
      pendingRecords: this.#pendingRecords,
      openSession: (life) => this.#openSession(life),
      getSpeed: (endpoint) => this.#runSpeeds.getSpeed(endpoint),
      history: this.#history,
      handleAnswer: () => this.#schedulePass()
    })
    this.#unwantedRuns = new UnwantedRuns(options.state)
    this.#unsettledRuns = new UnsettledRuns(options.logger, options.metrics)
    this.#leaving = new LeavingEndpoints(state, timers)
    this.#replaced = new ReplacedEndpoints({
      timers: options.timers,
      isRegistered: (life) => options.state.endpoints.get(life) !== undefined,
      remove: (life) => this.#removeReplaced(life),
      log: (message, fields) => options.logger.warn(message, fields)
    })
    this.#registrar = new EndpointRegistrar({
      state: options.state,
      timers: options.timers,
      logger: options.logger,
      metrics: options.metrics,
      announcements: this.#announcements,
      pendingRecords: this.#pendingRecords,
      propose: (command) => this.#propose(command),
      handOver: async (life) => { await this.#sessions.get(life)?.handOver() },
      describeSilence: (life) => this.#describeSilence(life),
      removeReplaced: (life) => this.#replaced.add(life),
      handleAnnounced: (life, clockMs, atMs) => this.#sessions.get(life)?.handleAnnouncement(clockMs, atMs)
    })
    this.#fleet = new ObservedFleet({
      state: options.state,
      timers: options.timers,
      health: this.#health,
      announcements: this.#announcements,
      replaced: this.#replaced,
      speeds: this.#runSpeeds,
      getSession: (life) => this.#sessions.get(life),
      isLeaving: (life) => this.#leaving.has(life)
    })
    this.#endpointUse = new EndpointUse(options.logger, options.metrics)
    this.#drainedDomains = new DrainedDomains({
      state: options.state,
      timers: options.timers,
      logger: options.logger,
      metrics: options.metrics,
      isUsable: (endpoint) => this.#fleet.isUsable(endpoint),
      getSession: (life) => this.#sessions.get(life)
    })
    this.#waitingReport = new WaitingReport(options.logger, options.metrics, {
      listEndpoints: () => options.state.endpoints.list(),
      getOutOfUse: (endpoint) => this.#fleet.getOutOfUse(endpoint),
      isConfirmed: (run) => this.#fleet.isConfirmed(run),
      isOnSilentEndpoint: ({ endpoint }) => (this.#sessions.get(endpoint)?.failures ?? 0) > 0
    })
  }

  start (): void {
    const { state, timers } = this.#options
    const now = timers.now()
    for (const incarnation of [...state.jobs.listOccupiedEndpoints()]) {
      const session = this.#openSession(incarnation)
      for (const run of state.jobs.listRuns(incarnation).values()) session?.adopt(run)
    }
    this.#unsurveyed = [...this.#sessions.values()]
    this.#surveyUntilMs = now + MAX_SURVEY_MS
    this.#unsubscribes.push(state.onApplied((command, result) => this.#handleApplied(command, result)))
    this.#unsubscribes.push(timers.every(SESSION_TICK_MS, () => this.#tick()))
    this.#schedulePass()
  }

  close (): void {
    this.#isClosed = true
    for (const unsubscribe of this.#unsubscribes) unsubscribe()
    for (const session of this.#sessions.values()) session.close()
    this.#leaving.close()
    this.#endpointUse.close()
    this.#drainedDomains.close()
    this.#history.close()
    this.#runSpeeds.close()
    this.#waitingReport.close()
    this.#unsettledRuns.close()
  }

  /** What this leader has learned of work. */
  get history (): WorkHistory {
    return this.#history
  }

  /** Returns the run times that this leader has learned, for its successors. */
  getRunTimes (): readonly SharedRunTimes[] {
    return this.#history.getRunTimes()
  }

  /** Handles the announcement of an endpoint. Resolves once a changed record is committed. */
  async announce (record: EndpointRecord, clockMs: number, coldLeftMs = 0): Promise<void> {
    await this.#registrar.announce(record, clockMs, coldLeftMs)
  }

  /**
   * Handles the message that an endpoint shuts down: stops its runs, and removes it once none is active there. Resolves
   * when the message may be answered. An endpoint whose message got no answer may still run for some seconds. The
   * message may arrive late, after another incarnation has registered under the id; the runs of an endpoint whose
   * message is ignored end with their lease.
   */
  async leave (notice: LeaveNotice): Promise<void> {
    const { state, timers, logger, metrics } = this.#options
    const { endpointId: id } = notice
    const record = [...state.endpoints.list()].find((endpoint) => endpoint.id === id)
    if (!record) return
    const { life } = record
    if (!isNoticeOf(notice, record)) return logger.info('message that an endpoint leaves is not of its present incarnation; ignored', { ...notice, life, draining: record.draining })
    const beganAtMs = timers.now()
    logger.info('endpoint leaves', { endpoint: id, life, runs: state.jobs.listRuns(life).size })
    this.#leaving.add(life)
    this.#sessions.get(life)?.handleLeaving()
    await this.#leaving.waitForRuns(life)
    metrics.timing('endpoints.leave', timers.now() - beganAtMs)
    logger.info('endpoint may end', { endpoint: id, life, activeRuns: state.jobs.listRuns(life).size, waitedMs: Math.round(timers.now() - beganAtMs) })
  }

  /** Returns a copy of the speeds that this leader has learned. */
  getSpeeds (): SpeedSnapshot {
    return this.#runSpeeds.toSnapshot()
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
    for (const end of ends) {
      const { task, run, outcome } = end
      logger.info('run ended', { task, run, outcome, endpoint: endpoint.id })
      metrics.increment(`runs.${outcome}`)
      this.#health.recordEnd(endpoint.life, task, outcome)
      const startedAtMs = this.#sessions.get(endpoint.life)?.takeConfirmedAtMs(task, run) ?? null
      this.#history.recordEnd(endpoint, end, { startedAtMs, endedAtMs: timers.now() })
      const rate = outcome === 'done' ? this.#sessions.get(endpoint.life)?.getRateAtEnd(task, run) : null
      if (rate) this.#runSpeeds.recordEnd(endpoint, task, run, rate)
    }
    const silence = ends.some(({ outcome }) => outcome === 'lost') ? this.#describeSilence(endpoint.life) : null
    await this.#propose({ type: 'end', endpoint: endpoint.life, ends, atMs: timers.wallClock(), ...(silence && { silence }) })
  }

  handleRate (endpoint: EndpointRecord, task: TaskId, run: number, rate: ObservedRate): void {
    this.#runSpeeds.recordRate(endpoint, task, run, rate)
  }

  handleReplaced (endpoint: EndpointRecord): void {
    this.#options.logger.warn('another incarnation answers at the endpoint\'s address; removing the endpoint', { endpoint: endpoint.id, life: endpoint.life })
    this.#replaced.add(endpoint.life)
  }

  handleFenced (endpoint: EndpointRecord): void {
    this.#options.logger.warn('endpoint follows a newer leader; closing its session', { endpoint: endpoint.id, fence: this.#options.fencingToken })
  }

  handleStartRefused (endpoint: EndpointRecord, task: TaskId, reason: string): void {
    this.#options.logger.warn('endpoint refused to start a run', { task, endpoint: endpoint.id, reason })
    this.#options.metrics.increment(`starts.refused.${reason}`)
    this.#health.recordRefusal(endpoint.life)
  }

  // State

  #handleApplied (command: StateCommand, result: StateResult): void {
    if (this.#isClosed) return
    this.#drainedDomains.handleApplied(command, result)
    if (result.type === 'started') for (const group of result.groups) this.#startOrders.send(group)
    if (command.type === 'end') for (const { task, run } of command.ends) this.#sessions.get(command.endpoint)?.release(task, run)
    if (command.type === 'register-endpoint') this.#pendingRecords.handleApplied(command.endpoint)
    if (result.type === 'registered') for (const ended of result.replaced) this.#reportEnded(ended)
    if (result.type === 'removed' && result.ended) this.#reportEnded(result.ended)
    if (command.type === 'register-endpoint' || command.type === 'remove-endpoint') this.#closeStaleSessions()
    this.#leaving.handleApplied()
    this.#schedulePass()
  }

  /** Logs an incarnation that is gone for good, each run that went with it, and each job that is given up for it. */
  #reportEnded ({ endpoint, hasCrashed, lostRuns, givenUp }: EndedIncarnation): void {
    const { logger, metrics } = this.#options
    const session = this.#sessions.get(endpoint.life)
    metrics.increment(hasCrashed ? 'endpoints.crashed' : 'endpoints.ended')
    logger.info(hasCrashed ? 'endpoint crashed' : 'endpoint ended', { endpoint: endpoint.id, life: endpoint.life, address: endpoint.address, draining: endpoint.draining, runs: lostRuns.length })
    for (const { task, run, ranMs, blame } of lostRuns) {
      metrics.increment('runs.lost-with-endpoint')
      if (blame) metrics.increment(`crashes.blame.${blame}`)
      logger.info('run lost with its endpoint', { task, run, endpoint: endpoint.id, ranMs, isConfirmed: session?.isConfirmed(task) ?? false, runsBeside: lostRuns.length - 1, blame })
    }
    for (const { job, task, crashes } of givenUp) {
      metrics.increment('jobs.given-up')
      logger.warn('job given up because its task crashes endpoints', { job, task, crashes: crashes.map(({ address, run, ranMs, blame }) => `run ${run} on ${address} after ${ranMs ?? '?'} ms: ${blame}`) })
    }
  }

  #openSession (incarnation: EndpointIncarnation): EndpointSession | null {
    const { state, port, timers, fencingToken, leaseMaxMs } = this.#options
    const known = this.#sessions.get(incarnation)
    if (known) return known
    const endpoint = state.endpoints.get(incarnation)
    if (!endpoint) return null
    const session = new EndpointSession({ endpoint, port, timers, fencingToken, leaseMaxMs, longPolls: this.#longPolls, events: this })
    this.#sessions.set(incarnation, session)
    if (this.#leaving.has(incarnation)) session.handleLeaving()
    return session
  }

  #closeStaleSessions (): void {
    for (const [incarnation, session] of this.#sessions) {
      const record = this.#options.state.endpoints.get(incarnation)
      if (record) {
        session.endpoint = record
        continue
      }
      session.close()
      this.#sessions.delete(incarnation)
      this.#announcements.remove(incarnation)
      this.#health.remove(incarnation)
      this.#history.removeEndpoint(incarnation)
    }
  }

  /** Resolves once its runs are handed over and the attempt to remove it is over. */
  async #removeReplaced (life: EndpointIncarnation): Promise<void> {
    await this.#sessions.get(life)?.handOver()
    const record = this.#options.state.endpoints.get(life)
    if (record) await this.#remove(record, 'replaced')
  }

  /** `cause` is null for an endpoint that is only silent and may announce itself again. Logs a failure. */
  async #remove ({ life: incarnation, id }: EndpointRecord, cause: IncarnationEnd | null): Promise<void> {
    if (this.#isClosed || !this.#options.state.endpoints.get(incarnation)) return
    const silence = this.#describeSilence(incarnation)
    await this.#propose({ type: 'remove-endpoint', life: incarnation, atMs: this.#options.timers.wallClock(), hasEnded: cause !== null, ...(cause && { cause }), ...(silence && { silence }) })
      .then(() => this.#options.logger.info('endpoint removed', { endpoint: id, life: incarnation, cause: cause ?? 'silent' }))
      .catch((err: unknown) => this.#options.logger.warn('endpoint removal failed', { endpoint: id, err }))
  }

  #describeSilence (incarnation: EndpointIncarnation): Silence | null {
    return describeSilence(this.#sessions, incarnation, this.#options.timers)
  }

  async #propose (command: StateCommand): Promise<StateResult> {
    return await this.#options.propose(command, COMMIT_TIMEOUT_MS)
  }

  // Passes

  #tick (): void {
    if (!this.isLeading()) return
    for (const session of this.#sessions.values()) session.tick()
    this.#removeSilentEndpoints()
    for (const record of this.#leaving.listRemovable()) this.#remove(record, 'left')
    this.#replaced.retryDue()
    this.#endpointUse.observe([...this.#options.state.endpoints.list()], (endpoint) => this.#fleet.getOutOfUse(endpoint))
    this.#drainedDomains.observe()
    if (!this.#isProposing) this.#drainedDomains.moveRuns()
    this.#history.report()
    this.#runSpeeds.measure()
    this.#unsettledRuns.observe(() => this.#listRunStatus(), this.#options.timers.now())
    this.#schedulePass()
  }

  * #listRunStatus (): Iterable<RunStatus> {
    const { state, timers } = this.#options
    for (const incarnation of state.jobs.listOccupiedEndpoints()) {
      const session = this.#sessions.get(incarnation)
      for (const run of state.jobs.listRuns(incarnation).values()) {
        const cause = this.#unwantedRuns.has(run.task) ? 'awaits-end' : session?.isConfirmed(run.task) ? null : 'unconfirmed'
        const describe = (): Readonly<Record<string, unknown>> => {
          const silentSinceMs = session?.silentSinceMs ?? null
          return { endpoint: incarnation, phase: session?.getPhase(run.task) ?? null, failures: session?.failures ?? null, silentMs: silentSinceMs === null ? null : Math.round(timers.now() - silentSinceMs) }
        }
        yield { run, cause, describe }
      }
    }
  }

  #removeSilentEndpoints (): void {
    const { state, timers } = this.#options
    const now = timers.now()
    for (const record of [...state.endpoints.list()]) {
      if (this.#announcements.isExpired(record.life, now) && state.jobs.listRuns(record.life).size === 0) this.#remove(record, null)
    }
  }

  #schedulePass (): void {
    if (this.#isPassScheduled || this.#isClosed) return
    this.#isPassScheduled = true
    this.#options.timers.subscribe(this.#passDelayMs, () => {
      this.#isPassScheduled = false
      if (this.isLeading()) this.#runTimedPass()
    })
  }

  /** Runs a pass and delays the next one in proportion to its duration, so that leases and reports are handled in between. */
  #runTimedPass (): void {
    const { timers, metrics } = this.#options
    const beganAtMs = timers.now()
    this.#reportMs = 0
    try {
      this.#runPass()
    } catch (err) {
      return this.#handleFailedPass(err)
    }
    // The time of reports has no influence on the time of the next pass.
    const tookMs = timers.now() - beganAtMs - this.#reportMs
    metrics.timing('planner.pass', tookMs)
    this.#passDelayMs = Math.max(PASS_DELAY_MS, Math.min(MAX_PASS_DELAY_MS, tookMs * PASS_PAUSE_FACTOR))
  }

  /**
   * A pass depends on the replicated state: an error that ended this process would end each later leader, too.
   * Runs in progress are still served meanwhile.
   */
  #handleFailedPass (err: unknown): void {
    this.#options.metrics.increment('planner.failures')
    this.#options.logger.error('planning pass failed; no work starts until one succeeds', { err, stack: err instanceof Error ? err.stack : null })
    this.#passDelayMs = FAILED_PASS_DELAY_MS
  }

  #runPass (): void {
    for (const { task, endpoint } of this.#unwantedRuns.listDue(this.#options.timers.now())) this.#sessions.get(endpoint)?.stop(task)
    if (this.#isProposing) return this.#options.metrics.increment('planner.awaits-commit')
    const { state, timers, logger, policy } = this.#options
    const plan = this.#planner.plan({
      state,
      nowMs: timers.now(),
      wallMs: timers.wallClock(),
      mayPreempt: this.#isSurveyDone(),
      ...(policy && { policy }),
      history: this.#history,
      fleet: this.#fleet
    })
    for (const task of plan.preempted) {
      logger.info('run preempted', { task })
      this.#options.metrics.increment('runs.preempted')
      this.#stopTask(task)
    }
    this.#countLosses(plan)
    this.#reportWaiting(plan)
    const starts = this.#startOrders.selectAnswering(plan.starts)
    if (starts.length > 0) this.#commitStarts(starts)
  }

  #countLosses ({ limited, lostCoreMs }: Plan): void {
    if (limited > 0) this.#options.metrics.increment('preemptions.limited', limited)
    if (lostCoreMs > 0) this.#options.metrics.increment('preemptions.lost-core-s', Math.round(lostCoreMs / 1_000))
  }

  /** An error in what is only reported must not keep work from starting. */
  #reportWaiting (plan: Plan): void {
    const { timers, logger, metrics } = this.#options
    const beganAtMs = timers.now()
    try {
      const survey = plan.examineWaiting()
      if (!survey) return
      this.#waitingReport.write(survey)
      metrics.timing('work.report', timers.now() - beganAtMs)
    } catch (err) {
      metrics.increment('work.report-failures')
      logger.warn('report on waiting work failed', { err })
    } finally {
      this.#reportMs = timers.now() - beganAtMs
    }
  }

  /** Whether the endpoints have reported which runs ended while no leader received reports. */
  #isSurveyDone (): boolean {
    if (this.#unsurveyed.length === 0) return true
    const isOver = this.#options.timers.now() >= this.#surveyUntilMs
    this.#unsurveyed = isOver ? [] : this.#unsurveyed.filter(({ isSurveyed }) => !isSurveyed)
    return this.#unsurveyed.length === 0
  }

  #commitStarts (groups: readonly StartGroup[]): void {
    const { timers, logger, metrics } = this.#options
    const proposedAtMs = timers.now()
    this.#isProposing = true
    this.#propose({ type: 'start', groups, atMs: timers.wallClock() })
      .finally(() => metrics.timing('starts.commit', timers.now() - proposedAtMs))
      .catch((err: unknown) => {
        metrics.increment('starts.uncommitted', groups.length)
        logger.warn('starts were not committed in time; planning again once their outcome is known', { groups: groups.length, err })
        return this.#awaitEarlierProposals()
      })
      .finally(() => {
        this.#isProposing = false
        this.#schedulePass()
      })
  }

  /**
   * Resolves once every earlier proposal of this term is applied or will never be: commands are applied in the order of
   * the log, so that those before an applied barrier are applied, too. A proposal that has failed may still be committed.
   */
  async #awaitEarlierProposals (): Promise<void> {
    while (!this.#isClosed) {
      try {
        await this.#propose({ type: 'barrier' })
        return
      } catch {
        await this.#options.timers.delay(BARRIER_RETRY_DELAY_MS)
      }
    }
  }

  #stopTask (task: TaskId): void {
    for (const session of this.#sessions.values()) session.stop(task)
  }
}
