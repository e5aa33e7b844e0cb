import { asId, assertNever, IbisError, type CustomerId, type DomainId, type EndpointId, type JobId, type RequestKey, type TaskId } from '@ibisstair/common'
import type { FinishedTask } from '@ibisstair/endpoint-client'
import type { TaskView } from '@ibisstair/endpoint-tasks'
import { Gang, type GangEffect, type GangResult, type GangSpec } from '@ibisstair/gang'
import type { EndpointChange, EndpointDirectory } from '@ibisstair/membership'
import { fingerprintRequest, getDomainShare, toMetadata, type Assignment, type Config, type EndpointInfo, type JobOutcome, type JobRequest, type JobStatus } from '@ibisstair/model'
import type { JobCommand, JobRecord, JobRegister, JobResult } from '@ibisstair/registers'
import type { Decision, DomainScheduler, Explanation } from '@ibisstair/scheduler'
import type { Logger, Metrics } from '@ibisstair/telemetry'
import type { TimerService, Unsubscribe } from '@ibisstair/timers'
import { match } from 'ts-pattern'
import { groupIntoGangs, type FoundGang, type FoundTask } from './adoption.ts'
import {
  ADOPTION_TIMEOUT_MS, CHECKPOINT_GRACE_MS, ENDPOINT_CALL_TIMEOUT_MS, LEASE_TTL_MS, RENEW_PERIOD_MS, RESERVATION_TTL_MS,
  RESOLVE_PERIOD_MS, SCHEDULER_TICK_MS
} from './constants.ts'
import { GangRunner } from './gang-runner.ts'
import { isNotRun, JobEntry, JobTable, toErrorBody, toFailure } from './jobs.ts'
import { EndpointLink } from './link.ts'
import { mayRunAgain, toFinishResult, toOutcome, toRecordStatus, toTaskReports } from './outcomes.ts'
import { JobRecorder } from './records.ts'

export interface SessionOptions {
  readonly domain: DomainId
  /** Unique to this session; prefix of the ids of its jobs. */
  readonly sessionId: string
  readonly timers: TimerService
  readonly metrics: Metrics
  readonly logger: Logger
  readonly scheduler: DomainScheduler
  readonly directory: EndpointDirectory
  readonly register: JobRegister
  /** Null in degraded mode: without a quorum no non-idempotent work is started. */
  readonly propose: ((command: JobCommand) => Promise<JobResult>) | null
}

/**
 * Schedules a failure domain for as long as this process leads it: adopts running gangs, admits
 * requests, places gangs, renews their leases and keeps their outcomes. Each leadership has its own session.
 */
export class DomainSession {
  readonly #options: SessionOptions
  readonly #timers: TimerService
  readonly #jobs: JobTable
  readonly #recorder: JobRecorder
  readonly #gangs: GangRunner
  readonly #links = new Map<EndpointId, EndpointLink>()
  readonly #unsubscribes: Unsubscribe[] = []
  readonly #resolvingJobs = new Set<JobId>()
  #recovered: Promise<void> = Promise.resolve()
  #isRecovering = true
  #foundTasks: FoundTask[] = []
  #isClosed = false
  #nextJobNumber = 1

