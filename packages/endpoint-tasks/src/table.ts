import { assertNever, invariant, type TaskId } from '@ibisstair/common'
import { MAX_TASK_ANSWER_BYTES } from '@ibisstair/model'
import {
  ENDED_TTL_MS, MAX_ENDED_TASKS, MAX_UNACKNOWLEDGED, MAX_UNACKNOWLEDGED_BYTES, STOP_DELAY_MARGIN_MS,
  UNACKNOWLEDGED_TTL_MS
} from './constants.ts'
import type {
  CallResult, RefusalReason, TaskEffect, TaskGrant, TaskListing, TaskOutcome, TaskRenewal, TaskRequest, TaskResponse,
  TaskTableOptions, TaskTableStats, TaskView
} from './types.ts'

interface LiveTask {
  readonly taskId: TaskId
  readonly grant: TaskGrant
  readonly accelerators: readonly number[]
  phase: 'reserved' | 'armed' | 'running'
  payload: unknown
  /** End of the reservation, or of the lease once the task runs. */
  untilMs: number
  startedAtMs: number
  checkpointed: boolean
}

interface EndedTask {
  readonly grant: TaskGrant | undefined
  readonly phase: 'done' | 'failed' | 'stopped' | 'expired'
  readonly everStarted: boolean
  readonly endedAtMs: number
  readonly runMs: number
  readonly error: string | undefined
  /** Present until acknowledged. */
  answer: { readonly body: unknown } | undefined
  bytes: number
}

const byteLength = (answer: unknown): number => Buffer.byteLength(JSON.stringify(answer) ?? 'null')

/**
 * The endpoint's side of the task protocol. Tracks which tasks hold slots and accelerators, until when
 * by the endpoint's own clock, and which tasks have ended. One table serves one incarnation: a restart
 * ends all earlier tasks, and the endpoint starts with an empty table.
 */
export class TaskTable {
  readonly #options: TaskTableOptions
  readonly #liveTasks = new Map<TaskId, LiveTask>()
  /** In the order in which the tasks ended. */
  readonly #endedTasks = new Map<TaskId, EndedTask>()
  readonly #acceleratorOwner: (TaskId | undefined)[]
  #usedSlots = 0
  #nowMs = -Infinity
  /** Finished tasks with an unacknowledged result, in the order in which they ended. */
  readonly #unacknowledged = new Map<TaskId, EndedTask>()
  #unacknowledgedBytes = 0
  /** Latest end time of the started tasks whose records were dropped. */
  #latestDroppedEndMs = -Infinity
  #isLeaving = false
  #refusedCount = 0
  #expiredCount = 0
  #droppedCount = 0

  constructor (options: TaskTableOptions) {
    this.#options = options
    this.#acceleratorOwner = new Array<TaskId | undefined>(options.accelerators).fill(undefined)
  }

  get incarnation (): number {
    return this.#options.incarnation
  }

  /** Refuses new reservations from now on; tasks that already hold one continue. */
  leave (): void {
    this.#isLeaving = true
  }

  handle (request: TaskRequest, nowMs: number): TaskResponse {
    const effects = this.advance(nowMs)
    const result = this.#dispatch(request, effects)
    if (result.status === 'refused') this.#refusedCount += 1
    this.#checkCapacity()
    return { result, effects }
  }

