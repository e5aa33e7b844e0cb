import { asId, IbisError, type EndpointId, type JobId, type TaskId } from '@ibisstair/common'
import { addResources, mustParseTaskId, NO_RESOURCES, toEndpointIncarnation, type EndpointIncarnation, type EndpointRecord, type Resources, type RunOutcome, type SchedulingState } from '@ibisstair/jobs'
import type { ManualTimerService, RandomSource } from '@ibisstair/timers'
import type { EndpointPort, EndReport, OrderResult, RenewOrder, RenewResult, RunReport, StartOrder, StopOrder } from '../../src/index.ts'

interface FakeRun {
  readonly task: TaskId
  readonly run: number
  readonly stopTimer: () => void
  readonly startedAtMs: number
}

export interface FakeFaults {
  /** Share of the calls that get no answer; half of these are carried out late. */
  lostShare: number
  /** Endpoints that receive no calls. */
  readonly unreachable: Set<EndpointIncarnation>
  readonly runMs: number
  /** Factor of the run time on slow endpoints; their runs report true progress, like all others. */
  readonly slowness: Map<EndpointId, number>
  /** Share of the runs that fail. */
  failingShare: number
  /** Tasks that crash each endpoint on which they start. */
  readonly crashingTasks: Set<TaskId>
  /** Time between the start of such a task and the crash. */
  crashAfterMs: number
  /** Runs that every endpoint reports besides its own. */
  strayRuns: readonly RunReport[]
  /** Endpoints that announce themselves, behind a partition that refuses connections to them. */
  readonly refusingConnections: Set<EndpointIncarnation>
  /** Endpoints that announce themselves but answer no call. */
  readonly hanging: Set<EndpointIncarnation>
  /** Endpoints that answer every call with a refusal, and do nothing. */
  readonly refusing: Set<EndpointIncarnation>
  /** Endpoints that refuse starts only. */
  readonly refusingStarts: Set<EndpointIncarnation>
  /** Endpoints on which every run fails soon. */
  readonly failing: Set<EndpointIncarnation>
}

/** An endpoint as it is, whatever the scheduler knows of it. */
export interface FakeEndpointView {
  readonly record: EndpointRecord
  readonly bornAtMs: number
  readonly tasks: readonly TaskId[]
  /** Whether it is reachable and does what it is told. */
  readonly isSound: boolean
}

const FAILURE_MS = 50

/** Time from the order to stop a run until it has ended. */
const STOP_MS = 100

/** Ends that one report lists; the others follow once these are acknowledged. */
export const MAX_ENDS_PER_REPORT = 500

/** Longest lease that an endpoint accepts. */
export const LEASE_MAX_MS = 6_000

/** A crashed endpoint returns after this time at the same address under a new id. */
export const RESTART_MS = 3_000

/** A capacity that has shrunk counts for starts after this time, in which the scheduler must learn of it. */
export const SHRINK_GRACE_MS = 3_500

const MAX_FAKE_WAIT_MS = 200
const LATE_ORDER_MIN_MS = 2_000
const LATE_ORDER_MAX_MS = 12_000

