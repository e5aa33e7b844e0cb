import type { TaskId } from '@ibisstair/common'
import type { EndpointIncarnation, EndpointRecord, SchedulingState, StartGroup } from '@ibisstair/jobs'
import { countFits, mustParseTaskId, subtractResources } from '@ibisstair/jobs'
import { isGuaranteed } from './guarantees.ts'
import { couldEverFit, placeTasks, takeRoom, type Assignment, type Candidate } from './placement.ts'
import { PlanningPass } from './planning-pass.ts'
import { planPreemption, type PreemptionPlan } from './preemption.ts'
import { toShape, toWorkKey, type ReadyWork } from './ready-work.ts'
import { getDeferrableRoom, getReserve, isDeferrable, limitTo, sumFree } from './shares.ts'
import { UrgentDemand } from './urgent-demand.ts'
import { coresOf } from './work-cost.ts'

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

/** Capacity that victims leave to urgent work. */
interface Claim {
  readonly assignments: readonly Assignment[]
  readonly untilMs: number
}

/** Victims have reported their end by then, or the claim is made anew. */
const CLAIM_MS = 1_500

/** A search for victims that failed is not repeated before: little ends in a shorter time. */
const PREEMPTION_RETRY_MS = 100

/** Urgent work beyond its customer's guarantee throws away at most this multiple of its own work. */
const MAX_THROWN_AWAY = 2

/** Gangs for which room is collected at a time, the oldest ones first. */
const MAX_COLLECTING = 3

/** Shapes whose fit into the empty fleet is remembered. */
const MAX_REMEMBERED_SHAPES = 2_000

/**
 * Decides what starts where and what is preempted for it. The decisions depend on the replicated
 * state, on the health of endpoints and on claims of earlier passes; it performs no I/O.
 */
export class Planner {
  readonly #claims = new Map<string, Claim>()
  readonly #demand = new UrgentDemand()
  /** By work for which no acceptable victims were found, when they are searched again. */
  readonly #retryAtMs = new Map<string, number>()
  /** Whether a shape fits only over distant racks of the fleet that `#fleetKey` names. */
  readonly #acceptFar = new Map<string, boolean>()
  #fleetKey = ''

  plan (input: PlanInput): Plan {
    const pass = new PlanningPass(input)
    this.#noteFleet(pass)
    const ready = pass.listWork()
    const starts: StartGroup[] = []
    const place = (work: ReadyWork): boolean => {
      const groups = this.#place(work, pass)
      starts.push(...groups)
      return groups.length > 0
    }
    const waiting = ready.filter((work) => !isDeferrable(work.job) && !place(work))
    const deferred = placeShare(ready.filter(({ job }) => isDeferrable(job)), pass, place)
    const collecting = waiting.filter(({ job, spec }) => spec.gang && job.spec.priority > 0).slice(0, MAX_COLLECTING)
    for (const work of collecting) collectRoom(work, pass.listCandidates(work))
    const reserve = getReserve(pass.state, this.#demand, pass.nowMs, pass.candidates)
    for (const work of deferred) {
      const offered = limitTo(work, sumFree(pass.candidates) - reserve)
      if (offered) place(offered)
    }
    this.#forgetAllBut(ready)
    return { starts, preempted: pass.preempted }
  }

  #forgetAllBut (ready: readonly ReadyWork[]): void {
    const known = new Set(ready.map(toWorkKey))
    for (const memo of [this.#claims, this.#retryAtMs]) for (const key of memo.keys()) if (!known.has(key)) memo.delete(key)
  }

  /** What was found out about shapes holds until the set of endpoints changes. */
  #noteFleet ({ candidates }: PlanningPass): void {
    const key = candidates.map(({ endpoint }) => endpoint.life).join()
    if (key === this.#fleetKey && this.#acceptFar.size < MAX_REMEMBERED_SHAPES) return
    this.#fleetKey = key
    this.#acceptFar.clear()
  }

  #mustAcceptFar ({ spec }: ReadyWork, shape: string, candidates: readonly Candidate[]): boolean {
    if (!spec.tightlyCoupled && spec.dataRack === null) return false
    const known = this.#acceptFar.get(shape)
    if (known !== undefined) return known
    const acceptFar = !couldEverFit(spec, candidates.map(({ endpoint }) => endpoint), { acceptFar: false })
    this.#acceptFar.set(shape, acceptFar)
    return acceptFar
  }

  #place (work: ReadyWork, pass: PlanningPass): StartGroup[] {
    const { job, spec, indexes } = work
    const key = toWorkKey(work)
    const claim = this.#claims.get(key)
    if (claim && pass.nowMs < claim.untilMs) return this.#placeClaimed(work, claim, pass)
    this.#claims.delete(key)
    const shape = toShape(work)
    const isUrgent = job.spec.priority === 0
    if (!isUrgent && pass.failedShapes.has(shape)) return []
    const candidates = pass.listCandidates(work)
    const acceptFar = this.#mustAcceptFar(work, shape, candidates)
    const assignments = placeTasks(spec, indexes, candidates, createCounter(work, pass.state), { acceptFar })
    // The limit for each endpoint depends on the job, so that a failure of another job says nothing.
    if (assignments.length === 0 && spec.maxPerEndpoint === null) pass.failedShapes.add(shape)
    if (assignments.length < indexes.length && isUrgent) this.#preemptFor(work, assignments, pass, acceptFar)
    return toGroups(work, assignments)
  }

