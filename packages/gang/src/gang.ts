import { assertNever, ERROR_TABLE, invariant, type EndpointId, type ErrorBody, type ErrorKind } from '@ibisstair/common'
import type { CallResult, EndpointOperation, TaskView } from '@ibisstair/endpoint-tasks'
import { MAX_JOB_ANSWER_BYTES } from '@ibisstair/model'
import { MAX_ACK_ATTEMPTS, MAX_BEST_EFFORT_ATTEMPTS, RETRY_DIVISOR } from './constants.ts'
import { Member } from './member.ts'
import type { GangEffect, GangEvent, GangOptions, GangPhase, GangResult, GangSpec, LeaseRenewal } from './types.ts'

/** Why the gang is being stopped. The result follows from the cause and from what the members confirm. */
type StopCause =
  | { readonly type: 'refused', readonly error?: ErrorBody }
  | { readonly type: 'lost' }
  | { readonly type: 'failed' }
  | { readonly type: 'cancelled' }
  | { readonly type: 'preempted' }

type GangOrigin = 'create' | 'adopt' | 'resolve'

const buildError = (kind: ErrorKind, detail: string, info?: Readonly<Record<string, unknown>>): ErrorBody => ({
  kind,
  detail,
  execution: ERROR_TABLE[kind].execution,
  resendSafe: ERROR_TABLE[kind].resendSafe,
  advice: ERROR_TABLE[kind].advice,
  ...(info && { info })
})

/**
 * State machine for one attempt to start a gang, in which either all tasks start or none does.
 * Performs no I/O: the owner executes the returned effects, passes the answers to `handle`, and
 * renews the leases that `getRenewals` returns. The first event starts the attempt.
 */
export class Gang {
  readonly spec: GangSpec
  readonly #origin: GangOrigin
  readonly #testOverrides: NonNullable<GangOptions['testOverrides']>
  readonly #members: readonly Member[]
  readonly #hasSingleTask: boolean
  readonly #requestedAtMs: number | undefined
  /** False for an adopted gang with members that no endpoint has reported; such a gang cannot continue. */
  readonly #isComplete: boolean
  #phase: GangPhase = 'new'
  #nowMs = -Infinity
  #firstEventMs = 0
  #effects: GangEffect[] = []
  #nextWakeMs = Infinity
  #isStartRecorded = false
  #firstStartSentMs = 0
  #phaseDeadlineMs = Infinity
  #stopCause: StopCause | undefined
  #isCancelled = false
  #isResultReported = false
  #isResultDelivered = false
  #throttleFraction: number | undefined

