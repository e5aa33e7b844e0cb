import { asId, type CustomerId, type DomainId, type EndpointId, type TaskId } from '@ibisstair/common'
import { LearnedHistory, Planner, type SchedulingPolicy } from '@ibisstair/dispatch'
import { mustParseTaskId, SchedulingState, toEndpointIncarnation, toTaskId, type EndpointIncarnation, type RunOutcome, type StartGroup } from '@ibisstair/jobs'
import { Metrics } from '@ibisstair/telemetry'
import { ManualTimerService, type RandomSource, type Unsubscribe } from '@ibisstair/timers'
import { createFleetView } from '../../packages/dispatch/tests/support/fleet-view.ts'
import { summarizeCredit, type CreditSummary } from './credit.ts'
import { SpeedKnowledge, type Knowledge } from './speed-knowledge.ts'
import { ARRIVALS_MS, createArrivals, ENDPOINT_CAPACITY, toRack, type Arrival, type Fleet, type Pattern } from './workload.ts'

const DEFAULT_SPEEDS = [0.8, 1, 1.25]
const PASS_DELAY_MS = 8
/** Time after its start from which the progress of a run is known. */
const REPORT_DELAY_MS = 1_000
/** Time from the last arrival to the end; longer for tails on slow endpoints. */
const SETTLE_MS = 30_000
const SETTLE_WITH_TAILS_MS = 120_000
const CORES_PER_ACCELERATOR = 8
const GUARANTEED_SHARE = 0.3

const NO_LOGGER = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }

export interface SimulationOptions {
  /** Whether run times are learned from ends; otherwise the submitted estimates count. */
  readonly learnsRunTimes: boolean
  readonly policy: SchedulingPolicy
  /** What the planner knows of the speeds of endpoints. */
  readonly knowledge: Knowledge
}

export interface SimulationResult extends CreditSummary {
  /** Core seconds of work that was stopped without a checkpoint. */
  readonly lostWorkCoreS: number
  readonly preemptedCount: number
  /** Largest number of stops of one task. */
  readonly maxStops: number
}

interface Run {
  readonly task: TaskId
  readonly incarnation: EndpointIncarnation
  readonly startedAtMs: number
  readonly speed: number
  /** Work that was left at its start, and what of it is lost time. */
  readonly workMs: number
  readonly stallMs: number
  readonly endsAtMs: number
  stopTimer: Unsubscribe
}

