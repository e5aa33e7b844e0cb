import type { CustomerId, TaskId } from '@ibisstair/common'
import type { ActiveRun, EndpointLife, EndpointRecord, JobEntry, Resources, SchedulingState, StartGroup } from '@ibisstair/jobs'
import { countFits, mustParseTaskId, subtractResources } from '@ibisstair/jobs'
import { couldEverFit, placeTasks, type Assignment, type Candidate } from './placement.ts'
import { planPreemption, type PreemptionPlan, type Victim } from './preemption.ts'
import { getLateness, listReadyWork, type ReadyWork } from './ready-work.ts'
import { countNeed, UrgentDemand } from './urgent-demand.ts'

/** What the planner needs to know beyond the replicated state. */
export interface FleetView {
  /** Whether the endpoint may be given new work. */
  isUsable (endpoint: EndpointRecord): boolean
  /** Higher is used later. */
  getPenalty (endpoint: EndpointRecord): number
}

export interface PlanInput {
  readonly state: SchedulingState
  readonly fleet: FleetView
  readonly nowMs: number
  readonly wallMs: number
}

export interface Plan {
  readonly starts: readonly StartGroup[]
  /** Runs to stop so that more urgent work fits. */
  readonly preempted: readonly TaskId[]
}

/** What was found out in one pass and holds for all work of the same shape. */
interface PassMemory {
  /** Whether the shape is only ever placed over distant racks. */
  readonly acceptFar: Map<string, boolean>
  /** Gangs that did not fit; room only shrinks during a pass. */
  readonly failed: Set<string>
}

/** Capacity that victims leave to urgent work. */
interface Claim {
  readonly assignments: readonly Assignment[]
  readonly untilMs: number
}

/** Victims have reported their end by then, or the claim is made anew. */
const CLAIM_MS = 1_500

/** A search for victims that failed is not repeated before: little ends in a shorter time. */
const PREEMPTION_RETRY_MS = 100

/** An accelerator counts as this many cores when thrown-away work is compared. */
const CORES_PER_ACCELERATOR = 8
const CHECKPOINT_INTERVAL_MS = 2_000

/** A run that is stopped loses this time in any case: its stop, its wait and its restart. */
const RESTART_MS = 500

/** Cost factors by priority: work of a higher priority is harder to give up. */
const PRIORITY_COST = [8, 3, 1]

/** Urgent work beyond its customer's guarantee throws away at most this multiple of its own work. */
const MAX_THROWN_AWAY = 2

/** Work of this priority and above gives way to expected urgent work. */
const DEFERRABLE_PRIORITY = 2

/** Share of the fleet's accelerators that deferrable work gets whatever else is expected or waits. */
const DEFERRABLE_SHARE = 0.25

/** Share of the expected urgent work that is kept free; preemption covers the rest. */
const RESERVE_SHARE = 0.8

/** Share of the fleet that is kept free for urgent work of which nothing is known yet. */
const MIN_RESERVE_SHARE = 0.1

/** Gangs for which room is collected at a time, the oldest ones first. */
const MAX_COLLECTING = 3

const toKey = ({ job, occurrence, step }: ReadyWork): string => `${job.spec.id}.${occurrence}.${step}`

const toShape = ({ job, spec, indexes }: ReadyWork): string => {
  const { resources: { cpuMilli, memMb, accelerators }, gang, tightlyCoupled, requiredLabel, dataRack, maxPerEndpoint } = spec
  return [job.spec.service, spec.count, indexes.length, cpuMilli, memMb, accelerators, gang, tightlyCoupled, requiredLabel, dataRack, maxPerEndpoint].join()
}

const coresOf = ({ cpuMilli, accelerators }: Resources): number => cpuMilli / 1_000 + accelerators * CORES_PER_ACCELERATOR

/**
 * Decides what starts where and what is preempted for it. The decisions depend on the replicated
 * state, on the health of endpoints and on claims of earlier passes; it performs no I/O.
 */
export class Planner {
  readonly #claims = new Map<string, Claim>()
  readonly #demand = new UrgentDemand()
  /** By work for which no acceptable victims were found, when they are searched again. */
  readonly #retryAtMs = new Map<string, number>()

