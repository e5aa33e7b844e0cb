import { asId, type CustomerId, type DomainId, type EndpointId, type TaskId } from '@ibisstair/common'
import { Planner } from '@ibisstair/dispatch'
import { mustParseTaskId, SchedulingState, toEndpointIncarnation, toTaskId, type EndpointIncarnation, type RunOutcome, type StartGroup } from '@ibisstair/jobs'
import { ManualTimerService, type RandomSource, type Unsubscribe } from '@ibisstair/timers'
import { ARRIVALS_MS, createArrivals, toRack, type Arrival, type Fleet, type Pattern } from './workload.ts'

/** Later ends have no worth. */
const LATE_FACTOR = 3
const SPEEDS = [0.8, 1, 1.25]
const ORDER_MS = 8
const END_MS = ARRIVALS_MS + 30_000
const CORES_PER_ACCELERATOR = 8
const GUARANTEE_SHARE = 0.3

export interface Outcome {
  /** Credit earned by credit owed: over all work, and for each class. */
  readonly credit: number
  readonly byClass: Readonly<Record<string, number>>
  /** Core seconds of work that was stopped without a checkpoint. */
  readonly lostWorkCoreS: number
  readonly preempted: number
}

interface Run {
  readonly task: TaskId
  readonly life: EndpointIncarnation
  readonly startedAtMs: number
  readonly speed: number
  stopTimer: Unsubscribe
}

/** Plays one pattern on virtual time with the planner's decisions; orders succeed and ends are reported at once. */
export class Simulation {
  readonly #timers = new ManualTimerService()
  readonly #state = new SchedulingState()
  readonly #planner = new Planner()
  readonly #fleet: Fleet
  readonly #pattern: Pattern
  readonly #arrivals: readonly Arrival[]
  readonly #byJob: ReadonlyMap<string, Arrival>
  readonly #speeds = new Map<EndpointIncarnation, number>()
  readonly #runs = new Map<TaskId, Run>()
  readonly #saved = new Map<string, number>()
  readonly #endedAtMs = new Map<string, number>()
  #isPassPlanned = false
  #lostWork = 0
  #preempted = 0

  constructor (random: RandomSource, fleet: Fleet, pattern: Pattern) {
    this.#fleet = fleet
    this.#pattern = pattern
    this.#arrivals = createArrivals(random, fleet, pattern)
    this.#byJob = new Map(this.#arrivals.map((arrival) => [arrival.spec.id, arrival]))
    for (let i = 0; i < fleet.endpoints; i++) this.#register(i, random.pick(SPEEDS)!)
    const guaranteed = Math.floor(GUARANTEE_SHARE * fleet.endpoints * 8 / fleet.customers)
    const customers = Array.from({ length: fleet.customers }, (_, i) => ({ name: asId<CustomerId>(`c${i + 1}`), keys: [], guaranteedAccelerators: guaranteed }))
    this.#state.apply({ type: 'configure', config: { version: 1, queues: [], services: ['s'], customers, document: '' } })
  }