  #placeClaimed (work: ReadyWork, { assignments }: Claim, { byLife }: PlanningPass): StartGroup[] {
    // Below zero while the victims are still there, which keeps others out.
    takeRoom(work.spec, assignments, byLife)
    const isFree = assignments.every(({ endpoint }) => {
      const free = byLife.get(endpoint)?.free
      return free !== undefined && Math.min(free.cpuMilli, free.memMb, free.accelerators) >= 0
    })
    if (!isFree) return []
    this.#claims.delete(toWorkKey(work))
    return toGroups(work, assignments)
  }

  #preemptFor (work: ReadyWork, placed: readonly Assignment[], pass: PlanningPass, acceptFar: boolean): void {
    const key = toWorkKey(work)
    if (pass.nowMs < (this.#retryAtMs.get(key) ?? -Infinity)) return
    const indexes = work.indexes.filter((index) => !placed.some((assignment) => assignment.index === index))
    const countRunning = createCounter(work, pass.state)
    const countOn = (life: EndpointIncarnation): number => countRunning(life) + placed.filter(({ endpoint }) => endpoint === life).length
    const search = { spec: work.spec, indexes, candidates: pass.listCandidates(work), countOn, acceptFar }
    const plan = planPreemption(search, pass.victims.listFor(work.job))
    if (!plan || !isWorthwhile(work, plan, pass)) {
      this.#retryAtMs.set(key, pass.nowMs + PREEMPTION_RETRY_MS)
      return
    }
    pass.victims.take(plan.victims)
    this.#claims.set(key, { assignments: plan.assignments, untilMs: pass.nowMs + CLAIM_MS })
    takeRoom(work.spec, plan.assignments, pass.byLife)
  }
}

/** Gives deferrable work its share of the fleet and returns what has not been placed. */
const placeShare = (works: readonly ReadyWork[], { state, candidates }: PlanningPass, place: (work: ReadyWork) => boolean): ReadyWork[] => {
  let room = getDeferrableRoom(state, candidates)
  return works.filter((work) => {
    const offered = limitTo(work, room)
    if (!offered || !place(offered)) return true
    room -= offered.indexes.length * work.spec.resources.accelerators
    return false
  })
}

/** Keeps the most promising room from work that comes later in the order, so that a gang is not overtaken for ever. */
const collectRoom = ({ spec }: ReadyWork, candidates: readonly Candidate[]): void => {
  const roomByRack = new Map<string, number>()
  for (const { endpoint, free } of candidates) roomByRack.set(endpoint.rack, (roomByRack.get(endpoint.rack) ?? 0) + Math.max(0, free.accelerators))
  const [best] = [...roomByRack].sort(([, a], [, b]) => b - a)
  const useful = candidates.filter(({ endpoint }) => !spec.tightlyCoupled || endpoint.rack === best?.[0])
  let missing = spec.count
  for (const candidate of useful.sort((a, b) => b.free.accelerators - a.free.accelerators)) {
    const taken = Math.min(missing, countFits(candidate.free, spec.resources))
    for (let i = 0; i < taken; i++) candidate.free = subtractResources(candidate.free, spec.resources)
    missing -= taken
  }
}

const isWorthwhile = ({ job, spec }: ReadyWork, { victims }: PreemptionPlan, { state, needs }: PlanningPass): boolean => {
  if (isGuaranteed(state, job, needs)) return true
  const lost = victims.reduce((sum, { lostWork }) => sum + lostWork, 0)
  return lost <= MAX_THROWN_AWAY * spec.count * coresOf(spec.resources) * spec.estimateMs
}

/** Counts the tasks of the step on an endpoint, where the step has a limit for it. */
const createCounter = ({ job, occurrence, step }: ReadyWork, state: SchedulingState): (life: EndpointIncarnation) => number => {
  if (job.spec.steps[step]!.maxPerEndpoint === null) return () => 0
  return (life) => [...state.jobs.listRuns(life).keys()].filter((task) => {
    const ref = mustParseTaskId(task)
    return ref.job === job.spec.id && ref.occurrence === occurrence && ref.step === step
  }).length
}

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
