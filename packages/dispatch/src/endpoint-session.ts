import { assertNever, IbisError, type TaskId } from '@ibisstair/common'
import type { ActiveRun, EndpointRecord, RunEnd } from '@ibisstair/jobs'
import type { TimerService } from '@ibisstair/timers'
import { CONTACT_VALIDITY_MS, RENEW_TIMEOUT_MARGIN_MS, RETRY_DELAY_MS, START_LEASE_MS } from './constants.ts'
import { EndpointLease } from './endpoint-lease.ts'
import { Handover } from './handover.ts'
import { InterruptiblePause } from './interruptible-pause.ts'
import type { LongPolls } from './long-polls.ts'
import type { ObservedRate } from './run-rate.ts'
import type { EndpointPort, EndpointReport, OrderResult, RenewResult } from './ports.ts'
import { getRenewalPauseMs, getRenewalWaitMs } from './renewal-timing.ts'
import { isConnectionRefused, sendWithRepeat } from './repeated-order.ts'
import { StrayRuns } from './stray-runs.ts'
import { createTrackedRun, mayBeActive, toEnd, type AbsentRun, type RunPhase, type TrackedRun } from './tracked-run.ts'

/** Callbacks of a session to its owner. */
export interface SessionEvents {
  /** Runs have ended. Their reports are acknowledged to the endpoint once the returned promise resolves. */
  handleEnds (endpoint: EndpointRecord, ends: readonly RunEnd[]): Promise<void>
  /** The address belongs to another incarnation: this one has ended with all its runs, and its session sends no more orders. */
  handleReplaced (endpoint: EndpointRecord): void
  /** The endpoint rejected an order because it has seen the fencing token of a newer leader. */
  handleFenced (endpoint: EndpointRecord): void
  handleStartRefused (endpoint: EndpointRecord, task: TaskId, reason: string): void
  /** A run has advanced. */
  handleRate (endpoint: EndpointRecord, task: TaskId, run: number, rate: ObservedRate): void
  /** Whether this process is still the leader and may send orders. */
  isLeading (): boolean
  log (message: string, fields: Readonly<Record<string, unknown>>): void
}

export interface SessionOptions {
  readonly endpoint: EndpointRecord
  readonly port: EndpointPort
  readonly timers: TimerService
  readonly fencingToken: number
  readonly leaseMaxMs: number
  /** Shared by the sessions of a leader. */
  readonly longPolls: LongPolls
  readonly events: SessionEvents
}

/** Leases, orders and reports of one incarnation of an endpoint, during the term of one leader. */
export class EndpointSession {
  readonly #options: SessionOptions
  readonly #runs = new Map<TaskId, TrackedRun>()
  readonly #strayRuns: StrayRuns
  readonly #lease: EndpointLease
  #endpoint: EndpointRecord
  #ackedUpto = 0
  #committedUpto = 0
  #submittedUpto = 0
  #failures = 0
  #silentSinceMs: number | null = null
  /** When the endpoint said that it leaves. */
  #leavingSinceMs: number | null = null
  #hasReported = false
  #isPolling = false
  #pollAgain = false
  readonly #pause: InterruptiblePause
  #isClosed = false
  /** Whether the successor of this incarnation follows a newer leader. */
  #isFenced = false
  /** The call that finds out whether the endpoint answers; null while none is in progress. */
  #contact: Promise<boolean> | null = null
  /** Resolves once the ends of the runs that another incarnation may have taken are committed; null while none is in progress. */
  #handover: Promise<void> | null = null

  constructor (options: SessionOptions) {
    this.#options = options
    this.#endpoint = options.endpoint
    this.#lease = new EndpointLease(options.timers.now(), options.leaseMaxMs)
    this.#pause = new InterruptiblePause(options.timers)
    const { port, fencingToken, events } = options
    this.#strayRuns = new StrayRuns({ port, fencingToken, handleStopped: () => this.poll(), log: (message, fields) => events.log(message, fields) })
  }

  get endpoint (): EndpointRecord {
    return this.#endpoint
  }

  set endpoint (endpoint: EndpointRecord) {
    this.#endpoint = endpoint
  }

  /** Consecutive calls without an answer, and renewals that were refused: the endpoint does not do what it is told. */
  get failures (): number {
    return this.#failures
  }

