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
 * The endpoint's side of the task protocol: who holds its slots and accelerators, until when by its
 * own clock, and which tasks have ended. One table serves one incarnation; a restarted endpoint has
 * ended all earlier tasks and begins with an empty table.
 */
export class TaskTable {
  readonly #options: TaskTableOptions
  readonly #live = new Map<TaskId, LiveTask>()
  /** In order of their end. */
  readonly #ended = new Map<TaskId, EndedTask>()
  readonly #acceleratorOwner: (TaskId | undefined)[]
  #usedSlots = 0
  #nowMs = -Infinity
  /** Finished tasks with a result to fetch, in order of their end. */
  readonly #unacknowledged = new Map<TaskId, EndedTask>()
  #unacknowledgedBytes = 0
  /** Latest end among the started tasks whose record was dropped. */
  #forgottenUpToMs = -Infinity
  #leaving = false
  #refused = 0
  #expired = 0
  #forgotten = 0

  constructor (options: TaskTableOptions) {
    this.#options = options
    this.#acceleratorOwner = new Array<TaskId | undefined>(options.accelerators).fill(undefined)
  }

  get incarnation (): number {
    return this.#options.incarnation
  }

  /** Refuses new reservations from now on; tasks that hold one continue. */
  leave (): void {
    this.#leaving = true
  }

  handle (request: TaskRequest, nowMs: number): TaskResponse {
    const effects = this.advance(nowMs)
    const result = this.#handle(request, effects)
    if (result.status === 'refused') this.#refused += 1
    this.#checkCapacity()
    return { result, effects }
  }

