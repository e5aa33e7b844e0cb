import { IbisError, type TaskId } from '@ibisstair/common'
import { addResources, countFits, mustParseTaskId, NO_RESOURCES, type EndpointIncarnation, type EndpointRecord, type RunOutcome, type SchedulingState } from '@ibisstair/jobs'
import type { ManualTimerService, RandomSource } from '@ibisstair/timers'
import type { EndpointPort, EndReport, OrderResult, RenewOrder, RenewResult, StartOrder, StopOrder } from '../../src/index.ts'

interface FakeRun {
  readonly task: TaskId
  readonly run: number
  readonly stopTimer: () => void
}

export interface FakeFaults {
  /** Share of the calls that get no answer; half of these are carried out late. */
  lostShare: number
  /** Endpoints that receive no calls. */
  readonly unreachable: Set<EndpointIncarnation>
  readonly runMs: number
  /** Share of the runs that fail. */
  failingShare: number
}

const MAX_FAKE_WAIT_MS = 200
const LATE_ORDER_MIN_MS = 2_000
const LATE_ORDER_MAX_MS = 12_000

/** The endpoint's side of the protocol: fencing tokens, leases, run numbers and reports. */
class FakeEndpoint {
  readonly record: EndpointRecord
  readonly runs = new Map<TaskId, FakeRun>()
  readonly #fleet: FakeFleet
  readonly #highestRuns = new Map<TaskId, number>()
  #ended: EndReport[] = []
  #number = 0
  #fencingToken = 0
  #leaseUntilMs = 0
  #cancelLeaseTimer = (): void => {}

  constructor (record: EndpointRecord, fleet: FakeFleet) {
    this.record = record
    this.#fleet = fleet
  }

  get clockMs (): number {
    return this.#fleet.timers.now() + 1_000
  }

  hasUnacknowledged (ackedUpto: number): boolean {
    return this.#ended.some(({ number }) => number > ackedUpto)
  }