  run (): Outcome {
    for (const arrival of this.#arrivals) this.#timers.subscribe(arrival.atMs, () => this.#accept(arrival))
    this.#timers.every(250, () => this.#planPass())
    this.#timers.advance(END_MS)
    return this.#summarise()
  }

  #register (i: number, speed: number): void {
    const id = asId<EndpointId>(`w${i}`)
    const life = toEndpointIncarnation(id, 1)
    const endpoint = { life, id, bornMs: 1, address: `10.0.${i >> 8}.${i & 255}:1`, domain: asId<DomainId>('z'), service: 's', rack: toRack(i, this.#fleet), labels: ['a'], capacity: { cpuMilli: 32_000, memMb: 131_072, accelerators: 8 }, draining: false }
    this.#state.apply({ type: 'register-endpoint', atMs: 0, endpoint })
    const { stalled } = this.#pattern
    // Stalled endpoints are spread evenly.
    const isStalled = stalled !== undefined && i % Math.round(1 / stalled.share) === 0
    this.#speeds.set(life, isStalled ? -speed : speed)
  }

  #accept ({ spec }: Arrival): void {
    this.#state.apply({ type: 'accept', spec, atMs: this.#timers.now() })
    this.#planPass()
  }

  #planPass (): void {
    if (this.#isPassPlanned) return
    this.#isPassPlanned = true
    this.#timers.subscribe(ORDER_MS, () => {
      this.#isPassPlanned = false
      this.#runPass()
    })
  }

  #runPass (): void {
    const nowMs = this.#timers.now()
    const plan = this.#planner.plan({ state: this.#state, fleet: { isUsable: () => true, getPenalty: () => 0 }, nowMs, wallMs: nowMs })
    for (const task of plan.preempted) this.#preempt(task)
    if (plan.starts.length === 0) return
    const result = this.#state.apply({ type: 'start', groups: plan.starts, atMs: nowMs })
    if (result.type === 'started') for (const group of result.groups) this.#start(group)
  }

  #start ({ job, occurrence, step, members }: StartGroup): void {
    const { taskMs, spec } = this.#byJob.get(job)!
    const { gang } = spec.steps[step]!
    const speeds = members.map(({ endpoint }) => Math.abs(this.#speeds.get(endpoint)!))
    // A gang is as fast as its slowest member.
    const gangSpeed = Math.min(...speeds)
    const stallMs = Math.max(0, ...members.map(({ endpoint }) => this.#getStallMs(endpoint)))
    members.forEach(({ index, endpoint }, i) => {
      const task = toTaskId({ job, occurrence, step, index })
      const speed = gang ? gangSpeed : speeds[i]!
      const leftMs = (taskMs[index]! - (this.#saved.get(this.#toSaveKey(task)) ?? 0)) / speed
      const runMs = leftMs + (gang ? stallMs : this.#getStallMs(endpoint))
      const stopTimer = this.#timers.subscribe(runMs, () => this.#end(task, 'done'))
      this.#runs.set(task, { task, life: endpoint, startedAtMs: this.#timers.now(), speed, stopTimer })
    })
  }

  /** How long a run that starts now on the endpoint will stand still, about. */
  #getStallMs (life: EndpointIncarnation): number {
    const { stalled } = this.#pattern
    if (!stalled || this.#speeds.get(life)! > 0) return 0
    const now = this.#timers.now()
    return now > stalled.fromMs + stalled.forMs ? 0 : stalled.fromMs + stalled.forMs - Math.max(now, stalled.fromMs)
  }

  #toSaveKey (task: TaskId): string {
    const { job, step } = mustParseTaskId(task)
    return this.#byJob.get(job)!.spec.steps[step]!.gang ? job : task
  }

  #preempt (task: TaskId): void {
    const run = this.#runs.get(task)
    if (!run) return
    this.#preempted += 1
    run.stopTimer()
    const { job, step } = mustParseTaskId(task)
    const { checkpointing, resources } = this.#byJob.get(job)!.spec.steps[step]!
    const workedMs = (this.#timers.now() - run.startedAtMs) * run.speed
    if (checkpointing) this.#saved.set(this.#toSaveKey(task), (this.#saved.get(this.#toSaveKey(task)) ?? 0) + workedMs)
    const lostMs = checkpointing ? 0 : this.#timers.now() - run.startedAtMs
    this.#lostWork += lostMs / 1_000 * (resources.cpuMilli / 1_000 + CORES_PER_ACCELERATOR * resources.accelerators)
    run.stopTimer = this.#timers.subscribe(this.#fleet.stopMs, () => this.#end(task, 'stopped'))
  }

  #end (task: TaskId, outcome: RunOutcome): void {
    const run = this.#runs.get(task)
    if (!run) return
    this.#runs.delete(task)
    const { job } = mustParseTaskId(task)
    const active = this.#state.jobs.listRuns(run.life).get(task)!
    this.#state.apply({ type: 'end', endpoint: run.life, ends: [{ task, run: active.run, outcome, checkpoint: outcome === 'stopped' && this.#saved.has(this.#toSaveKey(task)) ? 'saved' : '' }], atMs: this.#timers.now() })
    if (this.#state.jobs.get(job)!.state === 'completed') this.#endedAtMs.set(job, this.#timers.now())
    this.#planPass()
  }

  #getCredit ({ spec, work, atMs, taskMs }: Arrival): number {
    const endedAtMs = this.#endedAtMs.get(spec.id)
    if (endedAtMs === undefined) return 0
    const objectiveMs = work.stretch * Math.max(...taskMs) + work.targetLatencyMs
    const tookMs = endedAtMs - atMs
    if (tookMs <= objectiveMs) return work.worth
    return tookMs <= LATE_FACTOR * objectiveMs ? work.lateWorth : 0
  }

  #summarise (): Outcome {
    let owed = 0
    let earned = 0
    const byClass: Record<string, number> = {}
    for (const work of this.#fleet.classes) {
      const own = this.#arrivals.filter((arrival) => arrival.work === work)
      const meanWork = own.reduce((sum, { taskMs }) => sum + taskMs.length, 0) / own.length
      const sizeOf = ({ taskMs }: Arrival): number => Math.min(4, 0.3 + 0.7 * taskMs.length / meanWork)
      const classOwed = own.reduce((sum, arrival) => sum + sizeOf(arrival) * work.worth, 0)
      const classEarned = own.reduce((sum, arrival) => sum + sizeOf(arrival) * this.#getCredit(arrival), 0)
      byClass[work.name] = classOwed === 0 ? 1 : classEarned / classOwed
      owed += classOwed
      earned += classEarned
    }
    return { credit: earned / owed, byClass, lostWorkCoreS: this.#lostWork, preempted: this.#preempted }
  }
}