  /** Extends the leases of running tasks and returns the view of each named task, ended and unknown ones included. */
  renew (renewals: readonly TaskRenewal[], nowMs: number): { readonly views: readonly TaskView[], readonly effects: readonly TaskEffect[] } {
    const effects = this.advance(nowMs)
    const views = renewals.map(({ taskId, incarnation, termMs }) => {
      if (!this.#isOwnIncarnation(incarnation)) return this.#absentView()
      const task = this.#liveTasks.get(taskId)
      if (task?.phase === 'running') task.untilMs = Math.max(task.untilMs, this.#nowMs + Math.min(termMs, task.grant.leaseMs))
      return this.getView(taskId)
    })
    return { views, effects }
  }

  /** Ends expired reservations and leases and drops old records. */
  advance (nowMs: number): TaskEffect[] {
    this.#nowMs = Math.max(this.#nowMs, nowMs)
    const effects: TaskEffect[] = []
    for (const task of [...this.#liveTasks.values()]) {
      if (task.untilMs > this.#nowMs) continue
      if (this.#isExpiryDisabled(task.phase)) continue
      this.#expiredCount += 1
      if (task.phase === 'running') effects.push({ type: 'kill', taskId: task.taskId })
      this.#endTask(task, 'expired')
    }
    this.#dropExpiredRecords()
    this.#checkCapacity()
    return effects
  }

  /** Returns the earliest time at which a reservation or lease expires. */
  getNextDeadlineMs (): number | undefined {
    let next: number | undefined
    for (const { untilMs, phase } of this.#liveTasks.values()) {
      if (this.#isExpiryDisabled(phase)) continue
      if (next === undefined || untilMs < next) next = untilMs
    }
    return next
  }

  /** Records the outcome that the executor reports. A task that has been stopped or has expired meanwhile is left unchanged. */
  complete (taskId: TaskId, outcome: TaskOutcome, nowMs: number): TaskEffect[] {
    const effects = this.advance(nowMs)
    const task = this.#liveTasks.get(taskId)
    if (task?.phase !== 'running') return effects
    if (outcome.state === 'failed') {
      this.#endTask(task, 'failed', { error: outcome.error })
      return effects
    }
    const bytes = byteLength(outcome.answer)
    if (bytes > MAX_TASK_ANSWER_BYTES) this.#endTask(task, 'failed', { error: 'answer-too-large' })
    else this.#endTask(task, 'done', { answer: { body: outcome.answer ?? null }, bytes })
    this.#checkCapacity()
    return effects
  }

  markCheckpointed (taskId: TaskId): void {
    const task = this.#liveTasks.get(taskId)
    if (task) task.checkpointed = true
  }

  getView (taskId: TaskId): TaskView {
    const task = this.#liveTasks.get(taskId)
    if (task) {
      return {
        phase: task.phase,
        everStarted: task.phase === 'running',
        ...(task.checkpointed && { checkpointed: true })
      }
    }
    const ended = this.#endedTasks.get(taskId)
    if (!ended) return this.#absentView()
    return {
      phase: ended.phase,
      everStarted: ended.everStarted,
      ...(ended.answer && { answer: ended.answer.body }),
      ...(ended.error !== undefined && { error: ended.error }),
      ...(ended.everStarted && { runMs: ended.runMs })
    }
  }

  /** Lists finished tasks whose results have not been acknowledged. */
  getUnacknowledged (): TaskListing[] {
    return this.#listUnacknowledged()
  }

  /** Lists the tasks that a new leader needs to know: those that hold capacity and those with an unacknowledged result. */
  list (): TaskListing[] {
    const listings: TaskListing[] = []
    for (const { taskId, grant } of this.#liveTasks.values()) listings.push({ taskId, grant, view: this.getView(taskId) })
    return [...listings, ...this.#listUnacknowledged()]
  }

  getStats (): TaskTableStats {
    return {
      freeSlots: this.#options.slots - this.#usedSlots,
      freeAccelerators: this.#countFreeAccelerators(),
      live: this.#liveTasks.size,
      ended: this.#endedTasks.size,
      unacknowledged: this.#unacknowledged.size,
      refused: this.#refusedCount,
      expired: this.#expiredCount,
      forgotten: this.#droppedCount
    }
  }

  #dispatch (request: TaskRequest, effects: TaskEffect[]): CallResult {
    if (!this.#isOwnIncarnation(request.incarnation)) return { status: 'refused', reason: 'wrong-incarnation' }
    switch (request.operation) {
      case 'reserve': return this.#reserve(request.taskId, request.grant)
      case 'arm': return this.#arm(request.taskId, request.payload)
      case 'start': return this.#start(request.taskId, effects, request.leaseMs)
      case 'run': return this.#run(request.taskId, request.grant, request.payload, effects)
      case 'checkpoint': return this.#sendToRunning(request.taskId, { type: 'checkpoint', taskId: request.taskId }, effects)
      case 'throttle': return this.#sendToRunning(request.taskId, { type: 'throttle', taskId: request.taskId, fraction: request.fraction }, effects)
      case 'stop': return this.#stop(request.taskId, request.ageMs, effects)
      case 'ack': return this.#acknowledge(request.taskId)
      case 'query': return this.#ok(request.taskId)
      default: return assertNever(request)
    }
  }

  #reserve (taskId: TaskId, grant: TaskGrant): CallResult {
    if (this.#endedTasks.has(taskId)) return this.#refuse(taskId, 'ended')
    if (this.#liveTasks.has(taskId)) return this.#ok(taskId)
    const refusal = this.#findRefusal(grant)
    if (refusal) return this.#refuse(taskId, refusal)
    const { slotsPerTask, acceleratorsPerTask } = grant.request.shape
    const accelerators = this.#pickAccelerators(acceleratorsPerTask)
    for (const i of accelerators) this.#acceleratorOwner[i] = taskId
    this.#usedSlots += slotsPerTask
    this.#liveTasks.set(taskId, {
      taskId,
      grant,
      accelerators,
      phase: 'reserved',
      payload: undefined,
      untilMs: this.#nowMs + grant.reservationMs,
      startedAtMs: 0,
      checkpointed: false
    })
    return this.#ok(taskId)
  }

  #findRefusal (grant: TaskGrant): RefusalReason | undefined {
    const { slotsPerTask, acceleratorsPerTask } = grant.request.shape
    if (this.#isLeaving) return 'leaving'
    if (this.#usedSlots + slotsPerTask > this.#options.slots) return 'no-capacity'
    if (acceleratorsPerTask > this.#countFreeAccelerators()) return 'no-capacity'
    if (!this.#makeRoomForResult()) return 'results-full'
    if (!this.#makeRoomForEnded()) return 'fences-full'
    return undefined
  }

  #arm (taskId: TaskId, payload: unknown): CallResult {
    const task = this.#liveTasks.get(taskId)
    if (!task) return this.#refuse(taskId, this.#endedTasks.has(taskId) ? 'ended' : 'not-reserved')
    if (task.phase !== 'reserved') return this.#ok(taskId)
    task.phase = 'armed'
    task.payload = payload
    task.untilMs = this.#nowMs + task.grant.reservationMs
    return this.#ok(taskId)
  }

  #start (taskId: TaskId, effects: TaskEffect[], leaseMs = Infinity): CallResult {
    const task = this.#liveTasks.get(taskId)
    // A repeated start is answered with the task's state, which shows that it has started before.
    if (!task) return this.#endedTasks.get(taskId)?.everStarted ? this.#ok(taskId) : this.#refuse(taskId, this.#endedTasks.has(taskId) ? 'ended' : 'not-reserved')
    if (task.phase === 'reserved') return this.#refuse(taskId, 'not-armed')
    if (task.phase === 'armed') this.#startExecution(task, effects, leaseMs)
    return this.#ok(taskId)
  }

  #run (taskId: TaskId, grant: TaskGrant, payload: unknown, effects: TaskEffect[]): CallResult {
    if (this.#endedTasks.get(taskId)?.everStarted) return this.#ok(taskId)
    const reserved = this.#reserve(taskId, grant)
    if (reserved.status !== 'ok') return reserved
    this.#arm(taskId, payload)
    return this.#start(taskId, effects)
  }

  #startExecution (task: LiveTask, effects: TaskEffect[], leaseMs: number): void {
    invariant(task.untilMs > this.#nowMs || this.#options.testOverrides?.noReservationExpiry, 'a task starts only under an unexpired reservation', task.taskId)
    task.phase = 'running'
    task.startedAtMs = this.#nowMs
    task.untilMs = this.#nowMs + Math.min(leaseMs, task.grant.leaseMs)
    const { taskId, grant, payload, accelerators } = task
    task.payload = undefined
    effects.push({ type: 'execute', taskId, grant, payload, accelerators })
  }

  #sendToRunning (taskId: TaskId, effect: TaskEffect, effects: TaskEffect[]): CallResult {
    const task = this.#liveTasks.get(taskId)
    if (task?.phase !== 'running') return this.#refuse(taskId, 'not-running')
    effects.push(effect)
    return this.#ok(taskId)
  }

  /** After an `ok` the task can never start, and its view tells whether it ever did. */
  #stop (taskId: TaskId, ageMs: number | undefined, effects: TaskEffect[]): CallResult {
    const task = this.#liveTasks.get(taskId)
    if (task) {
      if (task.phase === 'running') effects.push({ type: 'kill', taskId })
      this.#endTask(task, 'stopped')
      return this.#ok(taskId)
    }
    if (this.#endedTasks.has(taskId)) return this.#ok(taskId)
    if (this.#options.testOverrides?.noFence) return { status: 'ok', task: { phase: 'stopped', everStarted: false } }
    if (!this.#makeRoomForEnded()) return this.#refuse(taskId, 'fences-full')
    this.#endedTasks.set(taskId, {
      grant: undefined,
      phase: 'stopped',
      everStarted: false,
      endedAtMs: this.#nowMs,
      runMs: 0,
      error: undefined,
      answer: undefined,
      bytes: 0
    })
    if (this.#mayHaveDroppedRecord(ageMs)) {
      return { status: 'refused', reason: 'forgotten' satisfies RefusalReason }
    }
    return this.#ok(taskId)
  }

  #mayHaveDroppedRecord (ageMs: number | undefined): boolean {
    if (this.#latestDroppedEndMs === -Infinity) return false
    return this.#nowMs - (ageMs ?? Infinity) - STOP_DELAY_MARGIN_MS <= this.#latestDroppedEndMs
  }

  #acknowledge (taskId: TaskId): CallResult {
    const ended = this.#endedTasks.get(taskId)
    if (ended) this.#discardAnswer(taskId, ended)
    return this.#ok(taskId)
  }

  #listUnacknowledged (): TaskListing[] {
    return [...this.#unacknowledged].flatMap(([taskId, { grant }]) => grant ? [{ taskId, grant, view: this.getView(taskId) }] : [])
  }

  #discardAnswer (taskId: TaskId, ended: EndedTask): void {
    if (!this.#unacknowledged.delete(taskId)) return
    ended.answer = undefined
    this.#unacknowledgedBytes -= ended.bytes
    ended.bytes = 0
  }

  #endTask (task: LiveTask, phase: EndedTask['phase'], detail: { error?: string, answer?: { readonly body: unknown }, bytes?: number } = {}): void {
    this.#liveTasks.delete(task.taskId)
    this.#usedSlots -= task.grant.request.shape.slotsPerTask
    for (const i of task.accelerators) this.#acceleratorOwner[i] = undefined
    if (this.#options.testOverrides?.noMemory) return
    const isResult = phase === 'done' || phase === 'failed'
    const bytes = detail.bytes ?? 0
    const ended: EndedTask = {
      grant: task.grant,
      phase,
      everStarted: task.phase === 'running',
      endedAtMs: this.#nowMs,
      runMs: task.phase === 'running' ? this.#nowMs - task.startedAtMs : 0,
      error: detail.error,
      answer: detail.answer,
      bytes
    }
    this.#endedTasks.set(task.taskId, ended)
    if (!isResult) return
    this.#unacknowledged.set(task.taskId, ended)
    this.#unacknowledgedBytes += bytes
  }

  /** Drops answers of idempotent work when the limit is reached; other answers are kept until their time limit. */
  #makeRoomForResult (): boolean {
    const maxCount = this.#options.maxUnacknowledged ?? MAX_UNACKNOWLEDGED
    const maxBytes = this.#options.maxUnacknowledgedBytes ?? MAX_UNACKNOWLEDGED_BYTES
    const isFull = (): boolean => this.#unacknowledged.size + this.#liveTasks.size >= maxCount ||
      this.#unacknowledgedBytes + (this.#liveTasks.size + 1) * MAX_TASK_ANSWER_BYTES > maxBytes
    if (!isFull()) return true
    for (const [taskId, ended] of this.#unacknowledged) {
      if (!ended.grant?.request.idempotent) continue
      this.#discardAnswer(taskId, ended)
      this.#droppedCount += 1
      if (!isFull()) return true
    }
    return false
  }

  /** Drops records of idempotent work when the limit is reached; records of other work are kept until their time limit. */
  #makeRoomForEnded (): boolean {
    const max = this.#options.maxEnded ?? MAX_ENDED_TASKS
    const isFull = (): boolean => this.#endedTasks.size + this.#liveTasks.size >= max
    if (!isFull()) return true
    for (const [taskId, ended] of this.#endedTasks) {
      if (!ended.grant?.request.idempotent) continue
      this.#dropRecord(taskId, ended)
      if (!isFull()) return true
    }
    return false
  }

  #dropExpiredRecords (): void {
    const endedBefore = this.#nowMs - (this.#options.endedTtlMs ?? ENDED_TTL_MS)
    const unacknowledgedBefore = this.#nowMs - (this.#options.unacknowledgedTtlMs ?? UNACKNOWLEDGED_TTL_MS)
    for (const [taskId, ended] of this.#endedTasks) {
      if (ended.endedAtMs > endedBefore) break
      this.#dropRecord(taskId, ended)
    }
    for (const [taskId, ended] of this.#unacknowledged) {
      if (ended.endedAtMs > unacknowledgedBefore) break
      this.#droppedCount += 1
      this.#discardAnswer(taskId, ended)
    }
  }

  #dropRecord (taskId: TaskId, ended: EndedTask): void {
    this.#discardAnswer(taskId, ended)
    this.#endedTasks.delete(taskId)
    this.#droppedCount += 1
    if (ended.everStarted) this.#latestDroppedEndMs = Math.max(this.#latestDroppedEndMs, ended.endedAtMs)
  }

  /** Picks adjacent accelerators from the shortest free range that is long enough, otherwise the free ones with the lowest numbers. */
  #pickAccelerators (count: number): number[] {
    if (count === 0) return []
    const owners = this.#acceleratorOwner
    let best: { start: number, length: number } | undefined
    for (let start = 0; start < owners.length;) {
      let length = 0
      while (start + length < owners.length && owners[start + length] === undefined) length += 1
      if (length >= count && (!best || length < best.length)) best = { start, length }
      start += Math.max(length, 1)
    }
    if (best) return Array.from({ length: count }, (_, i) => best.start + i)
    return owners.flatMap((owner, i) => owner === undefined ? [i] : []).slice(0, count)
  }

  #countFreeAccelerators (): number {
    return this.#acceleratorOwner.reduce((sum, owner) => sum + (owner === undefined ? 1 : 0), 0)
  }

  #isExpiryDisabled (phase: LiveTask['phase']): boolean {
    const { testOverrides } = this.#options
    return (phase === 'running' ? testOverrides?.noLease : testOverrides?.noReservationExpiry) === true
  }

  #isOwnIncarnation (incarnation: number): boolean {
    return incarnation === this.#options.incarnation || this.#options.testOverrides?.noIncarnation === true
  }

  #absentView (): TaskView {
    return { phase: 'absent', everStarted: false }
  }

  #ok (taskId: TaskId): CallResult {
    return { status: 'ok', task: this.getView(taskId) }
  }

  #refuse (taskId: TaskId, reason: RefusalReason): CallResult {
    return { status: 'refused', reason, task: this.getView(taskId) }
  }

  #checkCapacity (): void {
    let slots = 0
    let accelerators = 0
    for (const { grant, accelerators: own } of this.#liveTasks.values()) {
      slots += grant.request.shape.slotsPerTask
      accelerators += own.length
      invariant(own.length === grant.request.shape.acceleratorsPerTask, 'a task holds exactly the accelerators it requested', grant)
    }
    invariant(slots === this.#usedSlots && slots <= this.#options.slots, 'used slots equal the sum over all live tasks', { slots, used: this.#usedSlots })
    const owned = this.#options.accelerators - this.#countFreeAccelerators()
    invariant(accelerators === owned, 'owned accelerators equal the sum over all live tasks', { accelerators, owned })
  }
}