  start (order: StartOrder): OrderResult {
    if (!this.#accept(order.fencingToken)) return { type: 'fenced' }
    if (this.runs.get(order.task)?.run === order.run) return { type: 'ok', clockMs: this.clockMs }
    if (order.run <= (this.#highestRuns.get(order.task) ?? 0)) return { type: 'refused', reason: 'old' }
    if (order.leaseUntilMs <= this.clockMs) return { type: 'refused', reason: 'late' }
    this.#extendLease(order.leaseUntilMs)
    this.#highestRuns.set(order.task, order.run)
    const outcome: RunOutcome = this.#fleet.random.float() < this.#fleet.faults.failingShare ? 'failed' : 'done'
    const stopTimer = this.#fleet.timers.subscribe(this.#fleet.faults.runMs, () => this.#end(order.task, outcome))
    this.runs.set(order.task, { task: order.task, run: order.run, stopTimer })
    this.#fleet.recordStart(this, order)
    return { type: 'ok', clockMs: this.clockMs }
  }

  stop ({ task, run, fencingToken }: StopOrder): OrderResult {
    if (!this.#accept(fencingToken)) return { type: 'fenced' }
    this.#highestRuns.set(task, Math.max(run, this.#highestRuns.get(task) ?? 0))
    if ((this.runs.get(task)?.run ?? Infinity) <= run) this.#fleet.timers.subscribe(100, () => this.#end(task, 'stopped'))
    return { type: 'ok', clockMs: this.clockMs }
  }

  renew ({ fencingToken, ackedUpto, leaseUntilMs }: RenewOrder): RenewResult {
    if (!this.#accept(fencingToken)) return { type: 'fenced' }
    if (leaseUntilMs !== null) this.#extendLease(leaseUntilMs)
    for (const { task, number } of this.#ended) if (number <= ackedUpto) this.#fleet.recordAck(task)
    this.#ended = this.#ended.filter(({ number }) => number > ackedUpto)
    const running = [...this.runs.values()].map(({ task, run }) => ({ task, run, percent: 50 }))
    return { type: 'report', report: { clockMs: this.clockMs, running, ended: [...this.#ended], hasMore: false } }
  }

  #accept (fencingToken: number): boolean {
    if (fencingToken < this.#fencingToken) return false
    this.#fencingToken = fencingToken
    return true
  }

  #extendLease (untilMs: number): void {
    if (untilMs <= this.#leaseUntilMs) return
    this.#leaseUntilMs = untilMs
    this.#cancelLeaseTimer()
    this.#cancelLeaseTimer = this.#fleet.timers.subscribe(untilMs - this.clockMs, () => {
      for (const task of [...this.runs.keys()]) this.#end(task, 'lapsed')
      this.#fleet.recordLapse(this)
    })
  }

  #end (task: TaskId, outcome: RunOutcome): void {
    const run = this.runs.get(task)
    if (!run) return
    run.stopTimer()
    this.runs.delete(task)
    this.#ended.push({ number: ++this.#number, task, run: run.run, outcome, checkpoint: '' })
    if (outcome === 'done') this.#fleet.recordDone(this, task)
  }
}

/** A fleet of endpoints behind an unreliable network. It records violations: a task that runs twice or after it was done, and an endpoint over its capacity. */
export class FakeFleet implements EndpointPort {
  readonly timers: ManualTimerService
  readonly random: RandomSource
  readonly faults: FakeFaults
  readonly violations: string[] = []
  starts = 0
  stops = 0
  renewals = 0
  readonly #endpoints = new Map<EndpointIncarnation, FakeEndpoint>()
  /** Completed tasks. An unacknowledged one is removed when the lease of its endpoint lapses. */
  readonly #done = new Map<TaskId, { readonly endpoint: FakeEndpoint, readonly atMs: number, isAcked: boolean }>()
  readonly #state: SchedulingState

  constructor (timers: ManualTimerService, random: RandomSource, records: readonly EndpointRecord[], state: SchedulingState, faults: Partial<FakeFaults> = {}) {
    this.timers = timers
    this.random = random
    this.#state = state
    this.faults = { lostShare: 0, unreachable: new Set(), runMs: 1_000, failingShare: 0, ...faults }
    for (const record of records) this.#endpoints.set(record.life, new FakeEndpoint(record, this))
  }

  async start (endpoint: EndpointRecord, order: StartOrder, timeoutMs: number): Promise<OrderResult> {
    return await this.#call(endpoint, timeoutMs, (fake) => fake.start(order))
  }

  async stop (endpoint: EndpointRecord, order: StopOrder, timeoutMs: number): Promise<OrderResult> {
    this.stops += 1
    return await this.#call(endpoint, timeoutMs, (fake) => fake.stop(order))
  }

  async renew (endpoint: EndpointRecord, order: RenewOrder, timeoutMs: number): Promise<RenewResult> {
    this.renewals += 1
    // The answer waits for a run to end, unless there are unacknowledged ends: these are reported at once.
    const hasEnded = this.#endpoints.get(endpoint.life)!.hasUnacknowledged(order.ackedUpto)
    await this.timers.delay(hasEnded ? 0 : Math.min(order.waitMs, MAX_FAKE_WAIT_MS))
    return await this.#call(endpoint, timeoutMs, (fake) => fake.renew(order))
  }

  closeConnections (): void {}

  recordStart (endpoint: FakeEndpoint, { task, run }: StartOrder): void {
    this.starts += 1
    const holders = [...this.#endpoints.values()].filter((other) => other.runs.has(task))
    if (holders.length > 1) this.violations.push(`${task} runs twice, started as run ${run} at ${this.timers.now()} ms`)
    if (this.#done.has(task)) this.violations.push(`${task} starts after it was done`)
    const used = [...endpoint.runs.keys()].reduce((sum, name) => addResources(sum, this.#resourcesOf(name)), NO_RESOURCES)
    if (countFits(endpoint.record.capacity, used) < 1) this.violations.push(`${endpoint.record.id} is over its capacity`)
  }

  recordDone (endpoint: FakeEndpoint, task: TaskId): void {
    this.#done.set(task, { endpoint, atMs: this.timers.now(), isAcked: false })
  }

  recordAck (task: TaskId): void {
    const done = this.#done.get(task)
    if (done) done.isAcked = true
  }

  /** The scheduler may run a task again whose completion was not acknowledged before the lease lapsed. */
  recordLapse (endpoint: FakeEndpoint): void {
    for (const [task, done] of this.#done) if (done.endpoint === endpoint && !done.isAcked) this.#done.delete(task)
  }

  #resourcesOf (task: TaskId) {
    const { job, step } = mustParseTaskId(task)
    return this.#state.jobs.get(job)!.spec.steps[step]!.resources
  }

  async #call<T> ({ life: incarnation }: EndpointRecord, timeoutMs: number, execute: (fake: FakeEndpoint) => T): Promise<T> {
    const fake = this.#endpoints.get(incarnation)!
    await this.timers.delay(1)
    if (this.faults.unreachable.has(incarnation)) return await this.#loseAnswer(timeoutMs)
    if (this.random.float() >= this.faults.lostShare) return execute(fake)
    if (this.random.float() < 0.5) this.timers.subscribe(this.random.int(LATE_ORDER_MIN_MS, LATE_ORDER_MAX_MS), () => { if (!this.faults.unreachable.has(incarnation)) execute(fake) })
    return await this.#loseAnswer(timeoutMs)
  }

  async #loseAnswer (timeoutMs: number): Promise<never> {
    await this.timers.delay(timeoutMs)
    throw new IbisError('unreachable', 'no answer', { info: { reason: 'timeout' } })
  }
}