  private constructor (spec: GangSpec, origin: GangOrigin, options: GangOptions) {
    invariant(spec.assignments.length > 0, 'a gang has at least one member', spec.jobId)
    this.#isComplete = spec.assignments.length === spec.request.shape.tasks
    invariant(origin === 'adopt' || this.#isComplete, 'a gang has one member for each task', spec.jobId)
    this.spec = spec
    this.#origin = origin
    this.#testOverrides = options.testOverrides ?? {}
    this.#requestedAtMs = options.requestedAtMs
    this.#members = spec.assignments.map((assignment) => new Member(assignment))
    this.#hasSingleTask = spec.assignments.length === 1
  }

  /** Creates a gang for a new start, with task ids that were never used before. */
  static create (spec: GangSpec, options: GangOptions = {}): Gang {
    return new Gang(spec, 'create', options)
  }

  /**
   * Adopts a gang that a previous leader started. `views` holds the state of each member as its
   * endpoint reports it, in the order of the assignments. The gang continues if every member is
   * running or done. Otherwise, or if members are missing from the assignments, it is stopped.
   */
  static adopt (spec: GangSpec, views: readonly (TaskView | undefined)[], options: GangOptions = {}): Gang {
    const gang = new Gang(spec, 'adopt', options)
    gang.#members.forEach((member, i) => {
      const view = views[i]
      if (view) member.applyView(view, -Infinity)
    })
    return gang
  }

  /** Resolves a recorded start of non-idempotent work without an outcome: a complete gang continues, any other is fenced. */
  static resolve (spec: GangSpec, options: GangOptions = {}): Gang {
    return new Gang(spec, 'resolve', options)
  }

  get phase (): GangPhase {
    return this.#phase
  }

  /** True once the gang needs no further calls and the owner may drop it. */
  get isClosed (): boolean {
    return this.#phase === 'closed'
  }

  /** Returns an upper bound on the time since a task of this gang was started, which stop messages carry; undefined if unknown. */
  getAgeMs (nowMs: number): number | undefined {
    if (this.#origin === 'create') return this.#phase === 'new' ? 0 : nowMs - this.#firstEventMs
    return this.spec.ageMs === undefined ? undefined : this.spec.ageMs + (nowMs - this.#firstEventMs)
  }

  /**
   * Returns the leases to renew now. The granted term is the lease minus the time since the member that
   * has been silent the longest was last seen, so that no member outlives a lost one by more than a
   * lease. The owner therefore renews well before a third of the lease has passed since the members
   * were last seen.
   */
  getRenewals (nowMs: number): LeaseRenewal[] {
    if (this.#phase !== 'running' && this.#phase !== 'checkpointing') return []
    const active = this.#members.filter(({ end }) => !end)
    const oldestMs = Math.min(...active.map(({ lastSeenMs }) => lastSeenMs))
    const termMs = this.#testOverrides.noCoupledLeases ? this.spec.leaseMs : this.spec.leaseMs - (nowMs - oldestMs)
    if (termMs <= 0) return []
    return active.map((member) => {
      const { index, taskId, endpointId, incarnation } = member.assignment
      member.heldUntilMs = Math.max(member.heldUntilMs, nowMs + this.spec.callMs + termMs)
      member.lastRenewalMs = nowMs
      return { index, taskId, endpointId, incarnation, termMs }
    })
  }

  handle (event: GangEvent, nowMs: number): readonly GangEffect[] {
    if (this.#phase === 'closed') return []
    this.#nowMs = Math.max(this.#nowMs, nowMs)
    this.#effects = []
    if (this.#nextWakeMs <= this.#nowMs) this.#nextWakeMs = Infinity
    if (event.type === 'deposed' && !this.#testOverrides.noDepose) {
      this.#closeAsDeposed()
      return this.#effects
    }
    if (this.#phase === 'new') this.#onFirstEvent(event)
    this.#applyDeadlines()
    this.#apply(event)
    this.#advance()
    this.#requestWake()
    return this.#effects
  }

  #onFirstEvent (event: GangEvent): void {
    this.#firstEventMs = this.#nowMs
    for (const member of this.#members) member.lastSeenMs = this.#requestedAtMs ?? this.#nowMs
    if (this.#origin === 'create') {
      // A job that is cancelled or preempted before its first call needs no calls.
      if (event.type === 'cancel' || event.type === 'preempt') return this.#stopAll({ type: event.type === 'cancel' ? 'cancelled' : 'preempted' })
      if (this.#hasSingleTask) return this.#recordOrStart()
      this.#phase = 'reserving'
      return this.#callAll('reserve')
    }
    // The previous leader may have renewed these leases until this moment.
    for (const member of this.#members) {
      member.contacted = true
      member.heldUntilMs = this.#nowMs + this.spec.callMs + this.spec.leaseMs
    }
    this.#isStartRecorded = true
    if (this.#origin === 'resolve') {
      this.#phase = 'querying'
      this.#phaseDeadlineMs = this.#nowMs + 2 * this.spec.callMs
      return this.#callAll('query')
    }
    if (this.#isComplete && this.#members.every((member) => member.isRunningOrDone)) {
      this.#phase = 'running'
      return
    }
    this.#stopAll({ type: this.#members.some(({ end }) => end?.type === 'failed') ? 'failed' : 'lost' })
  }

  #apply (event: GangEvent): void {
    switch (event.type) {
      case 'reply': return this.#onReply(event.index, event.operation, event.result)
      case 'recorded': return this.#onRecorded(event.ok, event.error)
      case 'task': return this.#onTask(event.index, event.task, event.requestedAtMs)
      case 'endpoint-lost': return this.#onEndpointLost(event.endpointId)
      case 'cancel': return this.#onCancel()
      case 'preempt': return this.#onPreempt()
      case 'throttle': return this.#onThrottle(event.fraction)
      case 'delivered':
        this.#isResultDelivered = true
        return
      case 'deposed':
      case 'timer': return
      default: return assertNever(event)
    }
  }

  #findMember (index: number): Member | undefined {
    return this.#members.find(({ assignment }) => assignment.index === index)
  }

  #onTask (index: number, task: TaskView, requestedAtMs: number | undefined): void {
    const member = this.#findMember(index)
    member?.applyView(task, requestedAtMs ?? member.lastRenewalMs ?? -Infinity)
  }

  #onReply (index: number, operation: EndpointOperation, result: CallResult): void {
    const member = this.#findMember(index)
    if (!member) return
    if (result.status === 'unknown') return this.#onUnanswered(member, operation)
    const call = member.call
    if (member.call?.operation === operation) member.call = undefined
    // The age of an answer to a call that is no longer pending is unknown.
    const requestedAtMs = call?.operation === operation ? call.firstSentMs : -Infinity
    if (result.task) member.applyView(result.task, requestedAtMs)
    if (result.status === 'refused') member.applyRefusal(result.reason, operation)
    switch (operation) {
      case 'reserve':
        if (result.status === 'ok') member.reserved = true
        else if (!member.reserved) member.refused = true
        return
      case 'arm':
        if (result.status === 'ok') member.armed = true
        else if (!member.armed) member.refused = true
        return
      case 'start':
      case 'run':
        if (result.status === 'ok') member.started = true
        else if (!member.started) member.refused = true
        return
      case 'stop':
        if (result.status === 'ok') member.applyStop(result.task)
        // The endpoint could not fence the task, or the call did not reach it: retry.
        else if (!member.fenced && call?.operation === 'stop') {
          member.call = call
          this.#onUnanswered(member, 'stop')
        }
        return
      case 'ack':
        member.acknowledged = true
        return
      case 'query':
        member.queried = true
        return
      case 'checkpoint':
      case 'throttle': return
      default: return assertNever(operation)
    }
  }

  /** Handles a call without an answer, which the endpoint may or may not have executed. */
  #onUnanswered (member: Member, operation: EndpointOperation): void {
    const call = member.call
    if (call?.operation !== operation || call.retryAtMs !== undefined) return
    switch (operation) {
      case 'reserve':
      case 'arm':
        // Nothing runs yet, so a new placement is quicker than a retry.
        member.call = undefined
        member.refused = true
        return
      case 'start':
      case 'run':
        if (this.#testOverrides.noStartRetry) {
          member.call = undefined
          member.lost = true
          return
        }
        break
      case 'stop':
        member.stopAttempts += 1
        break
      case 'ack':
        if (call.attempt >= MAX_ACK_ATTEMPTS) {
          member.call = undefined
          member.acknowledged = true
          return
        }
        break
      case 'checkpoint':
      case 'throttle':
        if (call.attempt >= MAX_BEST_EFFORT_ATTEMPTS) {
          member.call = undefined
          return
        }
        break
      case 'query': break
      default: return assertNever(operation)
    }
    call.retryAtMs = this.#nowMs + this.spec.callMs / RETRY_DIVISOR
  }

  #onRecorded (ok: boolean, error: ErrorBody | undefined): void {
    if (this.#phase !== 'recording') return
    if (!ok) return this.#stopAll({ type: 'refused', ...(error && { error }) })
    this.#isStartRecorded = true
    this.#startAll()
  }

  #onEndpointLost (endpointId: EndpointId): void {
    for (const member of this.#members) {
      if (member.assignment.endpointId === endpointId && !member.isDone) member.lost = true
    }
  }

  #onCancel (): void {
    if (this.#isResultReported) return
    this.#isCancelled = true
    if (this.#phase !== 'stopping') this.#stopAll({ type: 'cancelled' })
  }

  #onPreempt (): void {
    switch (this.#phase) {
      case 'running':
        this.#phase = 'checkpointing'
        this.#phaseDeadlineMs = this.#nowMs + this.spec.checkpointGraceMs
        for (const member of this.#members) {
          member.checkpointed = false
          if (!member.end) this.#call(member, 'checkpoint')
        }
        return
      case 'reserving':
      case 'arming':
      case 'recording':
      case 'starting':
      case 'querying': return this.#stopAll({ type: 'preempted' })
      default:
    }
  }

  #onThrottle (fraction: number): void {
    this.#throttleFraction = fraction
    if (this.#phase === 'running') this.#sendThrottle()
  }

  #sendThrottle (): void {
    for (const member of this.#members) {
      if (!member.end) this.#call(member, 'throttle')
    }
  }

  /**
   * Applies all expired deadlines. Runs before each event, so that a process that was frozen applies
   * them before it reads a late answer.
   */
  #applyDeadlines (): void {
    const now = this.#nowMs
    for (const member of this.#members) {
      const call = member.call
      if (call && call.retryAtMs === undefined && call.deadlineMs <= now) this.#onUnanswered(member, call.operation)
    }
    if (this.#phase === 'running' || this.#phase === 'checkpointing') {
      for (const member of this.#members) {
        if (!member.end && member.lastSeenMs + this.spec.leaseMs <= now) member.lost = true
      }
    }
    if (this.#phaseDeadlineMs > now) return
    this.#phaseDeadlineMs = Infinity
    switch (this.#phase) {
      case 'recording':
        if (this.#testOverrides.noRecordDeadline) return
        return this.#stopAll({ type: 'refused' })
      case 'starting':
        for (const member of this.#members) {
          if (!member.started) member.lost = true
        }
        return
      case 'checkpointing': return this.#stopAll({ type: 'preempted' })
      case 'querying': return this.#stopAll({ type: 'lost' })
      default:
    }
  }

  /** All first leases end one lease term after the first start was sent, however often a start is retried. */
  #getFirstLeaseMs (): number {
    return this.#testOverrides.noCoupledLeases ? this.spec.leaseMs : this.spec.leaseMs - (this.#nowMs - this.#firstStartSentMs)
  }

  /** Takes every step that the known state of the members allows. */
  #advance (): void {
    switch (this.#phase) {
      case 'reserving':
        if (this.#hasUnavailableMember()) this.#stopAll({ type: 'refused' })
        else if (this.#members.every(({ reserved }) => reserved)) {
          this.#phase = 'arming'
          this.#callAll('arm')
        }
        break
      case 'arming':
        if (this.#hasUnavailableMember()) this.#stopAll({ type: 'refused' })
        else if (this.#testOverrides.noArmBarrier || this.#members.every(({ armed }) => armed)) this.#recordOrStart()
        break
      case 'recording':
        if (this.#hasUnavailableMember()) this.#stopAll({ type: 'refused' })
        break
      case 'starting':
      case 'running':
      case 'checkpointing':
      case 'querying':
        this.#checkStartedMembers()
        break
      default:
    }
    if (this.#phase === 'stopping') this.#reportWhenDecided()
    this.#retryCalls()
    if (this.#phase === 'reported') this.#startAcknowledging()
    if (this.#phase === 'acknowledging') this.#acknowledge()
  }

  #hasUnavailableMember (): boolean {
    return this.#members.some(({ refused, lost, end }) => refused || lost || end)
  }

  /** Checks members that have been started, or may have been: one failed or lost member stops all others. */
  #checkStartedMembers (): void {
    const members = this.#members
    if (members.every(({ isDone }) => isDone)) return this.#finishDone()
    if (members.some(({ end }) => end?.type === 'failed')) return this.#stopAll({ type: 'failed' })
    const hasBrokenMember = members.some(({ lost, refused, end, isDone }) => !isDone && (lost || refused || end))
    if (hasBrokenMember && !this.#testOverrides.noStopOnLoss) return this.#stopAll({ type: 'lost' })
    if (this.#phase === 'starting' && members.every(({ started }) => started)) return this.#enterRunning()
    if (this.#phase === 'querying' && members.every(({ queried }) => queried)) {
      if (members.every(({ isRunningOrDone }) => isRunningOrDone)) this.#enterRunning()
      else this.#stopAll({ type: 'lost' })
    }
    if (this.#phase === 'checkpointing' && members.every(({ checkpointed, end }) => checkpointed || end)) this.#stopAll({ type: 'preempted' })
  }

  #enterRunning (): void {
    this.#phase = 'running'
    this.#phaseDeadlineMs = Infinity
    this.#effects.push({ type: 'started' })
    if (this.#throttleFraction !== undefined && this.#throttleFraction !== 1) this.#sendThrottle()
  }

  #recordOrStart (): void {
    if (this.spec.request.idempotent || this.#testOverrides.noRecord) return this.#startAll()
    this.#phase = 'recording'
    this.#phaseDeadlineMs = this.#getLatestStartMs()
    this.#effects.push({ type: 'record-start' })
  }

  /** A start sent later than this could reach one member after its reservation has expired while other members still accept it. */
  #getLatestStartMs (): number {
    if (this.#hasSingleTask) return this.#firstEventMs + this.spec.reservationMs
    const armedMs = Math.min(...this.#members.map(({ armSentMs }) => armSentMs))
    return armedMs + this.spec.reservationMs - this.spec.callMs / 2
  }

  #startAll (): void {
    const { idempotent } = this.spec.request
    if (!this.#hasSingleTask && this.#nowMs >= this.#getLatestStartMs() && !this.#testOverrides.noRecordDeadline) return this.#stopAll({ type: 'refused' })
    invariant(this.#hasSingleTask || this.#testOverrides.noArmBarrier || this.#members.every(({ armed }) => armed), 'no start before all members are armed', this.spec.jobId)
    invariant(idempotent || this.#isStartRecorded || this.#testOverrides.noRecord, 'no start of non-idempotent work before its record', this.spec.jobId)
    this.#phase = 'starting'
    this.#firstStartSentMs = this.#nowMs
    this.#phaseDeadlineMs = this.#firstStartSentMs + this.spec.reservationMs
    this.#callAll(this.#hasSingleTask ? 'run' : 'start')
  }

  #callAll (operation: EndpointOperation): void {
    for (const member of this.#members) this.#call(member, operation)
  }

  #call (member: Member, operation: EndpointOperation, attempt = 1, firstSentMs = this.#nowMs): void {
    const { callMs, leaseMs, reservationMs } = this.spec
    const now = this.#nowMs
    member.call = { operation, firstSentMs, deadlineMs: now + callMs, retryAtMs: undefined, attempt }
    member.contacted = true
    if (operation === 'reserve' || operation === 'arm') member.heldUntilMs = now + callMs + reservationMs
    if (operation === 'arm') member.armSentMs = now
    if (operation === 'start' || operation === 'run') {
      member.startsSent += 1
      member.heldUntilMs = now + callMs + leaseMs
    }
    const { index } = member.assignment
    if (operation === 'throttle') this.#effects.push({ type: 'call', index, operation, fraction: this.#throttleFraction ?? 1 })
    else if (operation === 'start') this.#effects.push({ type: 'call', index, operation, leaseMs: this.#getFirstLeaseMs() })
    else this.#effects.push({ type: 'call', index, operation })
  }

  #retryCalls (): void {
    for (const member of this.#members) {
      const call = member.call
      if (call?.retryAtMs === undefined || call.retryAtMs > this.#nowMs) continue
      const isStart = call.operation === 'start' || call.operation === 'run'
      if (call.operation === 'stop' ? this.#isReleased(member) : isStart && member.started) member.call = undefined
      else this.#call(member, call.operation, call.attempt + 1, call.firstSentMs)
    }
  }

  #stopAll (cause: StopCause): void {
    invariant(!this.#isResultReported, 'a gang that reported its result is not stopped again', this.spec.jobId)
    this.#phase = 'stopping'
    this.#phaseDeadlineMs = Infinity
    this.#stopCause = cause
    for (const member of this.#members) {
      if (this.#isReleased(member)) member.call = undefined
      else this.#call(member, 'stop')
    }
  }

  /** The member holds no capacity, and stopping it would reveal nothing more. */
  #isReleased (member: Member): boolean {
    return !member.contacted || member.isSettled || member.heldUntilMs <= this.#nowMs
  }

  #isProvenNotRun (member: Member): boolean {
    if (member.started) return false
    if (member.neverStarted || this.#testOverrides.noStopProof) return true
    // Only this gang uses the task ids of a new start.
    return this.#origin === 'create' && !member.mayHaveReceivedStart
  }

  /** Reports the result once every member is released, or earlier if the members that do not answer cannot change it. */
  #reportWhenDecided (): void {
    const waiting = this.#members.filter((member) => !this.#isReleased(member))
    const isDecided = this.spec.request.idempotent ||
      this.#members.some(({ started }) => started) ||
      this.#members.every((member) => this.#isProvenNotRun(member))
    const canReportEarly = isDecided && waiting.every(({ stopAttempts }) => stopAttempts > 0)
    if (waiting.length > 0 && !canReportEarly) return
    if (this.#isComplete && this.#members.every(({ isDone }) => isDone)) return this.#finishDone()
    this.#reportStopped()
  }

  #reportStopped (): void {
    const cause = this.#stopCause
    invariant(cause, 'a stopped gang has a cause', this.spec.jobId)
    if (this.#members.some(({ end }) => end?.type === 'failed')) return this.#finishFailed()
    const isNotRun = this.#isComplete && this.#members.every((member) => this.#isProvenNotRun(member))
    if (this.#isCancelled || cause.type === 'cancelled') return this.#finish({ state: 'cancelled', everStarted: !isNotRun })
    if (isNotRun) return this.#reportNotStarted(cause.type === 'refused' ? cause.error : undefined)
    if (cause.type === 'preempted') return this.#finish({ state: 'preempted' })
    const lostEndpoints = this.#listFaultyEndpoints()
    if (this.spec.request.idempotent) return this.#finish({ state: 'lost', lostEndpoints })
    const error = buildError('outcome-unknown', 'a member was lost after the start was recorded', { lostEndpoints })
    this.#finish({ state: 'unknown', lostEndpoints, error })
  }

  #reportNotStarted (error: ErrorBody | undefined): void {
    this.#assertNotRun()
    this.#markReported()
    // A start that did not happen has no result to deliver.
    this.#isResultDelivered = true
    this.#effects.push({ type: 'not-started', refusedBy: this.#listFaultyEndpoints(), ...(error && { error }) })
  }

  #listFaultyEndpoints (): EndpointId[] {
    const faulty = this.#members.filter((member) => {
      if (member.isDone) return false
      return member.refused || member.lost || !this.#isReleased(member) || (member.contacted && !member.isSettled)
    })
    return [...new Set(faulty.map(({ assignment }) => assignment.endpointId))]
  }

  #finishDone (): void {
    invariant(this.#isComplete, 'a gang with missing members is never reported as done', this.spec.jobId)
    const answers = this.#members.map(({ assignment, end }) => {
      invariant(end?.type === 'done', 'a result holds the answer of every member', this.spec.jobId)
      return { index: assignment.index, body: end.answer, bytes: end.bytes, runMs: end.runMs }
    }).sort((a, b) => a.index - b.index)
    const bytes = answers.reduce((sum, answer) => sum + answer.bytes, 0)
    if (bytes > MAX_JOB_ANSWER_BYTES) {
      const error = buildError('answer-too-large', `the answers total ${bytes} bytes; the limit is ${MAX_JOB_ANSWER_BYTES} bytes`)
      return this.#finish({ state: 'failed', failedBy: [], error })
    }
    this.#finish({
      state: 'done',
      answers: answers.map(({ index, body }) => ({ index, body })),
      runMs: Math.max(...answers.map(({ runMs }) => runMs))
    })
  }

  #finishFailed (): void {
    const failed = this.#members.flatMap(({ assignment, end }) => end?.type === 'failed' ? [{ assignment, error: end.error }] : [])
    const isTooLarge = failed.some(({ error }) => error === 'answer-too-large')
    const detail = failed.map(({ assignment, error }) => `task ${assignment.index} on ${assignment.endpointId}: ${error}`).join('; ')
    this.#finish({
      state: 'failed',
      failedBy: [...new Set(failed.map(({ assignment }) => assignment.endpointId))],
      error: buildError(isTooLarge ? 'answer-too-large' : 'task-failed', detail)
    })
  }

  #finish (result: GangResult): void {
    if (result.state === 'cancelled' && !result.everStarted) this.#assertNotRun()
    this.#markReported()
    this.#effects.push({ type: 'finished', result })
  }

  #assertNotRun (): void {
    if (this.#testOverrides.noStopProof) return
    const isProven = this.#isComplete && this.#members.every((member) => !member.started && !member.end?.everStarted &&
      (member.neverStarted || (this.#origin === 'create' && !member.mayHaveReceivedStart)))
    invariant(isProven, '"not run" is claimed only when every member is known never to have started', this.spec.jobId)
  }

  #markReported (): void {
    invariant(!this.#isResultReported, 'a gang reports exactly one result', this.spec.jobId)
    this.#isResultReported = true
    this.#phase = 'reported'
    this.#phaseDeadlineMs = Infinity
  }

  #closeAsDeposed (): void {
    if (!this.#isResultReported) this.#finish({ state: 'deposed' })
    this.#phase = 'closed'
  }

  /** Once the result is stored elsewhere, the endpoints may discard their answers. */
  #startAcknowledging (): void {
    if (!this.#isResultDelivered) return
    this.#phase = 'acknowledging'
  }

  #acknowledge (): void {
    let hasOpenWork = false
    for (const member of this.#members) {
      if (!this.#isReleased(member)) hasOpenWork = true
      if (!member.needsAcknowledgement) continue
      hasOpenWork = true
      if (member.call?.operation !== 'ack') this.#call(member, 'ack')
    }
    if (!hasOpenWork) this.#phase = 'closed'
  }

  #requestWake (): void {
    const atMs = Math.max(this.#getNextDeadlineMs(), this.#nowMs + 1)
    if (atMs === this.#nextWakeMs || atMs === Infinity) return
    this.#nextWakeMs = atMs
    this.#effects.push({ type: 'wake', atMs })
  }

  #getNextDeadlineMs (): number {
    if (this.#phase === 'closed') return Infinity
    let next = this.#phaseDeadlineMs
    const hasLeases = this.#phase === 'running' || this.#phase === 'checkpointing'
    const awaitsRelease = this.#phase === 'stopping' || this.#phase === 'reported' || this.#phase === 'acknowledging'
    for (const member of this.#members) {
      const { call } = member
      if (call) next = Math.min(next, call.retryAtMs ?? call.deadlineMs)
      if (hasLeases && !member.end && !member.lost) next = Math.min(next, member.lastSeenMs + this.spec.leaseMs)
      if (awaitsRelease && !this.#isReleased(member)) next = Math.min(next, member.heldUntilMs)
    }
    return next
  }
}
