import { asId, type JobId, type RackId, type TaskId } from '@ibisstair/common'
import { mustParseTaskId, SchedulingState, toEndpointIncarnation, type ActiveRun, type EndpointIncarnation, type EndpointRecord, type JobSpec, type Resources, type RunOutcome, type StepSpec } from '@ibisstair/jobs'
import { accept, createEndpoint, createSpec, createStep, register } from '../../../jobs/tests/support/samples.ts'
import { NO_SCHEDULING_POLICY, Planner, type SchedulingPolicy } from '../../src/index.ts'
import { StallObserver } from './stall-observer.ts'
import { createFleetView } from './fleet-view.ts'

export const ACCELERATORS = 8
const PASS_MS = 100
const CAPACITY: Resources = { cpuMilli: 32_000, memMb: 131_072, accelerators: ACCELERATORS }

/** Time from an order to stop a run, or from the loss of a member of its gang, until the run has ended. */
const STOP_MS = 300

export interface FleetOptions {
  /** Runs end after the estimate of their step; otherwise nothing ends by itself. */
  readonly endsRuns?: boolean
  readonly capacity?: Resources
  readonly policy?: SchedulingPolicy
}

/** Racks with the given numbers of endpoints; every start succeeds. Time is virtual, and a pass is planned each 100 ms. */
export class Fleet {
  readonly state = new SchedulingState()
  readonly observer = new StallObserver()
  /** Stops of each task that the planner has chosen. */
  readonly stops = new Map<TaskId, number>()
  /** Searches for victims that failed since stops are limited. */
  limited = 0
  readonly #policy: SchedulingPolicy
  #planner = new Planner()
  readonly #endsRuns: boolean
  readonly #capacity: Resources
  readonly #unusableUntilMs = new Map<EndpointIncarnation, number>()
  readonly #endAtMs = new Map<TaskId, { readonly run: number, readonly atMs: number, readonly outcome: RunOutcome }>()
  #endpoints: EndpointRecord[] = []
  #lastBornMs = 1
  nowMs = 0

  constructor (racks: readonly number[], { endsRuns = false, capacity = CAPACITY, policy = NO_SCHEDULING_POLICY }: FleetOptions = {}) {
    this.#endsRuns = endsRuns
    this.#capacity = capacity
    this.#policy = policy
    racks.forEach((count, rack) => {
      for (let i = 0; i < count; i++) this.addEndpoint(rack, i)
    })
  }

  get endpoints (): readonly EndpointRecord[] {
    return this.#endpoints
  }

  listRack (rack: number): EndpointRecord[] {
    return this.#endpoints.filter((endpoint) => endpoint.rack === `r${rack}`)
  }

  addEndpoint (rack: number, i: number, part: Partial<EndpointRecord> = {}): void {
    this.#put(createEndpoint(`w${rack}-${i}`, { address: `10.0.${rack}.${i}:1`, rack: asId<RackId>(`r${rack}`), capacity: this.#capacity, ...part }))
  }

  submit (id: string, step: Partial<StepSpec>, part: Partial<JobSpec>): void {
    this.submitSteps(id, [step], part)
  }

  submitSteps (id: string, steps: ReadonlyArray<Partial<StepSpec>>, part: Partial<JobSpec>): void {
    const all = steps.map((step) => createStep({ resources: { cpuMilli: 1_000, memMb: 100, accelerators: 1 }, estimateMs: 2_500, ...step }))
    this.state.apply(accept(createSpec(id, all, part), this.nowMs))
  }