  plan (input: PlanInput): Plan {
    const candidates = this.#listCandidates(input)
    const needs = this.#sumUrgentNeeds(input.state)
    const starts: StartGroup[] = []
    const preempted: TaskId[] = []
    const ready = this.#listWork(input, needs)
    const memory: PassMemory = { acceptFar: new Map(), failed: new Set() }
    const place = (work: ReadyWork): boolean => {
      const own = listOfService(work, candidates)
      const groups = this.#place(work, own, input, needs, preempted, memory)
      starts.push(...groups)
      return groups.length > 0
    }
    const waiting = ready.filter((work) => !isDeferrable(work) && !place(work))
    const deferred = this.#placeShare(ready.filter(isDeferrable), candidates, input, place)
    for (const work of waiting.filter(({ job, spec }) => spec.gang && job.spec.priority > 0).slice(0, MAX_COLLECTING)) this.#collect(work, listOfService(work, candidates))
    const reserve = this.#getReserve(input, candidates)
    for (const work of deferred) {
      const offered = limitTo(work, sumFree(candidates) - reserve)
      if (offered) place(offered)
    }
    const claimed = new Set(ready.map(toKey))
    for (const memo of [this.#claims, this.#retryAtMs]) for (const key of memo.keys()) if (!claimed.has(key)) memo.delete(key)
    return { starts, preempted }
  }

  #listCandidates ({ state, fleet }: PlanInput): Candidate[] {
    return [...state.endpoints.list()].filter((endpoint) => fleet.isUsable(endpoint)).map((endpoint) => ({
      endpoint,
      free: subtractResources(endpoint.capacity, state.jobs.getUsage(endpoint.life)),
      penalty: fleet.getPenalty(endpoint)
    }))
  }

  /** Accelerators to keep free for urgent work that is expected: it would have to wait for victims to end. */
  #getReserve ({ state, nowMs }: PlanInput, candidates: readonly Candidate[]): number {
    let running = 0
    for (const job of state.jobs.listActive()) {
      this.#demand.note(job, nowMs)
      if (job.spec.priority === 0 && job.activeRuns > 0) running += countNeed(job)
    }
    const expected = Math.max(RESERVE_SHARE * this.#demand.getAccelerators(nowMs), MIN_RESERVE_SHARE * sumCapacity(candidates))
    return Math.max(0, expected - running)
  }

  /** Gives deferrable work its share of the fleet and returns what has not been placed. */
  #placeShare (works: readonly ReadyWork[], candidates: readonly Candidate[], { state }: PlanInput, place: (work: ReadyWork) => boolean): ReadyWork[] {
    let room = DEFERRABLE_SHARE * sumCapacity(candidates)
    for (const job of state.jobs.listActive()) if (job.spec.priority >= DEFERRABLE_PRIORITY) room -= countOccupied(job)
    return works.filter((work) => {
      const offered = limitTo(work, room)
      if (!offered || !place(offered)) return true
      room -= offered.indexes.length * work.spec.resources.accelerators
      return false
    })
  }