  /** Time of the first call of those that got no answer since the last answered one; null when the last call was answered. */
  get silentSinceMs (): number | null {
    return this.#silentSinceMs
  }

  /** Whether the endpoint has answered a call during this term. */
  get hasHadContact (): boolean {
    return this.#lease.hasHadContact
  }

  /** Whether the endpoint has confirmed during this term that it carried out the order of a run. */
  isConfirmed (task: TaskId): boolean {
    return this.#runs.get(task)?.isConfirmed ?? false
  }

  /** Returns the state of a run as far as this leader knows it; null for a run that it does not track. */
  getPhase (task: TaskId): RunPhase | null {
    return this.#runs.get(task)?.phase ?? null
  }

  /** Whether the endpoint has reported its runs and the reported ends are committed, or a call to it has failed or was refused. */
  get isSurveyed (): boolean {
    return this.#failures > 0 || (this.#hasReported && this.#submittedUpto <= this.#committedUpto)
  }

  close (): void {
    this.#isClosed = true
    this.#options.port.closeConnections(this.#endpoint)
  }

  /**
   * Another incarnation has taken the endpoint's place, perhaps under its id, so that it may have carried out orders
   * that were meant for this one. Sends no more orders, and commits how each run that no report has listed ended there.
   * Rejects when leadership ends or a commit fails meanwhile; it may then be called again. Once the successor follows a
   * newer leader, it rejects without a call.
   */
  handOver (): Promise<void> {
    this.#isClosed = true
    this.#handover ??= this.#settleUnreported().catch((err: unknown) => {
      if (!this.#isFenced) this.#handover = null
      throw err
    })
    return this.#handover
  }

  /** Takes the clock reading of an announcement, and calls an endpoint that did not answer: it may have come back. */
  handleAnnouncement (clockMs: number, atMs: number): void {
    this.#lease.recordAnnouncement(clockMs, atMs)
    if (this.#failures > 0) this.poll()
  }

  /**
   * The endpoint says that it leaves. It may run on for some time if that message got no answer, so that its runs are
   * stopped; each counts as ended when a report or the end of the lease shows it. A refused connection shows nothing:
   * a partition may refuse connections, too.
   */
  handleLeaving (): void {
    this.#leavingSinceMs ??= this.#options.timers.now()
    this.#stopAll()
    this.poll()
  }

  /** Takes over a run that an earlier leader ordered. */
  adopt (run: ActiveRun): void {
    this.#track(run.task, run.run, 'inherited')
    this.poll()
  }

  /** Whether the endpoint has answered the last call, and that was so short ago that it may be given an order. */
  get hasAnsweredOfLate (): boolean {
    return this.#failures === 0 && this.#lease.hasAnsweredSince(this.#options.timers.now() - CONTACT_VALIDITY_MS)
  }

  /**
   * Returns whether the endpoint answers calls. One that has not answered of late is asked without a lease, so that it
   * can't start or keep any run because of the call.
   */
  async makeContact (): Promise<boolean> {
    if (this.hasAnsweredOfLate) return true
    this.#contact ??= this.#renew(0, false).finally(() => { this.#contact = null })
    return await this.#contact
  }

  /** Orders a run once `mayOrder` resolves to true; otherwise the run ends as one that was not started. */
  start (run: ActiveRun, payload: string, checkpoint: string, mayOrder: Promise<boolean>): void {
    const tracked = this.#track(run.task, run.run, 'starting')
    this.#sendStart(tracked, payload, checkpoint, mayOrder).catch((err: unknown) => this.#options.events.log('start order failed unexpectedly', { task: run.task, err }))
  }

  /** Ends a run that must not be ordered as one that was not started. */
  withhold (run: ActiveRun): void {
    this.#endNotStarted(this.#track(run.task, run.run, 'not-started'))
  }

  /** Stops a run and prevents a late start of it. Idempotent. */
  stop (task: TaskId): void {
    const tracked = this.#runs.get(task)
    if (!tracked || tracked.phase === 'stopping' || !mayBeActive(tracked)) return
    this.#setPhase(tracked, 'stopping')
    this.#sendStop(tracked).catch((err: unknown) => this.#options.events.log('stop order failed unexpectedly', { task, err }))
  }

  /** Stops tracking a run whose end is committed. */
  release (task: TaskId, run: number): void {
    if (this.#runs.get(task)?.run === run) this.#runs.delete(task)
  }

  /**
   * Returns when the endpoint confirmed the start of a run whose end it has reported, once: an end may be reported again.
   * Null when it confirmed the start late, or did not answer meanwhile, so that the time of the end is not known either.
   */
  takeConfirmedAtMs (task: TaskId, run: number): number | null {
    const tracked = this.#runs.get(task)
    if (tracked?.run !== run) return null
    const { confirmedAtMs } = tracked
    tracked.confirmedAtMs = null
    return confirmedAtMs
  }

  /** Returns the estimated time until the run ends by itself; null when its progress is not known. */
  estimateRemainingMs (task: TaskId): number | null {
    return this.#runs.get(task)?.progress.estimateRemainingMs(this.#options.timers.now()) ?? null
  }

  /** Returns the rate of a run that is just reported as done; null if it is not known. */
  getRateAtEnd (task: TaskId, run: number): ObservedRate | null {
    const tracked = this.#runs.get(task)
    return tracked?.run === run ? tracked.rate.getAtEnd(this.#options.timers.now()) : null
  }

  /** Renews the lease and reads a report, at once or after the current call. */
  poll (): void {
    if (this.#isClosed) return
    this.#pollAgain = true
    this.#pause.interrupt()
    if (this.#isPolling) return
    this.#isPolling = true
    this.#pollLoop().catch((err: unknown) => this.#options.events.log('lease renewal failed unexpectedly', { endpoint: this.#endpoint.id, err })).finally(() => { this.#isPolling = false })
  }

  /** Reports runs as lost once their lease has certainly expired on an unreachable endpoint. */
  tick (): void {
    if (this.#isClosed || this.#runs.size === 0) return
    if (this.#leavingSinceMs !== null) this.#stopAll()
    for (const tracked of this.#runs.values()) if (tracked.phase === 'not-started') this.#endNotStarted(tracked)
    this.poll()
    const hasExpired = this.#failures > 0 && this.#options.timers.now() >= this.#lease.getEndMs()
    if (!hasExpired) return
    const ends = [...this.#runs.values()].filter(mayBeActive).map((tracked) => toEnd(tracked, 'lost'))
    if (ends.length === 0) return
    this.#options.events.log('lease of an unreachable endpoint expired; its runs count as lost', { endpoint: this.#endpoint.id, runs: ends.length, failures: this.#failures, isLeaving: this.#leavingSinceMs !== null })
    this.#submit(ends).catch(() => {})
  }

  #stopAll (): void {
    for (const task of [...this.#runs.keys()]) this.stop(task)
  }

  // Orders

  async #sendStart (tracked: TrackedRun, payload: string, checkpoint: string, mayOrder: Promise<boolean>): Promise<void> {
    const { port, fencingToken, events } = this.#options
    const leaseUntilMs = await mayOrder && this.#mayOrder() ? this.#lease.extend(this.#options.timers.now(), START_LEASE_MS) : null
    if (leaseUntilMs === null) return this.#endNotStarted(tracked)
    const order = { task: tracked.task, run: tracked.run, payload, checkpoint, fencingToken, leaseUntilMs }
    const { result, isUncertain } = await sendWithRepeat((timeoutMs) => port.start(this.#endpoint, order, timeoutMs), () => this.#mayRepeatStart(tracked))
    if (this.#isClosed) return
    if (result instanceof IbisError) {
      this.#recordFailure()
      this.#handleUnansweredStart(tracked, result, isUncertain)
    } else if (result.type === 'ok') {
      if (!this.#recordAnswer(result.clockMs)) return
      this.#setPhase(tracked, 'present')
      tracked.confirmedAtMs = this.#options.timers.now()
      tracked.rate.begin(tracked.sinceMs)
    } else if (result.type === 'refused') {
      events.handleStartRefused(this.#endpoint, tracked.task, result.reason)
      if (isUncertain) this.#setPhase(tracked, 'unconfirmed')
      else this.#endNotStarted(tracked)
    } else {
      this.#setPhase(tracked, 'unconfirmed')
      this.#handleRejection(result)
    }
    this.poll()
  }

  /** A run that a report has listed needs no second order, which another incarnation might carry out. */
  #mayRepeatStart (tracked: TrackedRun): boolean {
    return this.#mayOrder() && this.#runs.get(tracked.task) === tracked && tracked.phase === 'starting' && !tracked.isReported
  }

  #mayOrder (): boolean {
    return !this.#isClosed && this.#leavingSinceMs === null && this.#options.events.isLeading()
  }

  #handleUnansweredStart (tracked: TrackedRun, err: IbisError, isUncertain: boolean): void {
    const { task, run } = tracked
    this.#options.events.log('endpoint did not answer a start order', { task, run, endpoint: this.#endpoint.id, detail: err.message })
    // An order that was sent on no connection can't be carried out late.
    if (isConnectionRefused(err) && !isUncertain) this.#endNotStarted(tracked)
    else this.#setPhase(tracked, 'unconfirmed')
  }

  /** The order of the run was not and will not be carried out. A commit that fails is tried again while this process leads. */
  #endNotStarted (tracked: TrackedRun): void {
    if (tracked.isEnding) return
    this.#setPhase(tracked, 'not-started')
    this.#commitEnds([{ tracked, outcome: 'not-started' }])
  }

  /** Commits ends that no report lists. Until that is over, no report leads to the same commit again. */
  #commitEnds (ends: readonly AbsentRun[]): void {
    for (const { tracked } of ends) tracked.isEnding = true
    this.#submit(ends.map(({ tracked, outcome }) => toEnd(tracked, outcome)))
      .catch(() => {})
      .finally(() => { for (const { tracked } of ends) tracked.isEnding = false })
  }

  async #sendStop (tracked: TrackedRun): Promise<void> {
    const { port, fencingToken, events, timers } = this.#options
    while (!this.#isClosed && this.#runs.get(tracked.task) === tracked && !tracked.isStopAcked && events.isLeading()) {
      const order = { task: tracked.task, run: tracked.run, fencingToken }
      const { result } = await sendWithRepeat((timeoutMs) => port.stop(this.#endpoint, order, timeoutMs), () => !this.#isClosed && events.isLeading())
      if (this.#isClosed) return
      if (result instanceof IbisError) {
        this.#recordFailure()
        await timers.delay(RETRY_DELAY_MS)
      } else if (result.type === 'ok') {
        if (!this.#recordAnswer(result.clockMs)) return
        tracked.isStopAcked = true
        tracked.sinceMs = timers.now()
      } else if (result.type === 'refused') {
        await timers.delay(RETRY_DELAY_MS)
      } else {
        return this.#handleRejection(result)
      }
    }
    // The loop was interrupted by a loss of the quorum: the next report decides whether the run is stopped again.
    if (!tracked.isStopAcked) this.#setPhase(tracked, 'unconfirmed')
    this.poll()
  }

  #handleRejection (result: Extract<OrderResult | RenewResult, { type: 'fenced' | 'wrong-incarnation' }>): void {
    const { events } = this.#options
    this.#isClosed = true
    if (result.type === 'fenced') events.handleFenced(this.#endpoint)
    else this.#handleReplaced()
  }

  #handleReplaced (): void {
    this.#isClosed = true
    this.#options.events.handleReplaced(this.#endpoint)
  }

  async #settleUnreported (): Promise<void> {
    const { port, timers, fencingToken, leaseMaxMs, events } = this.#options
    const unreported = [...this.#runs.values()].filter(({ isReported }) => !isReported)
    const handover = new Handover({
      endpoint: this.#endpoint,
      port,
      timers,
      fencingToken,
      leaseMaxMs,
      isLeading: () => events.isLeading(),
      log: (message, fields) => events.log(message, fields)
    }, unreported)
    const ends = await handover.settle().finally(() => { this.#isFenced = handover.isFenced })
    if (ends.length > 0) await events.handleEnds(this.#endpoint, ends)
  }

  // Renewals and reports

  async #pollLoop (): Promise<void> {
    const { events, timers, longPolls } = this.#options
    while (!this.#isClosed && events.isLeading() && (this.#pollAgain || this.#needsPoll())) {
      this.#pollAgain = false
      const wantedMs = this.#getWaitMs()
      let mayWait = true
      const answered = await longPolls.run(wantedMs, (waitMs) => {
        mayWait = waitMs === wantedMs
        return this.#renew(waitMs, true)
      })
      if (answered) await this.#pauseUnlessPolled(this.#getPauseMs(mayWait))
      else await timers.delay(RETRY_DELAY_MS)
    }
  }

  /** Returns how long the endpoint may hold back its answer until a run ends. */
  #getWaitMs (): number {
    if (this.#failures > 0 || this.#runs.size === 0 || this.#ackedUpto < this.#committedUpto) return 0
    return getRenewalWaitMs(this.#listPhases())
  }

  #getPauseMs (mayWait: boolean): number {
    const awaitsCommit = this.#submittedUpto > this.#committedUpto || [...this.#runs.values()].some(({ isEnding }) => isEnding)
    return getRenewalPauseMs({ phases: this.#listPhases(), awaitsCommit, mayWait })
  }

  #listPhases (): ReadonlySet<RunPhase> {
    return new Set([...this.#runs.values()].map(({ phase }) => phase))
  }

  async #pauseUnlessPolled (ms: number): Promise<void> {
    if (ms > 0 && !this.#pollAgain) await this.#pause.wait(ms)
  }

  #needsPoll (): boolean {
    return this.#runs.size > 0 || this.#ackedUpto < this.#committedUpto
  }

  /**
   * Returns 0 unless there is something to acknowledge and the endpoint has answered the last call: one that has
   * restarted under the same id numbers its ends anew, and must not take this number for its own.
   */
  #getNumberToAcknowledge (): number {
    return this.#failures > 0 || this.#ackedUpto >= this.#committedUpto ? 0 : this.#committedUpto
  }

  /** Returns whether the endpoint answered. */
  async #renew (waitMs: number, mayExtend: boolean): Promise<boolean> {
    const { port, fencingToken, timers } = this.#options
    // The lease of an unreachable or leaving endpoint is not extended, so that its end stays certain.
    const leaseUntilMs = mayExtend && this.#failures === 0 && this.#leavingSinceMs === null && this.#runs.size > 0 ? this.#lease.extend(timers.now()) : null
    // A call that only makes contact acknowledges nothing: another life may have taken the place meanwhile.
    const ackedUpto = mayExtend ? this.#getNumberToAcknowledge() : 0
    const sentAtMs = timers.now()
    const result = await port.renew(this.#endpoint, { fencingToken, ackedUpto, leaseUntilMs, waitMs }, waitMs + RENEW_TIMEOUT_MARGIN_MS).catch(IbisError.from)
    if (this.#isClosed) return true
    if (result instanceof IbisError) {
      this.#recordFailure()
      if (this.#failures === 1) this.#options.events.log('endpoint does not answer', { endpoint: this.#endpoint.id, address: this.#endpoint.address, runs: this.#runs.size, detail: result.message })
      return false
    }
    if (result.type === 'refused') {
      this.#failures += 1
      this.#forgetConfirmations()
      if (this.#failures === 1) this.#options.events.log('endpoint refuses a renewal', { endpoint: this.#endpoint.id, address: this.#endpoint.address, runs: this.#runs.size, reason: result.reason })
      return false
    }
    if (result.type !== 'report') {
      this.#handleRejection(result)
      return true
    }
    if (this.#failures > 0) this.#pollAgain = true
    this.#recordContact(result.report.clockMs)
    this.#ackedUpto = Math.max(this.#ackedUpto, ackedUpto)
    this.#handleReport(result.report, sentAtMs)
    this.#hasReported = true
    return true
  }

  #handleReport (report: EndpointReport, requestedAtMs: number): void {
    const newEnds = report.ended.filter(({ number }) => number > this.#submittedUpto)
    const ends: RunEnd[] = newEnds.map(({ task, run, outcome, checkpoint }) => ({ task, run, outcome, checkpoint }))
    const absent: AbsentRun[] = []
    const reportedEnds = new Set(report.ended.map(({ task, run }) => `${task}#${run}`))
    const running = new Map(report.running.map((run) => [run.task, run] as const))
    for (const tracked of this.#runs.values()) {
      const isEnded = reportedEnds.has(`${tracked.task}#${tracked.run}`)
      if (isEnded || tracked.isEnding) continue
      const reported = running.get(tracked.task)
      if (reported?.run === tracked.run) this.#confirmRun(tracked, reported.percent)
      else if (!report.hasMore && tracked.sinceMs < requestedAtMs) absent.push(...this.#handleAbsent(tracked))
    }
    for (const { task, run } of report.running) if ((this.#runs.get(task)?.run ?? -1) < run) this.#strayRuns.stop(this.#endpoint, task, run)
    const upto = newEnds.reduce((max, { number }) => Math.max(max, number), this.#submittedUpto)
    if (ends.length > 0) this.#submit(ends, upto).catch(() => {})
    if (absent.length > 0) this.#commitEnds(absent)
  }

  #confirmRun (tracked: TrackedRun, percent: number): void {
    tracked.isReported = true
    const { events, timers } = this.#options
    tracked.progress.record(percent, timers.now())
    const rate = tracked.rate.record(percent, timers.now()) ? tracked.rate.get() : null
    if (rate) events.handleRate(this.#endpoint, tracked.task, tracked.run, rate)
    if (tracked.phase === 'inherited' || tracked.phase === 'unconfirmed') this.#setPhase(tracked, 'present')
  }

  /** Handles a run that the report lists neither as running nor as ended; returns it if that tells how it ended. */
  #handleAbsent (tracked: TrackedRun): AbsentRun[] {
    switch (tracked.phase) {
      case 'starting':
      case 'not-started': return []
      // The endpoint has seen this leader's fencing token and rejects late orders of the earlier leader.
      case 'inherited': return [{ tracked, outcome: 'not-started' }]
      case 'unconfirmed': {
        this.stop(tracked.task)
        return []
      }
      case 'stopping': return tracked.isStopAcked ? [{ tracked, outcome: 'not-started' }] : []
      case 'present': {
        this.#options.events.log('run is missing from the report of its endpoint; it counts as lost', { task: tracked.task, run: tracked.run, endpoint: this.#endpoint.id })
        return [{ tracked, outcome: 'lost' }]
      }
      default: return assertNever(tracked.phase)
    }
  }

  async #submit (ends: readonly RunEnd[], upto?: number): Promise<void> {
    if (upto !== undefined) this.#submittedUpto = upto
    try {
      await this.#options.events.handleEnds(this.#endpoint, ends)
      if (upto !== undefined) this.#committedUpto = Math.max(this.#committedUpto, upto)
      this.poll()
    } catch (err) {
      // The endpoint lists unacknowledged ends again in its next report.
      if (upto !== undefined) this.#submittedUpto = this.#committedUpto
      throw err
    }
  }

  // Contact

  #recordFailure (): void {
    this.#failures += 1
    this.#forgetConfirmations()
    this.#silentSinceMs ??= this.#options.timers.now()
  }

  /** The ends of the present runs may be reported late. */
  #forgetConfirmations (): void {
    for (const tracked of this.#runs.values()) tracked.confirmedAtMs = null
  }

  /**
   * Takes the clock reading of an answer to an order. Returns false if its clock shows that another incarnation has
   * answered. Only a report proves that the endpoint is the same after calls have failed.
   */
  #recordAnswer (clockMs: number): boolean {
    if (this.#lease.isOfOtherIncarnation(clockMs)) {
      this.#handleReplaced()
      return false
    }
    if (this.#failures === 0) this.#recordContact(clockMs)
    return true
  }

  #recordContact (clockMs: number): void {
    // Reports that a silent endpoint held back say when they arrived, not when the runs advanced.
    if (this.#failures > 0) for (const { rate } of this.#runs.values()) rate.discard()
    this.#failures = 0
    this.#silentSinceMs = null
    this.#lease.recordAnswer(clockMs, this.#options.timers.now())
  }

  // Tracking

  #track (task: TaskId, run: number, phase: RunPhase): TrackedRun {
    const tracked = createTrackedRun(task, run, phase, this.#options.timers.now())
    this.#runs.set(task, tracked)
    return tracked
  }

  #setPhase (tracked: TrackedRun, phase: RunPhase): void {
    if (phase === 'present') tracked.isConfirmed = true
    tracked.phase = phase
    tracked.sinceMs = this.#options.timers.now()
  }
}