  constructor (options: SessionOptions) {
    this.#options = options
    this.#timers = options.timers
    this.#jobs = new JobTable(options.timers)
    this.#recorder = new JobRecorder(options)
    this.#gangs = new GangRunner(options.timers, {
      getLink: (endpointId) => this.#links.get(endpointId),
      recordStart: (gang) => { this.#recordStart(gang).catch((err: Error) => this.#logUnexpected(err)) },
      handleStarted: (gang) => this.#handleStarted(gang),
      handleNotStarted: (gang, effect) => { this.#handleNotStarted(gang, effect).catch((err: Error) => this.#logUnexpected(err)) },
      handleResult: (gang, result) => { this.#handleResult(gang, result).catch((err: Error) => this.#logUnexpected(err)) }
    })
  }

  /** Starts with adoption: work is placed once the known endpoints have listed their tasks, or after a timeout. */
  start (config: Config): void {
    this.setConfig(config)
    const listed = this.#options.directory.list().map((info) => this.#connect(info))
    this.#recovered = Promise.race([Promise.allSettled(listed), this.#timers.delay(ADOPTION_TIMEOUT_MS)]).then(() => this.#finishRecovery())
    this.#unsubscribes.push(this.#timers.every(SCHEDULER_TICK_MS, () => this.#schedule({ type: 'tick' })))
    this.#unsubscribes.push(this.#timers.every(RENEW_PERIOD_MS, () => this.#renewLeases()))
    this.#unsubscribes.push(this.#timers.every(RESOLVE_PERIOD_MS, () => this.#resolveOpenRecords()))
  }

  close (): void {
    this.#isClosed = true
    this.#recorder.close()
    for (const stop of this.#unsubscribes) stop()
    this.#gangs.depose()
    for (const link of this.#links.values()) link.close()
    this.#links.clear()
    this.#jobs.wakeAll()
  }

  get isDegraded (): boolean {
    return !this.#recorder.canRecord
  }

  getStats (): object {
    return {
      ...this.#options.scheduler.getStats(),
      active: this.#jobs.activeCount,
      finished: this.#jobs.finishedCount,
      gangs: this.#gangs.size,
      endpoints: this.#links.size,
      recovering: this.#isRecovering
    }
  }

  setConfig (config: Config): void {
    this.#schedule({ type: 'config', share: getDomainShare(config, this.#options.domain) })
  }

  handleEndpointChange (change: EndpointChange): void {
    switch (change.type) {
      case 'up':
        this.#connect(change.info).catch(() => {})
        return
      case 'down': return this.#handleEndpointDown(change)
      case 'probe':
        this.#links.get(change.endpointId)?.listTasks().catch(() => {})
        return
      case 'mass-expiry':
        this.#options.logger.warn('announcements of many endpoints are overdue at once; the tasks of these endpoints keep their leases', { overdue: change.overdue.length, known: change.known })
        return
      default: assertNever(change)
    }
  }

  async submit (request: JobRequest, waitMs: number): Promise<JobStatus> {
    await this.#recovered
    const endMs = this.#timers.now() + waitMs
    for (;;) {
      this.#checkOpen()
      const entry = this.#findOrCreate(request)
      const status = await this.#waitFor(entry, endMs - this.#timers.now())
      // A discarded job is now found in the register, or starts again with the payload of this call.
      if (!entry.isDiscarded) return status
    }
  }

  async wait (customer: CustomerId, key: RequestKey, waitMs: number): Promise<JobStatus> {
    await this.#recovered
    this.#checkOpen()
    const entry = this.#jobs.find(customer, key)
    const status = entry && await this.#waitFor(entry, waitMs)
    if (status && !entry.isDiscarded) return status
    const record = this.#options.register.get(customer, key)
    if (record) return toRecordStatus(record)
    throw new IbisError('not-found', `failure domain ${this.#options.domain} has no request ${key} of customer ${customer}`)
  }

  async cancel (customer: CustomerId, key: RequestKey): Promise<JobStatus> {
    await this.#recovered
    this.#checkOpen()
    const entry = this.#jobs.find(customer, key)
    if (!entry) return await this.wait(customer, key, 0)
    if (!entry.isFinished) this.#schedule({ type: 'cancel', jobId: entry.jobId })
    const status = await this.#waitFor(entry, ENDPOINT_CALL_TIMEOUT_MS)
    if (!entry.isFinished) this.#checkOpen()
    return status
  }

  explain (customer: CustomerId, key: RequestKey): Explanation {
    const entry = this.#jobs.find(customer, key)
    if (!entry) throw new IbisError('not-found', `failure domain ${this.#options.domain} has no request ${key} of customer ${customer}`)
    return this.#options.scheduler.explain(entry.jobId)
  }

  // Requests

  #checkOpen (): void {
    if (this.#isClosed) throw new IbisError('not-leader', `this process no longer schedules failure domain ${this.#options.domain}`)
  }

  async #waitFor (entry: JobEntry, waitMs: number): Promise<JobStatus> {
    await this.#jobs.wait(entry, waitMs)
    // `not-leader` means "not run", so a closed session throws it only for jobs that were never placed.
    const isPlaced = entry.state !== 'queued' || entry.everStarted
    if (!entry.isFinished && !isPlaced) this.#checkOpen()
    if (entry.outcome && !entry.request.idempotent) this.#recorder.acknowledge(entry)
    return entry.getStatus()
  }

  #findOrCreate (request: JobRequest): JobEntry {
    const fingerprint = fingerprintRequest(request)
    const known = this.#jobs.find(request.customer, request.key)
    if (known) {
      this.#checkFingerprint(known.fingerprint, fingerprint, request)
      const mayRepeat = known.outcome !== null && isNotRun(known.outcome)
      if (!mayRepeat) return known
    }
    if (!request.idempotent) {
      const recorded = this.#findRecorded(request, fingerprint)
      if (recorded) return recorded
    }
    return this.#create(request, fingerprint)
  }

  #checkFingerprint (known: string | null, given: string, { key, customer }: JobRequest): void {
    if (known === null || known === given) return
    throw new IbisError('key-conflict', `key ${key} of customer ${customer} belongs to a different request`)
  }