  /** Keeps the most promising room from work that comes later in the order, so that a gang is not overtaken for ever. */
  #collect ({ spec }: ReadyWork, candidates: Candidate[]): void {
    const roomByRack = new Map<string, number>()
    for (const { endpoint, free } of candidates) roomByRack.set(endpoint.rack, (roomByRack.get(endpoint.rack) ?? 0) + Math.max(0, free.accelerators))
    const rackOf = ({ endpoint }: Candidate): string => spec.tightlyCoupled ? endpoint.rack : ''
    const [best] = [...roomByRack].sort(([, a], [, b]) => b - a)
    const useful = candidates.filter((candidate) => rackOf(candidate) === (spec.tightlyCoupled ? best?.[0] : ''))
    let missing = spec.count
    for (const candidate of useful.sort((a, b) => b.free.accelerators - a.free.accelerators)) {
      const taken = Math.min(missing, countFits(candidate.free, spec.resources))
      for (let i = 0; i < taken; i++) candidate.free = subtractResources(candidate.free, spec.resources)
      missing -= taken
    }
  }

  /** Most urgent first; among equals those within their customer's guarantee, then those that can still be on time, then the oldest. */
  #listWork ({ state, wallMs }: PlanInput, needs: ReadonlyMap<CustomerId | null, number>): ReadyWork[] {
    const ready = [...state.jobs.listActive()].flatMap((job) => listReadyWork(job, wallMs))
    const rank = ({ job }: ReadyWork): number => 2 * job.spec.priority + (job.spec.priority === 0 && !isGuaranteed(state, job, needs) ? 1 : 0)
    const lateness = new Map(ready.map(({ job }) => [job, getLateness(job, wallMs)]))
    return ready.sort((a, b) => rank(a) - rank(b) || lateness.get(a.job)! - lateness.get(b.job)! || a.job.acceptedAtMs - b.job.acceptedAtMs)
  }

  #sumUrgentNeeds (state: SchedulingState): Map<CustomerId | null, number> {
    const needs = new Map<CustomerId | null, number>()
    for (const job of state.jobs.listActive()) {
      if (job.spec.priority !== 0) continue
      needs.set(job.spec.customer, (needs.get(job.spec.customer) ?? 0) + countNeed(job))
    }
    return needs
  }

  #place (work: ReadyWork, candidates: Candidate[], input: PlanInput, needs: ReadonlyMap<CustomerId | null, number>, preempted: TaskId[], memory: PassMemory): StartGroup[] {
    const { spec, indexes } = work
    const claim = this.#claims.get(toKey(work))
    if (claim && input.nowMs < claim.untilMs) return this.#placeClaimed(work, claim, candidates)
    this.#claims.delete(toKey(work))
    const shape = toShape(work)
    const isUrgent = work.job.spec.priority === 0
    if (!isUrgent && memory.failed.has(shape)) return []
    const countOn = this.#createCounter(work, input.state)
    const acceptFar = memory.acceptFar.get(shape) ?? !couldEverFit(spec, candidates.map(({ endpoint }) => endpoint), { acceptFar: false })
    memory.acceptFar.set(shape, acceptFar)
    const assignments = placeTasks(spec, indexes, candidates, countOn, { acceptFar })
    // The limit for each endpoint depends on the job, so that a failure of another job says nothing.
    if (assignments.length === 0 && spec.maxPerEndpoint === null) memory.failed.add(shape)
    const isWhole = assignments.length === indexes.length
    if (!isWhole && isUrgent) this.#preemptFor(work, assignments, candidates, input, needs, acceptFar, preempted)
    return toGroups(work, assignments)
  }

  #placeClaimed (work: ReadyWork, { assignments }: Claim, candidates: readonly Candidate[]): StartGroup[] {
    const byLife = new Map(candidates.map((candidate) => [candidate.endpoint.life, candidate]))
    for (const { endpoint } of assignments) {
      const candidate = byLife.get(endpoint)
      // Below zero while the victims are still there, which keeps others out.
      if (candidate) candidate.free = subtractResources(candidate.free, work.spec.resources)
    }
    const isFree = assignments.every(({ endpoint }) => {
      const free = byLife.get(endpoint)?.free
      return free !== undefined && Math.min(free.cpuMilli, free.memMb, free.accelerators) >= 0
    })
    if (!isFree) return []
    this.#claims.delete(toKey(work))
    return toGroups(work, assignments)
  }

  #preemptFor (work: ReadyWork, placed: readonly Assignment[], candidates: Candidate[], input: PlanInput, needs: ReadonlyMap<CustomerId | null, number>, acceptFar: boolean, preempted: TaskId[]): void {
    const key = toKey(work)
    if (input.nowMs < (this.#retryAtMs.get(key) ?? -Infinity)) return
    const indexes = work.indexes.filter((index) => !placed.some((assignment) => assignment.index === index))
    const countRunning = this.#createCounter(work, input.state)
    const countOn = (life: EndpointLife): number => countRunning(life) + placed.filter(({ endpoint }) => endpoint === life).length
    const victims = this.#listVictims(work, input, needs, new Set(preempted))
    const plan = planPreemption({ spec: work.spec, indexes, candidates, countOn, acceptFar }, victims)
    if (!plan || !this.#isWorthwhile(work, plan, input, needs)) {
      this.#retryAtMs.set(key, input.nowMs + PREEMPTION_RETRY_MS)
      return
    }
    for (const { runs } of plan.victims) preempted.push(...runs.map(({ task }) => task))
    this.#claims.set(key, { assignments: plan.assignments, untilMs: input.nowMs + CLAIM_MS })
    const byLife = new Map(candidates.map((candidate) => [candidate.endpoint.life, candidate]))
    for (const { endpoint } of plan.assignments) {
      const candidate = byLife.get(endpoint)!
      candidate.free = subtractResources(candidate.free, work.spec.resources)
    }
  }

  #isWorthwhile ({ job, spec }: ReadyWork, { victims }: PreemptionPlan, { state }: PlanInput, needs: ReadonlyMap<CustomerId | null, number>): boolean {
    if (isGuaranteed(state, job, needs)) return true
    const lost = victims.reduce((sum, { thrownAway }) => sum + thrownAway, 0)
    return lost <= MAX_THROWN_AWAY * spec.count * coresOf(spec.resources) * spec.estimateMs
  }

  #listVictims (work: ReadyWork, { state, wallMs }: PlanInput, needs: ReadonlyMap<CustomerId | null, number>, taken: ReadonlySet<TaskId>): Victim[] {
    const mayTakeUrgent = isGuaranteed(state, work.job, needs)
    const groups = new Map<string, ActiveRun[]>()
    for (const life of state.jobs.listOccupied()) {
      for (const run of state.jobs.listRuns(life).values()) {
        const ref = mustParseTaskId(run.task)
        const job = state.jobs.get(ref.job)!
        if (job.spec.id === work.job.spec.id || taken.has(run.task)) continue
        const isLower = job.spec.priority > 0 || (mayTakeUrgent && !isGuaranteed(state, job, needs))
        if (!isLower) continue
        const isGang = job.spec.steps[ref.step]!.gang
        const key = isGang ? `${ref.job}.${ref.occurrence}.${ref.step}` : run.task
        groups.set(key, [...groups.get(key) ?? [], run])
      }
    }
    return [...groups.values()].map((runs) => toVictim(runs, state, wallMs))
  }

  #createCounter ({ job, occurrence, step }: ReadyWork, state: SchedulingState): (life: EndpointLife) => number {
    const { maxPerEndpoint } = job.spec.steps[step]!
    if (maxPerEndpoint === null) return () => 0
    return (life) => [...state.jobs.listRuns(life).keys()].filter((task) => {
      const ref = mustParseTaskId(task)
      return ref.job === job.spec.id && ref.occurrence === occurrence && ref.step === step
    }).length
  }
}

