import { asId, type CustomerId, type DomainId, type EndpointId, type TaskId } from '@ibisstair/common'
import { Planner } from '@ibisstair/dispatch'
import { mustParseTaskId, SchedulingState, toEndpointIncarnation, toTaskId, type EndpointIncarnation, type RunOutcome, type StartGroup } from '@ibisstair/jobs'
import { ManualTimerService, type RandomSource, type Unsubscribe } from '@ibisstair/timers'
import { createFleetView } from '../../packages/dispatch/tests/support/fleet-view.ts'
import { SpeedKnowledge, type Knowledge } from './speed-knowledge.ts'
import { ARRIVALS_MS, createArrivals, ENDPOINT_CAPACITY, toRack, type Arrival, type Fleet, type Pattern } from './workload.ts'

/** A job that takes longer than this multiple of its objective earns no credit. */
const LATE_FACTOR = 3
const DEFAULT_SPEEDS = [0.8, 1, 1.25]
const PASS_DELAY_MS = 8
/** Time after its start from which the progress of a run is known. */
const REPORT_DELAY_MS = 1_000
/** Time from the last arrival to the end; longer for tails on slow endpoints. */
const SETTLE_MS = 30_000
const SETTLE_WITH_TAILS_MS = 120_000
const CORES_PER_ACCELERATOR = 8
const GUARANTEED_SHARE = 0.3

export interface SimulationResult {
  /** Credit earned as a share of the full credit: over all jobs, and for each class. */
  readonly credit: number
  readonly creditByClass: Readonly<Record<string, number>>
  /** Core seconds of work that was stopped without a checkpoint. */
  readonly lostWorkCoreS: number
  readonly preemptedCount: number
  /** Share of the urgent jobs that met their objective. */
  readonly urgentInTime: number
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
  readonly #fleet: Fleet
  readonly #pattern: Pattern
  readonly #arrivals: readonly Arrival[]
  readonly #arrivalsByJob: ReadonlyMap<string, Arrival>
  readonly #signedSpeeds = new Map<EndpointIncarnation, number>()
  readonly #speeds: SpeedKnowledge
  readonly #runs = new Map<TaskId, Run>()
  readonly #checkpointedMs = new Map<string, number>()
  readonly #endedAtMs = new Map<string, number>()
  readonly #fleetView = createFleetView({
    estimateRemainingMs: ({ task }) => this.#estimateRemainingMs(task),
    isSpeedKnown: (endpoint) => this.#speeds.isKnown(endpoint),
    getSpeed: (endpoint) => this.#speeds.getSpeed(endpoint, this.#signedSpeeds)
  })

  #isPassScheduled = false
  #lostWorkCoreS = 0
  #preemptedCount = 0

  constructor (random: RandomSource, fleet: Fleet, pattern: Pattern, knowledge: Knowledge = 'unknown') {
    this.#fleet = fleet
    this.#pattern = pattern
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
    this.#timers.advance(ARRIVALS_MS + (this.#fleet.tailShare === undefined ? SETTLE_MS : SETTLE_WITH_TAILS_MS))
    return this.#summarize()
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
    const plan = this.#planner.plan({ state: this.#state, fleet: this.#fleetView, nowMs, wallMs: nowMs, mayPreempt: true })
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
    run.stopTimer()
    const { job, step } = mustParseTaskId(task)
    const { checkpointing, resources } = this.#arrivalsByJob.get(job)!.spec.steps[step]!
    const progressMs = (this.#timers.now() - run.startedAtMs) * run.speed
    if (checkpointing) this.#checkpointedMs.set(this.#toCheckpointKey(task), (this.#checkpointedMs.get(this.#toCheckpointKey(task)) ?? 0) + progressMs)
    const lostMs = checkpointing ? 0 : this.#timers.now() - run.startedAtMs
    this.#lostWorkCoreS += lostMs / 1_000 * (resources.cpuMilli / 1_000 + CORES_PER_ACCELERATOR * resources.accelerators)
    run.stopTimer = this.#timers.subscribe(this.#fleet.stopMs, () => this.#endRun(task, 'stopped'))
  }

  #endRun (task: TaskId, outcome: RunOutcome): void {
    const run = this.#runs.get(task)
    if (!run) return
    this.#runs.delete(task)
    const { job } = mustParseTaskId(task)
    const active = this.#state.jobs.listRuns(run.incarnation).get(task)!
    this.#speeds.end(task, active.run, this.#state.endpoints.get(run.incarnation)!, outcome === 'done')
    this.#state.apply({ type: 'end', endpoint: run.incarnation, ends: [{ task, run: active.run, outcome, checkpoint: outcome === 'stopped' && this.#checkpointedMs.has(this.#toCheckpointKey(task)) ? 'saved' : '' }], atMs: this.#timers.now() })
    if (this.#state.jobs.get(job)!.state === 'completed') this.#endedAtMs.set(job, this.#timers.now())
    this.#schedulePass()
  }

  #getCredit ({ spec, workClass, atMs, taskMs }: Arrival): number {
    const endedAtMs = this.#endedAtMs.get(spec.id)
    if (endedAtMs === undefined) return 0
    const objectiveMs = workClass.stretch * Math.max(...taskMs) + workClass.targetLatencyMs
    const elapsedMs = endedAtMs - atMs
    if (elapsedMs <= objectiveMs) return workClass.fullCredit
    return elapsedMs <= LATE_FACTOR * objectiveMs ? workClass.lateCredit : 0
  }

  #getShareInTime (priority: number): number {
    const arrivals = this.#arrivals.filter(({ workClass }) => workClass.priority === priority)
    const inTime = arrivals.filter((arrival) => this.#getCredit(arrival) === arrival.workClass.fullCredit)
    return inTime.length / Math.max(1, arrivals.length)
  }

  #summarize (): SimulationResult {
    let maxCredit = 0
    let credit = 0
    const creditByClass: Record<string, number> = {}
    for (const workClass of this.#fleet.classes) {
      const classArrivals = this.#arrivals.filter((arrival) => arrival.workClass === workClass)
      const meanTasks = classArrivals.reduce((sum, { taskMs }) => sum + taskMs.length, 0) / classArrivals.length
      const getWeight = ({ taskMs }: Arrival): number => Math.min(4, 0.3 + 0.7 * taskMs.length / meanTasks)
      const classMaxCredit = classArrivals.reduce((sum, arrival) => sum + getWeight(arrival) * workClass.fullCredit, 0)
      const classCredit = classArrivals.reduce((sum, arrival) => sum + getWeight(arrival) * this.#getCredit(arrival), 0)
      creditByClass[workClass.name] = classMaxCredit === 0 ? 1 : classCredit / classMaxCredit
      maxCredit += classMaxCredit
      credit += classCredit
    }
    return { credit: credit / maxCredit, creditByClass, lostWorkCoreS: this.#lostWorkCoreS, preemptedCount: this.#preemptedCount, urgentInTime: this.#getShareInTime(0) }
  }
}