  /** Returns the job of a recorded start, so that it is not started again; null when the request may start. */
  #findRecorded (request: JobRequest, fingerprint: string): JobEntry | null {
    const record = this.#options.register.get(request.customer, request.key)
    if (!record) {
      if (this.isDegraded) throw new IbisError('no-quorum', `failure domain ${this.#options.domain} has no quorum, so the start of non-idempotent work cannot be recorded`, { retryAfterMs: 1_000 })
      return null
    }
    this.#checkFingerprint(record.fingerprint, fingerprint, request)
    if (record.outcome && record.outcome.state !== 'released' && isNotRun(record.outcome)) return null
    return this.#adoptRecord(record)
  }

  #adoptRecord (record: JobRecord): JobEntry {
    const known = this.#jobs.get(record.jobId)
    if (known) return known
    const entry = new JobEntry(record.jobId, { ...record.metadata, payload: null }, record.fingerprint, this.#timers.now())
    entry.state = 'running'
    entry.everStarted = true
    this.#jobs.add(entry)
    const { outcome } = toRecordStatus(record)
    if (outcome) this.#jobs.finish(entry, outcome)
    else this.#resolve(record)
    return entry
  }

  #create (request: JobRequest, fingerprint: string): JobEntry {
    if (this.#links.size === 0) throw new IbisError('overloaded', `no endpoint has announced itself in failure domain ${this.#options.domain}`, { retryAfterMs: 1_000 })
    const entry = new JobEntry(asId<JobId>(`${this.#options.sessionId}-${this.#nextJobNumber++}`), request, fingerprint, this.#timers.now())
    this.#jobs.add(entry)
    this.#options.metrics.increment('jobs.submitted')
    this.#schedule({ type: 'submit', jobId: entry.jobId, job: toMetadata(request) })
    return entry
  }

  #finish (entry: JobEntry, outcome: JobOutcome): void {
    if (entry.isFinished) return
    this.#jobs.finish(entry, outcome)
    this.#options.metrics.increment(outcome.state === 'done' ? 'jobs.done' : `jobs.failed.${outcome.error.kind}`)
  }

  // Decisions

  #schedule (event: Parameters<DomainScheduler['handle']>[0]): void {
    if (this.#isClosed) return
    // Until the tasks of the previous leader are known, the scheduler would treat their slots as free.
    if (this.#isRecovering && event.type === 'tick') return
    const decisions = this.#options.scheduler.handle(event, this.#timers.now())
    for (const decision of decisions) this.#applyDecision(decision)
  }

  #applyDecision (decision: Decision): void {
    const entry = this.#jobs.get(decision.jobId)
    if (!entry) return
    const gang = this.#gangs.get(decision.jobId)
    match(decision)
      .with({ type: 'place' }, ({ attempt, assignments }) => this.#place(entry, attempt, assignments))
      .with({ type: 'refuse' }, (refusal) => this.#refuse(entry, refusal))
      .with({ type: 'preempt' }, () => {
        this.#options.metrics.increment('gangs.preempted')
        if (gang) this.#gangs.handle(gang, { type: 'preempt' })
      })
      .with({ type: 'throttle' }, ({ fraction }) => { if (gang) this.#gangs.handle(gang, { type: 'throttle', fraction }) })
      .with({ type: 'stop' }, () => { if (gang) this.#gangs.handle(gang, { type: 'cancel' }) })
      .exhaustive()
  }

  #place (entry: JobEntry, attempt: number, assignments: readonly Assignment[]): void {
    entry.state = 'starting'
    this.#gangs.add(Gang.create(this.#toSpec(entry.jobId, attempt, entry.request, assignments)))
  }

  #refuse (entry: JobEntry, { kind, detail, retryAfterMs }: Decision & { type: 'refuse' }): void {
    if (entry.isFinished) return
    const { lastError } = entry
    const isSameFailure = lastError !== null && (kind === 'task-failed' || kind === lastError.kind)
    if (isSameFailure) return this.#finish(entry, { state: 'failed', error: lastError })
    const isCancelledLate = kind === 'cancelled' && entry.everStarted
    const err = new IbisError(isCancelledLate ? 'cancelled-running' : kind, detail, { ...(retryAfterMs !== undefined && { retryAfterMs }) })
    this.#finish(entry, toFailure(err, entry.everStarted))
  }

  #toSpec (jobId: JobId, attempt: number, request: JobRequest, assignments: readonly Assignment[], ageMs?: number): GangSpec {
    return {
      jobId,
      attempt,
      request,
      assignments,
      leaseMs: LEASE_TTL_MS,
      reservationMs: RESERVATION_TTL_MS,
      checkpointGraceMs: CHECKPOINT_GRACE_MS,
      callMs: ENDPOINT_CALL_TIMEOUT_MS,
      ...(ageMs !== undefined && { ageMs })
    }
  }

  // Gangs

  async #recordStart (gang: Gang): Promise<void> {
    const entry = this.#jobs.get(gang.spec.jobId)
    const recording = await this.#recorder.recordStart(gang.spec, entry?.fingerprint ?? null)
    switch (recording.state) {
      case 'recorded': return this.#gangs.handle(gang, { type: 'recorded', ok: true })
      case 'refused': return this.#gangs.handle(gang, { type: 'recorded', ok: false, error: recording.error })
      case 'started-elsewhere':
        // A previous leader recorded a start that this replica had not yet applied when the request arrived.
        if (entry) entry.isStartedElsewhere = true
        return this.#gangs.handle(gang, { type: 'recorded', ok: false })
      default: return assertNever(recording)
    }
  }

  #handleStarted (gang: Gang): void {
    const entry = this.#jobs.get(gang.spec.jobId)
    if (!entry) return
    entry.state = 'running'
    entry.everStarted = true
    entry.startedAfterMs ??= Math.round(this.#timers.now() - entry.arrivedMs)
    this.#options.metrics.timing('jobs.start-wait', entry.startedAfterMs)
    if (this.#resolvingJobs.has(entry.jobId)) this.#renewLeases()
    this.#schedule({ type: 'started', jobId: entry.jobId })
  }

  async #handleNotStarted (gang: Gang, { refusedBy, error }: GangEffect & { type: 'not-started' }): Promise<void> {
    const { jobId, attempt } = gang.spec
    const entry = this.#jobs.get(jobId)
    if (!entry) return
    this.#options.metrics.increment('gangs.not-started')
    const wasResolving = this.#resolvingJobs.delete(jobId)
    const outcome: JobOutcome = { state: 'failed', error: error ?? toErrorBody('gang-not-started', 'the gang was not started: a member refused or did not answer') }
    if (this.#recorder.hasOpenRecord(jobId, entry.request, attempt)) await this.#recorder.recordOutcome(entry, attempt, outcome)
    if (this.#isClosed) return
    if (entry.isStartedElsewhere) return this.#discard(entry)
    if (!error && !wasResolving) {
      entry.state = 'queued'
      return this.#schedule({ type: 'start-failed', jobId, refusedBy })
    }
    // The start is not retried when it could not be recorded or when its payload was lost with the
    // previous leader. The caller gets the error at once.
    this.#finish(entry, outcome)
    this.#schedule({ type: 'finished', jobId, result: 'cancelled', tasks: [] })
  }

  async #handleResult (gang: Gang, result: GangResult): Promise<void> {
    if (result.state === 'deposed') return
    const { jobId, attempt, request } = gang.spec
    const entry = this.#jobs.get(jobId)
    this.#resolvingJobs.delete(jobId)
    if (!entry) return
    if (result.state !== 'cancelled' || result.everStarted) entry.everStarted = true
    const outcome = toOutcome(result, request.idempotent)
    if (outcome && this.#recorder.hasOpenRecord(jobId, entry.request, attempt)) await this.#recorder.recordOutcome(entry, attempt, outcome)
    if (this.#isClosed) return
    this.#gangs.handle(gang, { type: 'delivered' })
    if (result.state === 'failed') entry.lastError = result.error
    const isRepeatable = mayRunAgain(result, request.idempotent)
    if (isRepeatable && entry.isAdopted) return this.#discard(entry)
    if (isRepeatable) entry.state = 'queued'
    else if (outcome) this.#finish(entry, outcome)
    this.#schedule({ type: 'finished', jobId, result: toFinishResult(result), tasks: toTaskReports(gang, result) })
  }

  /** Removes a job without an outcome. Its callers are answered from the register, or submit the request again. */
  #discard (entry: JobEntry): void {
    this.#schedule({ type: 'finished', jobId: entry.jobId, result: 'cancelled', tasks: [] })
    this.#jobs.discard(entry)
  }

  // Records without an outcome

  #resolveOpenRecords (): void {
    if (this.#isRecovering || this.isDegraded) return
    for (const record of this.#options.register.listWithoutOutcome()) {
      if (this.#gangs.get(record.jobId) || this.#resolvingJobs.has(record.jobId)) continue
      const entry = this.#jobs.get(record.jobId)
      if (entry && entry.state !== 'running' && !entry.isFinished) continue
      if (entry?.isFinished) this.#resolve(record)
      else this.#adoptRecord(record)
    }
  }

  /** Gets the outcome of a recorded start from the endpoints, and fences tasks that have not started. */
  #resolve (record: JobRecord): void {
    if (this.#resolvingJobs.has(record.jobId)) return
    this.#resolvingJobs.add(record.jobId)
    this.#options.metrics.increment('records.resolved')
    const { jobId, attempt, metadata, assignments } = record
    const spec = this.#toSpec(jobId, attempt, { ...metadata, payload: null }, assignments)
    this.#schedule({ type: 'adopt', jobId, job: metadata, assignments })
    this.#gangs.add(Gang.resolve(spec))
  }

  // Endpoints

  async #connect (info: EndpointInfo): Promise<void> {
    const known = this.#links.get(info.id)
    if (known && known.info.incarnation === info.incarnation && known.info.port === info.port && known.info.address === info.address) {
      this.#schedule({ type: 'endpoint-up', endpoint: info })
      return
    }
    known?.close()
    const link = new EndpointLink(info, this.#timers, {
      handleFinished: (_id, finished) => this.#handleFinishedTasks(finished),
      handleViews: (views, requestedAtMs) => this.#gangs.handleViews(views, requestedAtMs),
      handleUsage: (endpointId, acceleratorsBusy, lagMs) => this.#schedule({ type: 'usage', endpointId, acceleratorsBusy, lagMs }),
      handleContact: (endpointId, isOk) => this.#handleContact(endpointId, isOk)
    })
    this.#links.set(info.id, link)
    link.start()
    await this.#fetchTasks(link)
    if (this.#links.get(info.id) !== link) return
    this.#schedule({ type: 'endpoint-up', endpoint: info })
  }

  /** An endpoint that does not answer is still used; whether a gang can start there depends on its reservations. */
  async #fetchTasks (link: EndpointLink): Promise<void> {
    try {
      const { id, incarnation } = link.info
      const requestedAtMs = this.#timers.now()
      const found = (await link.listTasks()).map((listing) => ({ endpointId: id, incarnation, listing, requestedAtMs }))
      if (this.#isRecovering) this.#foundTasks.push(...found)
      else this.#adoptGangs(found)
    } catch {
      this.#options.metrics.increment('endpoints.list-failed')
    }
  }

  #handleEndpointDown ({ endpointId, incarnation, reason, inMass }: EndpointChange & { type: 'down' }): void {
    const link = this.#links.get(endpointId)
    if (!link || link.info.incarnation !== incarnation) return
    this.#schedule({ type: 'endpoint-down', endpointId })
    // An endpoint that only stopped announcing itself may still run its tasks until their leases expire.
    if (reason === 'unreachable' || inMass) return
    if (reason === 'restarted') {
      this.#schedule({ type: 'endpoint-restarted', endpointId })
      this.#gangs.handleEndpointLost(endpointId)
    }
    if (reason === 'expired' || reason === 'left') return
    link.close()
    this.#links.delete(endpointId)
  }

  #handleContact (endpointId: EndpointId, isOk: boolean): void {
    const type = isOk ? 'call-ok' as const : 'call-failed' as const
    for (const change of this.#options.directory.handle({ type, endpointId }, this.#timers.now())) this.handleEndpointChange(change)
  }

  #handleFinishedTasks (finished: readonly FinishedTask[]): void {
    this.#gangs.handleViews(new Map<TaskId, TaskView>(finished.map(({ taskId, view }) => [taskId, view])))
  }

  #renewLeases (): void {
    for (const [endpointId, renewals] of this.#gangs.collectRenewals()) {
      this.#links.get(endpointId)?.renew(renewals).catch((err: Error) => this.#logUnexpected(err))
    }
  }

  // Adoption

  #finishRecovery (): void {
    if (this.#isClosed) return
    this.#isRecovering = false
    const found = this.#foundTasks
    this.#foundTasks = []
    this.#adoptGangs(found)
    this.#resolveOpenRecords()
    // Leases were last renewed before the change of leader, so the next periodic renewal may be too late.
    this.#renewLeases()
    this.#options.logger.info('scheduling session finished recovery; now placing jobs', { domain: this.#options.domain, endpoints: this.#links.size, gangs: this.#gangs.size, degraded: this.isDegraded })
    this.#schedule({ type: 'tick' })
  }

  #adoptGangs (found: readonly FoundTask[]): void {
    for (const gang of groupIntoGangs(found)) {
      if (this.#jobs.get(gang.jobId) || this.#gangs.get(gang.jobId)) continue
      if (!gang.job.idempotent) this.#stopUnlessRecorded(gang)
      else if (gang.isComplete && !this.#jobs.find(gang.job.customer, gang.job.key)) this.#adopt(gang)
      else this.#stopOrphan(gang)
    }
  }

  #adopt ({ jobId, attempt, job, assignments, views, requestedAtMs }: FoundGang): void {
    const request: JobRequest = { ...job, payload: null }
    const entry = new JobEntry(jobId, request, null, this.#timers.now())
    entry.state = 'running'
    entry.everStarted = true
    entry.startedAfterMs = 0
    this.#jobs.add(entry)
    this.#options.metrics.increment('gangs.adopted')
    // The scheduler must know the gang first: if all members are done, the gang finishes within `add`.
    this.#schedule({ type: 'adopt', jobId, job, assignments })
    this.#gangs.add(Gang.adopt(this.#toSpec(jobId, attempt, request, assignments), views, { requestedAtMs }))
  }

  /** A gang with an open start record is kept: it is resolved from the record, which lists all members. */
  #stopUnlessRecorded (gang: FoundGang): void {
    const record = this.#options.register.get(gang.job.customer, gang.job.key)
    const isOpen = record !== undefined && record.jobId === gang.jobId && !record.outcome
    if (isOpen) return
    this.#stopOrphan(gang)
  }

  #stopOrphan (gang: FoundGang): void {
    this.#options.metrics.increment('gangs.orphans-stopped')
    for (const { endpointId, incarnation, listing } of gang.tasks) {
      const link = this.#links.get(endpointId)
      link?.operate({ taskId: listing.taskId, incarnation, operation: 'stop' }).catch(() => {})
      link?.operate({ taskId: listing.taskId, incarnation, operation: 'ack' }).catch(() => {})
    }
  }

  #logUnexpected (err: Error): void {
    this.#options.metrics.increment('errors.unexpected')
    this.#options.logger.error('unexpected error in the scheduling session', { detail: err.message, stack: err.stack ?? '' })
  }
}