/** The endpoints of the service that runs the job. */
const listOfService = ({ job }: ReadyWork, candidates: readonly Candidate[]): Candidate[] =>
  candidates.filter(({ endpoint }) => endpoint.service === job.spec.service)

const isDeferrable = ({ job }: ReadyWork): boolean => job.spec.priority >= DEFERRABLE_PRIORITY

const sumCapacity = (candidates: readonly Candidate[]): number =>
  candidates.reduce((sum, { endpoint }) => sum + endpoint.capacity.accelerators, 0)

const sumFree = (candidates: readonly Candidate[]): number =>
  candidates.reduce((sum, { free }) => sum + Math.max(0, free.accelerators), 0)

/** As many single tasks as the accelerators allow; null when that is none, or not the whole gang. */
const limitTo = (work: ReadyWork, accelerators: number): ReadyWork | null => {
  const perTask = work.spec.resources.accelerators
  const room = perTask === 0 ? Infinity : Math.floor(accelerators / perTask)
  if (room >= work.indexes.length) return work
  if (room <= 0 || work.spec.gang) return null
  return { ...work, indexes: work.indexes.slice(0, room) }
}

/** Accelerators that the job occupies, about: steps of one job run one after the other. */
const countOccupied = (job: JobEntry): number =>
  job.activeRuns * Math.max(...job.spec.steps.map(({ resources }) => resources.accelerators))

/** Whether all urgent jobs of the customer together stay within its guarantee. */
const isGuaranteed = (state: SchedulingState, { spec }: JobEntry, needs: ReadonlyMap<CustomerId | null, number>): boolean =>
  spec.priority === 0 && (needs.get(spec.customer) ?? 0) <= state.config.getGuarantee(spec.customer)

/** A gang shares the number of its run; single tasks are numbered each by itself. */
const toGroups = ({ job, occurrence, step, spec, run }: ReadyWork, members: readonly Assignment[]): StartGroup[] => {
  const { tasks } = job.getOccurrence(occurrence).steps[step]!
  const byRun = new Map<number, Assignment[]>()
  for (const member of members) {
    const number = spec.gang ? run : tasks[member.index]!.lastRun + 1
    byRun.set(number, [...byRun.get(number) ?? [], member])
  }
  return [...byRun].map(([number, group]) => ({ job: job.spec.id, occurrence, step, run: number, members: group }))
}

const toVictim = (runs: readonly ActiveRun[], state: SchedulingState, wallMs: number): Victim => {
  const { job: id, step } = mustParseTaskId(runs[0]!.task)
  const { spec } = state.jobs.get(id)!
  const { resources, checkpointing } = spec.steps[step]!
  const workedMs = Math.max(0, wallMs - runs[0]!.startedAtMs)
  const lostMs = checkpointing ? Math.min(workedMs, CHECKPOINT_INTERVAL_MS) : workedMs
  const factor = PRIORITY_COST[Math.min(spec.priority, PRIORITY_COST.length - 1)]!
  const cores = runs.length * coresOf(resources)
  return { runs, resources, thrownAway: cores * lostMs, cost: cores * (lostMs + RESTART_MS) * factor }
}