  cancel (id: string): void {
    this.state.apply({ type: 'cancel', job: asId<JobId>(id), atMs: this.nowMs })
    for (const run of this.#listRuns(id)) this.#endAfter(run, STOP_MS, 'stopped')
  }

  run (ms: number): void {
    const endMs = this.nowMs + ms
    for (; this.nowMs < endMs; this.nowMs += PASS_MS) {
      this.#endRuns()
      const { starts, preempted, limited } = this.#planner.plan({
        state: this.state,
        fleet: createFleetView({ isUsable: (endpoint) => this.#isUsable(endpoint), estimateRemainingMs: ({ task }) => this.#getRemainingMs(task) }),
        nowMs: this.nowMs,
        wallMs: this.nowMs,
        mayPreempt: true,
        policy: this.#policy
      })
      this.state.apply({ type: 'start', groups: starts, atMs: this.nowMs })
      this.#handleStarted()
      this.limited += limited
      for (const task of preempted) this.#stopWithGang(task)
      for (const task of preempted) this.stops.set(task, (this.stops.get(task) ?? 0) + 1)
      this.observer.observe(this.state, (endpoint) => this.#isUsable(endpoint), this.nowMs)
    }
  }

  /** Takes the endpoints out of use: what runs there goes on, and nothing new is placed. */
  takeOutOfUse (endpoints: readonly EndpointRecord[], ms: number): void {
    for (const { life } of endpoints) this.#unusableUntilMs.set(life, this.nowMs + ms)
  }

  changeCapacity (endpoints: readonly EndpointRecord[], capacity: Resources): void {
    for (const endpoint of endpoints) this.#put({ ...this.#find(endpoint), capacity })
  }

  changeLabels (endpoint: EndpointRecord, labels: readonly string[]): void {
    this.#put({ ...this.#find(endpoint), labels })
  }

  drain (endpoints: readonly EndpointRecord[]): void {
    for (const endpoint of endpoints) this.#put({ ...this.#find(endpoint), draining: true })
  }

  remove (endpoint: EndpointRecord): void {
    this.#stopGangsOn(endpoint)
    this.#endpoints = this.#endpoints.filter(({ life }) => life !== endpoint.life)
    this.state.apply({ type: 'remove-endpoint', life: endpoint.life, atMs: this.nowMs, hasEnded: true, cause: 'left' })
  }

  /** Takes away an endpoint on which the job runs. */
  removeEndpointOf (id: string): void {
    this.remove(this.#endpoints.find(({ life }) => this.#listRuns(id).some(({ endpoint }) => endpoint === life))!)
  }

  /** The endpoint has crashed some time ago and returns empty; the runs on it may be to blame. */
  crash (endpoint: EndpointRecord, agoMs = 0): void {
    this.#stopGangsOn(endpoint)
    this.#lastBornMs = Math.max(this.#lastBornMs + 1, this.nowMs)
    const record = { ...this.#find(endpoint), life: toEndpointIncarnation(endpoint.id, this.#lastBornMs), bornMs: this.#lastBornMs, draining: false }
    const silences = [{ life: endpoint.life, sinceMs: this.nowMs - agoMs, together: [] }]
    this.#endpoints = [...this.#endpoints.filter(({ life }) => life !== endpoint.life), record]
    this.state.apply({ type: 'register-endpoint', endpoint: record, atMs: this.nowMs, silences })
  }

  /** A new leader plans from the replicated state alone. */
  changeLeader (): void {
    this.#planner = new Planner()
  }

  countRunning (id: string): number {
    return this.state.jobs.get(asId<JobId>(id))!.activeRuns
  }

  /** Returns an endpoint on which the job runs, of runs that started at the given time or later. */
  findEndpointOf (id: string, { startedAfterMs = 0 } = {}): EndpointRecord | undefined {
    const run = this.#listRuns(id).find(({ startedAtMs }) => startedAtMs >= startedAfterMs)
    return this.#endpoints.find(({ life }) => life === run?.endpoint)
  }

  #listRuns (id: string): ActiveRun[] {
    return [...this.state.endpoints.list()].flatMap(({ life }) => [...this.state.jobs.listRuns(life).values()]).filter(({ task }) => mustParseTaskId(task).job === id)
  }

  #find ({ life }: EndpointRecord): EndpointRecord {
    return this.state.endpoints.get(life)!
  }

  #put (endpoint: EndpointRecord): void {
    this.#endpoints = [...this.#endpoints.filter(({ life }) => life !== endpoint.life), endpoint]
    this.state.apply(register(endpoint, this.nowMs))
  }

  #isUsable ({ life, draining }: EndpointRecord): boolean {
    return !draining && this.nowMs >= (this.#unusableUntilMs.get(life) ?? 0)
  }

  #getRemainingMs (task: TaskId): number | null {
    const end = this.#endAtMs.get(task)
    return end ? end.atMs - this.nowMs : null
  }

  #handleStarted (): void {
    if (!this.#endsRuns) return
    for (const { life } of this.#endpoints) {
      for (const run of this.state.jobs.listRuns(life).values()) {
        if (run.startedAtMs !== this.nowMs) continue
        const { job, step } = mustParseTaskId(run.task)
        const { longRunning, estimateMs } = this.state.jobs.get(job)!.spec.steps[step]!
        if (!longRunning) this.#endAfter(run, estimateMs, 'done')
      }
    }
  }

  #endAfter ({ task, run }: ActiveRun, ms: number, outcome: RunOutcome): void {
    const known = this.#endAtMs.get(task)
    if (known?.run === run && known.atMs <= this.nowMs + ms) return
    this.#endAtMs.set(task, { run, atMs: this.nowMs + ms, outcome })
  }

  #stopWithGang (task: TaskId): void {
    const { job: id, occurrence, step } = mustParseTaskId(task)
    const isGang = this.state.jobs.get(id)!.spec.steps[step]!.gang
    for (const run of this.#listRuns(id)) {
      const ref = mustParseTaskId(run.task)
      if (run.task === task || (isGang && ref.occurrence === occurrence && ref.step === step)) this.#endAfter(run, STOP_MS, 'stopped')
    }
  }

  #stopGangsOn ({ life }: EndpointRecord): void {
    for (const { task } of this.state.jobs.listRuns(life).values()) {
      const { job, step } = mustParseTaskId(task)
      if (this.state.jobs.get(job)!.spec.steps[step]!.gang) this.#stopWithGang(task)
    }
  }

  #endRuns (): void {
    for (const { life } of this.#endpoints) {
      const ends = [...this.state.jobs.listRuns(life).values()].flatMap(({ task, run }) => {
        const end = this.#endAtMs.get(task)
        return end?.run === run && end.atMs <= this.nowMs ? [{ task, run, outcome: end.outcome, checkpoint: '' }] : []
      })
      if (ends.length > 0) this.state.apply({ type: 'end', endpoint: life, ends, atMs: this.nowMs })
      for (const { task } of ends) this.#endAtMs.delete(task)
    }
  }
}