/** The endpoint's side of the protocol: fencing tokens, leases, run numbers and reports. */
class FakeEndpoint {
  record: EndpointRecord
  /** Earlier capacities that a start may still go by. */
  readonly #recentCapacities = new Set<Resources>()
  isCrashed = false
  /** Has taken this endpoint's place under its id. */
  successor: FakeEndpoint | null = null
  readonly bornAtMs: number
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
    this.bornAtMs = fleet.timers.now()
  }

  setCapacity (part: Partial<Resources>): void {
    const before = this.record.capacity
    this.record = { ...this.record, capacity: { ...before, ...part } }
    this.#recentCapacities.add(before)
    this.#fleet.timers.subscribe(SHRINK_GRACE_MS, () => { this.#recentCapacities.delete(before) })
  }

  /** Whether the resources fit into the capacity, or into the largest one of late. */
  hasRoomFor (used: Resources): boolean {
    const capacities = [this.record.capacity, ...this.#recentCapacities]
    const maxOf = (key: keyof Resources): number => Math.max(...capacities.map((capacity) => capacity[key]))
    return used.cpuMilli <= maxOf('cpuMilli') && used.memMb <= maxOf('memMb') && used.accelerators <= maxOf('accelerators')
  }

  /** Whether a start may still go by an earlier capacity. */
  get hasChangedCapacity (): boolean {
    return this.#recentCapacities.size > 0
  }

  get clockMs (): number {
    return this.#fleet.timers.now() - this.bornAtMs + 1_000
  }

  hasUnacknowledged (ackedUpto: number): boolean {
    return this.#ended.some(({ number }) => number > ackedUpto)
  }

  start (order: StartOrder): OrderResult {
    // An endpoint that is not healthy has done nothing: it does not even take note of the fencing token.
    if (this.#fleet.faults.refusingStarts.has(this.record.life)) return { type: 'refused', reason: 'status-503' }
    if (!this.#accept(order.fencingToken)) return { type: 'fenced' }
    if (order.leaseUntilMs <= this.clockMs) return { type: 'refused', reason: 'late' }
    // The lease is for all that runs here, and is taken from a start that is refused, too.
    this.#extendLease(order.leaseUntilMs)
    if (this.runs.get(order.task)?.run === order.run) return { type: 'ok', clockMs: this.clockMs }
    if (order.run <= (this.#highestRuns.get(order.task) ?? 0)) return { type: 'refused', reason: 'old' }
    if (this.runs.has(order.task)) this.#fleet.violations.push(`${order.task} runs twice on ${this.record.life}, started as run ${order.run}`)
    this.#highestRuns.set(order.task, order.run)
    if (this.#fleet.faults.crashingTasks.has(order.task)) this.#fleet.timers.subscribe(this.#fleet.faults.crashAfterMs, () => { if (this.runs.get(order.task)?.run === order.run) this.#fleet.crash(this.record.life) })
    const isFailing = this.#fleet.faults.failing.has(this.record.life)
    const outcome: RunOutcome = isFailing || this.#fleet.random.float() < this.#fleet.faults.failingShare ? 'failed' : 'done'
    const endsByItself = isFailing || !this.#fleet.isLasting(order.task)
    const stopTimer = endsByItself ? this.#fleet.timers.subscribe(isFailing ? FAILURE_MS : this.#runMs, () => this.#end(order.task, order.run, outcome)) : () => {}
    this.runs.set(order.task, { task: order.task, run: order.run, stopTimer, startedAtMs: this.#fleet.timers.now() })
    this.#fleet.recordStart(this, order)
    return { type: 'ok', clockMs: this.clockMs }
  }

  stop ({ task, run, fencingToken }: StopOrder): OrderResult {
    if (!this.#accept(fencingToken)) return { type: 'fenced' }
    this.#highestRuns.set(task, Math.max(run, this.#highestRuns.get(task) ?? 0))
    const present = this.runs.get(task)?.run ?? Infinity
    if (present <= run) this.#fleet.timers.subscribe(STOP_MS, () => this.#end(task, present, 'stopped'))
    return { type: 'ok', clockMs: this.clockMs }
  }

  renew ({ fencingToken, ackedUpto, leaseUntilMs }: RenewOrder): RenewResult {
    if (!this.#accept(fencingToken)) return { type: 'fenced' }
    if (leaseUntilMs !== null) this.#extendLease(leaseUntilMs)
    for (const { task, run, number } of this.#ended) if (number <= ackedUpto) this.#fleet.recordAck(this, task, run)
    this.#ended = this.#ended.filter(({ number }) => number > ackedUpto)
    const running = [...this.#fleet.faults.strayRuns, ...[...this.runs.values()].map(({ task, run, startedAtMs }) => ({ task, run, percent: Math.min(100, Math.floor(100 * (this.#fleet.timers.now() - startedAtMs) / this.#runMs)) }))]
    return { type: 'report', report: { clockMs: this.clockMs, running, ended: this.#ended.slice(0, MAX_ENDS_PER_REPORT), hasMore: this.#ended.length >= MAX_ENDS_PER_REPORT } }
  }

  get #runMs (): number {
    return this.#fleet.faults.runMs * (this.#fleet.faults.slowness.get(this.record.id) ?? 1)
  }

  /** Ends the process: its runs are gone, and nothing is reported about them. */
  crash (): void {
    this.isCrashed = true
    this.#cancelLeaseTimer()
    for (const { stopTimer } of this.runs.values()) stopTimer()
    this.runs.clear()
  }

  #accept (fencingToken: number): boolean {
    if (fencingToken < this.#fencingToken) return false
    this.#fencingToken = fencingToken
    return true
  }

  /** A longer lease is shortened: a renewal that was meant for an earlier life goes by another clock. */
  #extendLease (orderedUntilMs: number): void {
    const untilMs = Math.min(orderedUntilMs, this.clockMs + LEASE_MAX_MS)
    if (untilMs <= this.#leaseUntilMs) return
    this.#leaseUntilMs = untilMs
    this.#cancelLeaseTimer()
    this.#cancelLeaseTimer = this.#fleet.timers.subscribe(untilMs - this.clockMs, () => {
      for (const { task, run } of [...this.runs.values()]) this.#end(task, run, 'lapsed')
      this.#fleet.recordLapse(this)
    })
  }

  #end (task: TaskId, run: number, outcome: RunOutcome): void {
    const present = this.runs.get(task)
    if (present?.run !== run) return
    present.stopTimer()
    this.runs.delete(task)
    this.#ended.push({ number: ++this.#number, task, run, outcome, checkpoint: '' })
    if (outcome === 'done') this.#fleet.recordDone(this, task, run)
  }
}

const findSuccessor = (fake: FakeEndpoint): FakeEndpoint => fake.successor ? findSuccessor(fake.successor) : fake

/** A fleet of endpoints behind an unreliable network. It records violations: a task that runs twice or after it was done, and an endpoint over its capacity. */
export class FakeFleet implements EndpointPort {
  readonly timers: ManualTimerService
  readonly random: RandomSource
  readonly faults: FakeFaults
  readonly violations: string[] = []
  /** Tasks that ran on each crashed endpoint, in order of the crashes. */
  readonly crashes: Array<readonly TaskId[]> = []
  readonly startsByTask = new Map<TaskId, number>()
  starts = 0
  stops = 0
  mostStopsAtOnce = 0
  #stopsInProgress = 0
  renewals = 0
  readonly #endpoints = new Map<EndpointIncarnation, FakeEndpoint>()
  /** Completed tasks. An unacknowledged one is removed when the lease of its endpoint lapses. */
  readonly #done = new Map<TaskId, { readonly endpoint: FakeEndpoint, readonly run: number, isAcked: boolean }>()
  readonly #getState: () => SchedulingState

  constructor (timers: ManualTimerService, random: RandomSource, records: readonly EndpointRecord[], getState: () => SchedulingState, faults: Partial<FakeFaults> = {}) {
    this.timers = timers
    this.random = random
    this.#getState = getState
    this.faults = { lostShare: 0, unreachable: new Set(), runMs: 1_000, slowness: new Map(), failingShare: 0, crashingTasks: new Set(), crashAfterMs: 10, strayRuns: [], refusingConnections: new Set(), hanging: new Set(), refusing: new Set(), refusingStarts: new Set(), failing: new Set(), ...faults }
    for (const record of records) this.#endpoints.set(record.life, new FakeEndpoint(record, this))
  }

  async start (endpoint: EndpointRecord, order: StartOrder, timeoutMs: number): Promise<OrderResult> {
    return await this.#call(endpoint, timeoutMs, (fake) => fake.start(order))
  }

  async stop (endpoint: EndpointRecord, order: StopOrder, timeoutMs: number): Promise<OrderResult> {
    this.stops += 1
    this.mostStopsAtOnce = Math.max(this.mostStopsAtOnce, ++this.#stopsInProgress)
    try {
      return await this.#call(endpoint, timeoutMs, (fake) => fake.stop(order))
    } finally {
      this.#stopsInProgress -= 1
    }
  }

  async renew (endpoint: EndpointRecord, order: RenewOrder, timeoutMs: number): Promise<RenewResult> {
    this.renewals += 1
    // The answer waits for a run to end, unless there are unacknowledged ends: these are reported at once.
    const hasEnded = this.#endpoints.get(endpoint.life)!.hasUnacknowledged(order.ackedUpto)
    await this.timers.delay(hasEnded ? 0 : Math.min(order.waitMs, MAX_FAKE_WAIT_MS))
    return await this.#call(endpoint, timeoutMs, (fake) => {
      const result = fake.renew(order)
      return fake.record.life === endpoint.life || result.type !== 'report' ? result : { type: 'wrong-incarnation', successorReport: result.report }
    })
  }

  closeConnections (): void {}

  /** What the running endpoints announce. */
  listRecords (): EndpointRecord[] {
    return [...this.#endpoints.values()].filter(({ isCrashed }) => !isCrashed).map(({ record }) => record)
  }

  /** The endpoint's own clock, which it tells with each announcement. */
  readClock (life: EndpointIncarnation): number {
    return this.#endpoints.get(life)!.clockMs
  }

  /** The endpoints that run, with what they run. */
  listViews (): FakeEndpointView[] {
    const { unreachable, refusingConnections, hanging, refusing, refusingStarts, failing } = this.faults
    const faulty = [unreachable, refusingConnections, hanging, refusing, refusingStarts, failing]
    return [...this.#endpoints.values()].filter(({ isCrashed }) => !isCrashed).map(({ record, bornAtMs, runs }) =>
      ({ record, bornAtMs, tasks: [...runs.keys()], isSound: !faulty.some((set) => set.has(record.life)) }))
  }

  /** Whether a capacity has changed within `SHRINK_GRACE_MS`. */
  get hasChangedCapacity (): boolean {
    return [...this.#endpoints.values()].some(({ hasChangedCapacity }) => hasChangedCapacity)
  }

  /** Returns what is wrong with an endpoint. */
  describe (life: EndpointIncarnation): string {
    const fake = this.#endpoints.get(life)!
    const successor = fake.successor && findSuccessor(fake)
    const faults = (['unreachable', 'refusingConnections', 'hanging', 'refusing', 'refusingStarts', 'failing'] as const).filter((name) => this.faults[name].has(life))
    const states = [...fake.isCrashed ? ['gone'] : [], ...faults, ...successor ? [`now ${successor.record.life}: ${this.describe(successor.record.life)}`] : []]
    return states.join(', ') || 'sound'
  }

  /** Whether an endpoint has completed the task, though the scheduler may not know it yet. */
  isDone (task: TaskId): boolean {
    return this.#done.has(task)
  }

  /** Makes an endpoint announce that it will leave. */
  drain (incarnation: EndpointIncarnation): void {
    const fake = this.#endpoints.get(incarnation)
    if (fake) fake.record = { ...fake.record, draining: true }
  }

  /** Whether the task runs until it is stopped. */
  isLasting (task: TaskId): boolean {
    const { job, step } = mustParseTaskId(task)
    return this.#getState().jobs.get(job)?.spec.steps[step]!.longRunning ?? false
  }

  /** Crashes an endpoint, which returns after `RESTART_MS`. */
  crash (incarnation: EndpointIncarnation): void {
    const fake = this.#endpoints.get(incarnation)
    if (!fake || fake.isCrashed) return
    this.crashes.push([...fake.runs.keys()])
    fake.crash()
    // What was not acknowledged before the crash is unknown, so that the task may run again.
    this.recordLapse(fake)
    this.timers.subscribe(RESTART_MS, () => this.#restart(fake.record))
  }

  /** Ends an endpoint, which does not return; its address refuses connections. */
  end (incarnation: EndpointIncarnation): void {
    const fake = this.#endpoints.get(incarnation)
    if (!fake || fake.isCrashed) return
    fake.crash()
    this.recordLapse(fake)
  }

  /** Crashes an endpoint, which is back at once under its id; calls to the earlier incarnation reach the new one. */
  restartUnderId (incarnation: EndpointIncarnation): void {
    const fake = this.#endpoints.get(incarnation)
    if (!fake || fake.isCrashed) return
    fake.crash()
    this.recordLapse(fake)
    const bornMs = this.timers.wallClock()
    const successor = new FakeEndpoint({ ...fake.record, bornMs, life: toEndpointIncarnation(fake.record.id, bornMs) }, this)
    fake.successor = successor
    this.#endpoints.set(successor.record.life, successor)
  }

  /** Adds an endpoint, which announces itself from now on. */
  add (record: EndpointRecord): void {
    this.#endpoints.set(record.life, new FakeEndpoint(record, this))
  }

  setCapacity (id: EndpointId, capacity: Partial<Resources>): void {
    for (const fake of this.#endpoints.values()) if (fake.record.id === id) fake.setCapacity(capacity)
  }

  /** Returns how many endpoints crashed while a task of the job ran there. */
  countCrashesUnder (job: string): number {
    return this.crashes.filter((tasks) => tasks.some((task) => mustParseTaskId(task).job === asId<JobId>(job))).length
  }

  #restart (record: EndpointRecord): void {
    const id = asId<EndpointId>(`${record.id}x`)
    const bornMs = this.timers.wallClock()
    this.#endpoints.set(toEndpointIncarnation(id, bornMs), new FakeEndpoint({ ...record, id, bornMs, life: toEndpointIncarnation(id, bornMs) }, this))
  }

  recordStart (endpoint: FakeEndpoint, { task, run }: StartOrder): void {
    this.starts += 1
    this.startsByTask.set(task, (this.startsByTask.get(task) ?? 0) + 1)
    const holders = [...this.#endpoints.values()].filter((other) => other.runs.has(task))
    if (holders.length > 1) this.violations.push(`${task} runs twice, started as run ${run} at ${this.timers.now()} ms`)
    if (this.#done.has(task)) this.violations.push(`${task} starts as run ${run} on ${endpoint.record.life} at ${this.timers.now()} ms after it was done on ${this.#done.get(task)!.endpoint.record.life}`)
    const used = [...endpoint.runs.keys()].reduce((sum, name) => addResources(sum, this.#resourcesOf(name)), NO_RESOURCES)
    if (!endpoint.hasRoomFor(used)) this.violations.push(`${endpoint.record.id} is over its capacity`)
  }

  recordDone (endpoint: FakeEndpoint, task: TaskId, run: number): void {
    this.#done.set(task, { endpoint, run, isAcked: false })
  }

  recordAck (endpoint: FakeEndpoint, task: TaskId, run: number): void {
    const done = this.#done.get(task)
    if (done?.endpoint === endpoint && done.run === run) done.isAcked = true
  }

  /** The scheduler may run a task again whose completion was not acknowledged before the lease lapsed. */
  recordLapse (endpoint: FakeEndpoint): void {
    for (const [task, done] of this.#done) if (done.endpoint === endpoint && !done.isAcked) this.#done.delete(task)
  }

  #resourcesOf (task: TaskId) {
    const { job, step } = mustParseTaskId(task)
    return this.#getState().jobs.get(job)!.spec.steps[step]!.resources
  }

  async #call<T> ({ life: incarnation }: EndpointRecord, timeoutMs: number, execute: (fake: FakeEndpoint) => T): Promise<T> {
    const called = this.#endpoints.get(incarnation)!
    await this.timers.delay(1)
    const fake = findSuccessor(called)
    if (fake.isCrashed || this.faults.refusingConnections.has(fake.record.life)) throw new IbisError('unreachable', 'connection refused', { info: { reason: 'connect', code: 'ECONNREFUSED' } })
    if (this.faults.refusing.has(fake.record.life)) return { type: 'refused', reason: 'status-503' } as T
    if (this.faults.hanging.has(fake.record.life)) return await this.#loseAnswer(timeoutMs)
    if (this.faults.unreachable.has(incarnation) || this.faults.unreachable.has(fake.record.life)) return await this.#loseAnswer(timeoutMs)
    if (this.random.float() >= this.faults.lostShare) return execute(fake)
    if (this.random.float() < 0.5) this.timers.subscribe(this.random.int(LATE_ORDER_MIN_MS, LATE_ORDER_MAX_MS), () => { if (!this.faults.unreachable.has(incarnation) && !fake.isCrashed) execute(fake) })
    return await this.#loseAnswer(timeoutMs)
  }

  async #loseAnswer (timeoutMs: number): Promise<never> {
    await this.timers.delay(timeoutMs)
    throw new IbisError('unreachable', 'no answer', { info: { reason: 'timeout' } })
  }
}