/** Simulates one pattern in virtual time with the planner's decisions; starts and stops always succeed, and ends are reported at once. */
export class Simulation {
  readonly #timers = new ManualTimerService()
  readonly #state = new SchedulingState()
  readonly #planner = new Planner()
  readonly #history: LearnedHistory | null
  readonly #fleet: Fleet
  readonly #pattern: Pattern
  readonly #policy: SchedulingPolicy
  readonly #random: RandomSource
  readonly #stops = new Map<TaskId, number>()
  readonly #arrivals: readonly Arrival[]
  readonly #arrivalsByJob: ReadonlyMap<string, Arrival>
  readonly #signedSpeeds = new Map<EndpointIncarnation, number>()
  readonly #speeds: SpeedKnowledge
  readonly #runs = new Map<TaskId, Run>()
  readonly #checkpointedMs = new Map<string, number>()
  readonly #endedAtMs = new Map<string, number>()
  readonly #cancelled = new Set<string>()
  readonly #fleetView = createFleetView({
    isUsable: ({ id }) => !this.#isGone(id),
    estimateRemainingMs: ({ task }) => this.#estimateRemainingMs(task),
    isSpeedKnown: (endpoint) => this.#speeds.isKnown(endpoint),
    getSpeed: (endpoint) => this.#speeds.getSpeed(endpoint, this.#signedSpeeds)
  })

  #isPassScheduled = false
  #lostWorkCoreS = 0
  #preemptedCount = 0

  constructor (random: RandomSource, fleet: Fleet, pattern: Pattern, { learnsRunTimes, policy, knowledge }: SimulationOptions) {
    this.#history = learnsRunTimes ? this.#createHistory() : null
    this.#fleet = fleet
    this.#pattern = pattern
    this.#policy = policy
    this.#random = random
    this.#arrivals = createArrivals(random, fleet, pattern)
    this.#arrivalsByJob = new Map(this.#arrivals.map((arrival) => [arrival.spec.id, arrival]))
    for (let i = 0; i < fleet.endpoints; i++) this.#register(i, random.pick(fleet.speeds ?? DEFAULT_SPEEDS)!)
    this.#speeds = new SpeedKnowledge(knowledge, this.#state, this.#timers, random)
    const guaranteedAccelerators = Math.floor(GUARANTEED_SHARE * fleet.endpoints * 8 / fleet.customers)
    const customers = Array.from({ length: fleet.customers }, (_, i) => ({ name: asId<CustomerId>(`c${i + 1}`), keys: [], guaranteedAccelerators }))
    this.#state.apply({ type: 'configure', config: { version: 1, queues: [], services: ['s'], customers, document: '' } })
  }

  run (): SimulationResult {
    for (const arrival of this.#arrivals) this.#timers.subscribe(arrival.atMs, () => this.#accept(arrival))
    this.#timers.every(250, () => this.#schedulePass())
    const { gone, cancelled } = this.#pattern
    if (gone) this.#timers.subscribe(gone.fromMs, () => this.#loseRuns())
    if (cancelled) this.#timers.subscribe(cancelled.atMs, () => this.#cancelJobs(cancelled.share))
    const hasTails = this.#fleet.classes.some(({ tailShare }) => tailShare !== undefined)
    this.#timers.advance(ARRIVALS_MS + (hasTails ? SETTLE_WITH_TAILS_MS : SETTLE_MS))
    return this.#summarize()
  }

  #createHistory (): LearnedHistory {
    return new LearnedHistory({ state: this.#state, logger: NO_LOGGER, metrics: new Metrics({ node: 'bench' }), getSpeed: () => 1 })
  }

  #register (i: number, speed: number): void {
    const id = asId<EndpointId>(`w${i}`)
    const incarnation = toEndpointIncarnation(id, 1)
    const endpoint = { life: incarnation, id, bornMs: 1, address: `10.0.${i >> 8}.${i & 255}:1`, domain: asId<DomainId>('z'), service: 's', rack: toRack(i, this.#fleet), labels: ['a'], capacity: ENDPOINT_CAPACITY, draining: false, sequence: 0 }
    this.#state.apply({ type: 'register-endpoint', atMs: 0, endpoint })
    const { stalled } = this.#pattern
    // Stalled endpoints are spread evenly; a negative speed marks them.
    const isStalled = stalled !== undefined && i % Math.round(1 / stalled.share) === 0
    this.#signedSpeeds.set(incarnation, isStalled ? -speed : speed)
  }

  #accept ({ spec }: Arrival): void {
    this.#state.apply({ type: 'accept', spec, atMs: this.#timers.now() })
    this.#schedulePass()
  }

  /** Whether the endpoint is out of use; endpoints are numbered rack by rack. */
  #isGone (id: EndpointId): boolean {
    const { gone } = this.#pattern
    const nowMs = this.#timers.now()
    if (!gone || nowMs < gone.fromMs || nowMs >= gone.fromMs + gone.durationMs) return false
    return Number(id.slice(1)) < gone.share * this.#fleet.endpoints
  }

  /** Ends the runs on endpoints that have gone out of use, with the other members of their gangs. */
  #loseRuns (): void {
    const lost = [...this.#runs.values()].filter(({ incarnation }) => this.#isGone(this.#state.endpoints.get(incarnation)!.id))
    const gangs = new Set(lost.map(({ task }) => this.#toCheckpointKey(task)))
    for (const run of [...this.#runs.values()]) {
      if (!gangs.has(this.#toCheckpointKey(run.task))) continue
      run.stopTimer()
      this.#endRun(run.task, 'lost')
    }
  }

  #cancelJobs (share: number): void {
    for (const { spec: { id } } of this.#arrivals) {
      if (!this.#state.jobs.get(id)?.isActive || this.#random.float() >= share) continue
      this.#state.apply({ type: 'cancel', job: id, atMs: this.#timers.now() })
      this.#cancelled.add(id)
      for (const run of [...this.#runs.values()]) if (mustParseTaskId(run.task).job === id) this.#stopAfterGrace(run)
    }
    this.#schedulePass()
  }

  #stopAfterGrace (run: Run): void {
    run.stopTimer()
    run.stopTimer = this.#timers.subscribe(this.#fleet.stopMs, () => this.#endRun(run.task, 'stopped'))
  }

  #schedulePass (): void {
    if (this.#isPassScheduled) return
    this.#isPassScheduled = true
    this.#timers.subscribe(PASS_DELAY_MS, () => {
      this.#isPassScheduled = false
      this.#runPass()
    })
  }

  #runPass (): void {
    const nowMs = this.#timers.now()
    const plan = this.#planner.plan({ state: this.#state, policy: this.#policy, fleet: this.#fleetView, nowMs, wallMs: nowMs, mayPreempt: true, ...(this.#history && { history: this.#history }) })
    for (const task of plan.preempted) this.#preempt(task)
    if (plan.starts.length === 0) return
    const result = this.#state.apply({ type: 'start', groups: plan.starts, atMs: nowMs })
    if (result.type === 'started') for (const group of result.groups) this.#startGroup(group)
  }

  #startGroup ({ job, occurrence, step, run, members }: StartGroup): void {
    const { taskMs, spec } = this.#arrivalsByJob.get(job)!
    const { gang } = spec.steps[step]!
    const speeds = members.map(({ endpoint }) => Math.abs(this.#signedSpeeds.get(endpoint)!))
    // A gang runs at the speed of its slowest member.
    const gangSpeed = Math.min(...speeds)
    const stallMs = Math.max(0, ...members.map(({ endpoint }) => this.#getStallMs(endpoint)))
    members.forEach(({ index, endpoint }, i) => {
      const task = toTaskId({ job, occurrence, step, index })
      const speed = gang ? gangSpeed : speeds[i]!
      const workMs = taskMs[index]! - (this.#checkpointedMs.get(this.#toCheckpointKey(task)) ?? 0)
      const ownStallMs = gang ? stallMs : this.#getStallMs(endpoint)
      const runMs = workMs / speed + ownStallMs
      const stopTimer = this.#timers.subscribe(runMs, () => this.#endRun(task, 'done'))
      this.#runs.set(task, { task, incarnation: endpoint, startedAtMs: this.#timers.now(), speed, workMs, stallMs: ownStallMs, endsAtMs: this.#timers.now() + runMs, stopTimer })
      this.#speeds.observe({ task, run, endpoint: this.#state.endpoints.get(endpoint)!, getPercent: () => this.#getPercent(task) })
    })
  }

  /** Returns the share of the remaining work that the run has done; a stall comes first. */
  #getPercent (task: TaskId): number {
    const { startedAtMs, stallMs, speed, workMs } = this.#runs.get(task)!
    return Math.min(100, 100 * Math.max(0, this.#timers.now() - startedAtMs - stallMs) * speed / workMs)
  }

  /** Endpoints report progress now and then, so that a run is known only some time after its start. */
  #estimateRemainingMs (task: TaskId): number | null {
    const run = this.#runs.get(task)
    const nowMs = this.#timers.now()
    return run && nowMs - run.startedAtMs > REPORT_DELAY_MS ? run.endsAtMs - nowMs : null
  }

  /** Estimates how long a run that starts now on the endpoint makes no progress. */
  #getStallMs (incarnation: EndpointIncarnation): number {
    const { stalled } = this.#pattern
    if (!stalled || this.#signedSpeeds.get(incarnation)! > 0) return 0
    const nowMs = this.#timers.now()
    return nowMs > stalled.fromMs + stalled.durationMs ? 0 : stalled.fromMs + stalled.durationMs - Math.max(nowMs, stalled.fromMs)
  }

  #toCheckpointKey (task: TaskId): string {
    const { job, step } = mustParseTaskId(task)
    return this.#arrivalsByJob.get(job)!.spec.steps[step]!.gang ? job : task
  }

  #preempt (task: TaskId): void {
    const run = this.#runs.get(task)
    if (!run) return
    this.#preemptedCount += 1
    this.#stops.set(task, (this.#stops.get(task) ?? 0) + 1)
    const { job, step } = mustParseTaskId(task)
    const { checkpointing, resources } = this.#arrivalsByJob.get(job)!.spec.steps[step]!
    const progressMs = (this.#timers.now() - run.startedAtMs) * run.speed
    if (checkpointing) this.#checkpointedMs.set(this.#toCheckpointKey(task), (this.#checkpointedMs.get(this.#toCheckpointKey(task)) ?? 0) + progressMs)
    const lostMs = checkpointing ? 0 : this.#timers.now() - run.startedAtMs
    this.#lostWorkCoreS += lostMs / 1_000 * (resources.cpuMilli / 1_000 + CORES_PER_ACCELERATOR * resources.accelerators)
    this.#stopAfterGrace(run)
  }

  #endRun (task: TaskId, outcome: RunOutcome): void {
    const run = this.#runs.get(task)
    if (!run) return
    this.#runs.delete(task)
    const { job } = mustParseTaskId(task)
    const active = this.#state.jobs.listRuns(run.incarnation).get(task)!
    const end = { task, run: active.run, outcome, checkpoint: outcome === 'stopped' && this.#checkpointedMs.has(this.#toCheckpointKey(task)) ? 'saved' : '' }
    this.#speeds.end(task, active.run, this.#state.endpoints.get(run.incarnation)!, outcome === 'done')
    this.#history?.recordEnd(this.#state.endpoints.get(run.incarnation)!, end, { startedAtMs: run.startedAtMs, endedAtMs: this.#timers.now() })
    this.#state.apply({ type: 'end', endpoint: run.incarnation, ends: [end], atMs: this.#timers.now() })
    if (this.#state.jobs.get(job)!.state === 'completed') this.#endedAtMs.set(job, this.#timers.now())
    this.#schedulePass()
  }

  #summarize (): SimulationResult {
    const credit = summarizeCredit(this.#fleet.classes, this.#arrivals.filter(({ spec }) => !this.#cancelled.has(spec.id)), this.#endedAtMs)
    return { ...credit, lostWorkCoreS: this.#lostWorkCoreS, preemptedCount: this.#preemptedCount, maxStops: Math.max(0, ...this.#stops.values()) }
  }
}