  /** Extends the leases of running tasks; an ended or unknown task is reported as it is. */
  renew (renewals: readonly TaskRenewal[], nowMs: number): { readonly views: readonly TaskView[], readonly effects: readonly TaskEffect[] } {
    const effects = this.advance(nowMs)
    const views = renewals.map(({ taskId, incarnation, termMs }) => {
      if (!this.#isOwnIncarnation(incarnation)) return this.#absentView()
      const task = this.#live.get(taskId)
      if (task?.phase === 'running') task.untilMs = Math.max(task.untilMs, this.#nowMs + Math.min(termMs, task.grant.leaseMs))
      return this.getView(taskId)
    })
    return { views, effects }
  }

  /** Ends expired reservations and leases and drops old records. */
  advance (nowMs: number): TaskEffect[] {
    this.#nowMs = Math.max(this.#nowMs, nowMs)
    const effects: TaskEffect[] = []
    for (const task of [...this.#live.values()]) {
      if (task.untilMs > this.#nowMs) continue
      if (this.#isExpiryOff(task.phase)) continue
      this.#expired += 1
      if (task.phase === 'running') effects.push({ type: 'kill', taskId: task.taskId })
      this.#end(task, 'expired')
    }
    this.#dropOld()
    this.#checkCapacity()
    return effects
  }

  /** The earliest time at which `advance` has something to end. */
  getNextDeadlineMs (): number | undefined {
    let next: number | undefined
    for (const { untilMs, phase } of this.#live.values()) {
      if (this.#isExpiryOff(phase)) continue
      if (next === undefined || untilMs < next) next = untilMs
    }
    return next
  }

  /** The executor reports the end of a task. A task that was stopped or expired meanwhile stays so. */
  complete (taskId: TaskId, outcome: TaskOutcome, nowMs: number): TaskEffect[] {
    const effects = this.advance(nowMs)
    const task = this.#live.get(taskId)
    if (task?.phase !== 'running') return effects
    if (outcome.state === 'failed') {
      this.#end(task, 'failed', { error: outcome.error })
      return effects
    }
    const bytes = byteLength(outcome.answer)
    if (bytes > MAX_TASK_ANSWER_BYTES) this.#end(task, 'failed', { error: 'answer-too-large' })
    else this.#end(task, 'done', { answer: { body: outcome.answer ?? null }, bytes })
    this.#checkCapacity()
    return effects
  }

  markCheckpointed (taskId: TaskId): void {
    const task = this.#live.get(taskId)
    if (task) task.checkpointed = true
  }

  getView (taskId: TaskId): TaskView {
    const task = this.#live.get(taskId)
    if (task) {
      return {
        phase: task.phase,
        everStarted: task.phase === 'running',
        ...(task.checkpointed && { checkpointed: true })
      }
    }
    const ended = this.#ended.get(taskId)
    if (!ended) return this.#absentView()
    return {
      phase: ended.phase,
      everStarted: ended.everStarted,
      ...(ended.answer && { answer: ended.answer.body }),
      ...(ended.error !== undefined && { error: ended.error }),
      ...(ended.everStarted && { runMs: ended.runMs })
    }
  }

  /** Finished tasks whose result nobody has acknowledged. */
  getUnacknowledged (): TaskListing[] {
    return this.#listUnacknowledged()
  }

  /** Tasks that a new leader has to know: those that hold capacity and those with a result to fetch. */
  list (): TaskListing[] {
    const listings: TaskListing[] = []
    for (const { taskId, grant } of this.#live.values()) listings.push({ taskId, grant, view: this.getView(taskId) })
    return [...listings, ...this.#listUnacknowledged()]
  }

  getStats (): TaskTableStats {
    return {
      freeSlots: this.#options.slots - this.#usedSlots,
      freeAccelerators: this.#countFreeAccelerators(),
      live: this.#live.size,
      ended: this.#ended.size,
      unacknowledged: this.#unacknowledged.size,
      refused: this.#refused,
      expired: this.#expired,
      forgotten: this.#forgotten
    }
  }

  #handle (request: TaskRequest, effects: TaskEffect[]): CallResult {
    if (!this.#isOwnIncarnation(request.incarnation)) return { status: 'refused', reason: 'wrong-incarnation' }
    switch (request.operation) {
      case 'reserve': return this.#reserve(request.taskId, request.grant)
      case 'arm': return this.#arm(request.taskId, request.payload)
      case 'start': return this.#start(request.taskId, effects, request.leaseMs)
      case 'run': return this.#run(request.taskId, request.grant, request.payload, effects)
      case 'checkpoint': return this.#forward(request.taskId, { type: 'checkpoint', taskId: request.taskId }, effects)
      case 'throttle': return this.#forward(request.taskId, { type: 'throttle', taskId: request.taskId, fraction: request.fraction }, effects)
      case 'stop': return this.#stop(request.taskId, request.ageMs, effects)
      case 'ack': return this.#acknowledge(request.taskId)
      case 'query': return this.#ok(request.taskId)
      default: return assertNever(request)
    }
  }

  #reserve (taskId: TaskId, grant: TaskGrant): CallResult {
    if (this.#ended.has(taskId)) return this.#refuse(taskId, 'ended')
    if (this.#live.has(taskId)) return this.#ok(taskId)
    const refusal = this.#findRefusal(grant)
    if (refusal) return this.#refuse(taskId, refusal)
    const { slotsPerTask, acceleratorsPerTask } = grant.request.shape
    const accelerators = this.#pickAccelerators(acceleratorsPerTask)
    for (const i of accelerators) this.#acceleratorOwner[i] = taskId
    this.#usedSlots += slotsPerTask
    this.#live.set(taskId, {
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
    if (this.#leaving) return 'leaving'
    if (this.#usedSlots + slotsPerTask > this.#options.slots) return 'no-capacity'
    if (acceleratorsPerTask > this.#countFreeAccelerators()) return 'no-capacity'
    if (!this.#makeRoomForResult()) return 'results-full'
    if (!this.#makeRoomForEnded()) return 'fences-full'
    return undefined
  }

  #arm (taskId: TaskId, payload: unknown): CallResult {
    const task = this.#live.get(taskId)
    if (!task) return this.#refuse(taskId, this.#ended.has(taskId) ? 'ended' : 'not-reserved')
    if (task.phase !== 'reserved') return this.#ok(taskId)
    task.phase = 'armed'
    task.payload = payload
    task.untilMs = this.#nowMs + task.grant.reservationMs
    return this.#ok(taskId)
  }

  #start (taskId: TaskId, effects: TaskEffect[], leaseMs = Infinity): CallResult {
    const task = this.#live.get(taskId)
    // The answer of a repeated start is the task's state, which says that it started before.
    if (!task) return this.#ended.get(taskId)?.everStarted ? this.#ok(taskId) : this.#refuse(taskId, this.#ended.has(taskId) ? 'ended' : 'not-reserved')
    if (task.phase === 'reserved') return this.#refuse(taskId, 'not-armed')
    if (task.phase === 'armed') this.#begin(task, effects, leaseMs)
    return this.#ok(taskId)
  }

  #run (taskId: TaskId, grant: TaskGrant, payload: unknown, effects: TaskEffect[]): CallResult {
    if (this.#ended.get(taskId)?.everStarted) return this.#ok(taskId)
    const reserved = this.#reserve(taskId, grant)
    if (reserved.status !== 'ok') return reserved
    this.#arm(taskId, payload)
    return this.#start(taskId, effects)
  }

  #begin (task: LiveTask, effects: TaskEffect[], leaseMs: number): void {
    invariant(task.untilMs > this.#nowMs || this.#options.testOverrides?.noReservationExpiry, 'a task starts only under a live reservation', task.taskId)
    task.phase = 'running'
    task.startedAtMs = this.#nowMs
    task.untilMs = this.#nowMs + Math.min(leaseMs, task.grant.leaseMs)
    const { taskId, grant, payload, accelerators } = task
    task.payload = undefined
    effects.push({ type: 'execute', taskId, grant, payload, accelerators })
  }

  #forward (taskId: TaskId, effect: TaskEffect, effects: TaskEffect[]): CallResult {
    const task = this.#live.get(taskId)
    if (task?.phase !== 'running') return this.#refuse(taskId, 'not-running')
    effects.push(effect)
    return this.#ok(taskId)
  }

  /** After an `ok` the task can never start, and its view says whether it ever did. */
  #stop (taskId: TaskId, ageMs: number | undefined, effects: TaskEffect[]): CallResult {
    const task = this.#live.get(taskId)
    if (task) {
      if (task.phase === 'running') effects.push({ type: 'kill', taskId })
      this.#end(task, 'stopped')
      return this.#ok(taskId)
    }
    if (this.#ended.has(taskId)) return this.#ok(taskId)
    if (this.#options.testOverrides?.noFence) return { status: 'ok', task: { phase: 'stopped', everStarted: false } }
    if (!this.#makeRoomForEnded()) return this.#refuse(taskId, 'fences-full')
    this.#ended.set(taskId, {
      grant: undefined,
      phase: 'stopped',
      everStarted: false,
      endedAtMs: this.#nowMs,
      runMs: 0,
      error: undefined,
      answer: undefined,
      bytes: 0
    })
    if (this.#mayHaveForgotten(ageMs)) {
      return { status: 'refused', reason: 'forgotten' satisfies RefusalReason }
    }
    return this.#ok(taskId)
  }

  #mayHaveForgotten (ageMs: number | undefined): boolean {
    if (this.#forgottenUpToMs === -Infinity) return false
    return this.#nowMs - (ageMs ?? Infinity) - STOP_DELAY_MARGIN_MS <= this.#forgottenUpToMs
  }

  #acknowledge (taskId: TaskId): CallResult {
    const ended = this.#ended.get(taskId)
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

  #end (task: LiveTask, phase: EndedTask['phase'], detail: { error?: string, answer?: { readonly body: unknown }, bytes?: number } = {}): void {
    this.#live.delete(task.taskId)
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
    this.#ended.set(task.taskId, ended)
    if (!isResult) return
    this.#unacknowledged.set(task.taskId, ended)
    this.#unacknowledgedBytes += bytes
  }

  /** Drops answers of idempotent work when the bound is reached; other answers wait for their time limit. */
  #makeRoomForResult (): boolean {
    const maxCount = this.#options.maxUnacknowledged ?? MAX_UNACKNOWLEDGED
    const maxBytes = this.#options.maxUnacknowledgedBytes ?? MAX_UNACKNOWLEDGED_BYTES
    const isFull = (): boolean => this.#unacknowledged.size + this.#live.size >= maxCount ||
      this.#unacknowledgedBytes + (this.#live.size + 1) * MAX_TASK_ANSWER_BYTES > maxBytes
    if (!isFull()) return true
    for (const [taskId, ended] of this.#unacknowledged) {
      if (!ended.grant?.request.idempotent) continue
      this.#discardAnswer(taskId, ended)
      this.#forgotten += 1
      if (!isFull()) return true
    }
    return false
  }

  /** Forgets idempotent work when the bound is reached; a record that protects other work stays for its time limit. */
  #makeRoomForEnded (): boolean {
    const max = this.#options.maxEnded ?? MAX_ENDED_TASKS
    const isFull = (): boolean => this.#ended.size + this.#live.size >= max
    if (!isFull()) return true
    for (const [taskId, ended] of this.#ended) {
      if (!ended.grant?.request.idempotent) continue
      this.#forget(taskId, ended)
      if (!isFull()) return true
    }
    return false
  }

  #dropOld (): void {
    const endedBefore = this.#nowMs - (this.#options.endedTtlMs ?? ENDED_TTL_MS)
    const unacknowledgedBefore = this.#nowMs - (this.#options.unacknowledgedTtlMs ?? UNACKNOWLEDGED_TTL_MS)
    for (const [taskId, ended] of this.#ended) {
      if (ended.endedAtMs > endedBefore) break
      this.#forget(taskId, ended)
    }
    for (const [taskId, ended] of this.#unacknowledged) {
      if (ended.endedAtMs > unacknowledgedBefore) break
      this.#forgotten += 1
      this.#discardAnswer(taskId, ended)
    }
  }

  #forget (taskId: TaskId, ended: EndedTask): void {
    this.#discardAnswer(taskId, ended)
    this.#ended.delete(taskId)
    this.#forgotten += 1
    if (ended.everStarted) this.#forgottenUpToMs = Math.max(this.#forgottenUpToMs, ended.endedAtMs)
  }

  /** Adjacent accelerators where a free run is long enough (the shortest such run), otherwise the lowest free ones. */
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

  #isExpiryOff (phase: LiveTask['phase']): boolean {
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
    for (const { grant, accelerators: own } of this.#live.values()) {
      slots += grant.request.shape.slotsPerTask
      accelerators += own.length
      invariant(own.length === grant.request.shape.acceleratorsPerTask, 'a task holds the accelerators it asked for', grant)
    }
    invariant(slots === this.#usedSlots && slots <= this.#options.slots, 'slots are conserved', { slots, used: this.#usedSlots })
    const owned = this.#options.accelerators - this.#countFreeAccelerators()
    invariant(accelerators === owned, 'accelerators are conserved', { accelerators, owned })
  }
}
