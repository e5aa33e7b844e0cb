import type { ActiveRun, EndpointIncarnation, Resources, StartGroup } from '@ibisstair/jobs'
import { countFits, isSufficientFor, subtractResources } from '@ibisstair/jobs'
import { CustomerShares } from './customer-shares.ts'
import { GangReservations } from './gang-reservations.ts'
import { isGuaranteed } from './guarantees.ts'
import { couldEverFit, placeTasks, deductAssigned, type Assignment, type PlacementOptions } from './placement.ts'
import { listUncrashed, placeOnSuspects, placeWork, type LadderOptions } from './placement-ladder.ts'
import type { Plan, PlanInput } from './plan-types.ts'
import { PlanningPass } from './planning-pass.ts'
import { planPreemptionBeyond, type PreemptionPlan } from './preemption.ts'
import { getRequiredSpeed, USUAL_SPEED } from './required-speed.ts'
import { toShape, toWorkKey, type ReadyWork } from './ready-work.ts'
import { selectReservingGangs } from './reserving-gangs.ts'
import { getDeferrableBudget, getReserve, isDeferrable, limitToAccelerators } from './deferrable-limits.ts'
import { StalledWork } from './stalled-work.ts'
import { UrgentDemand } from './urgent-demand.ts'
import { CHECKPOINT_INTERVAL_MS } from './victims.ts'
import type { WaitingSurvey } from './waiting-types.ts'
import { WaitingWork } from './waiting-work.ts'
import { toCoreEquivalents } from './work-cost.ts'
import { listWork } from './work-order.ts'
import { WorkWaits } from './work-waits.ts'

/** Capacity that is reserved for urgent work until its victims have ended. */
interface Claim {
  readonly assignments: readonly Assignment[]
  /** Capacity of its endpoints when it was made. */
  readonly capacities: ReadonlyMap<EndpointIncarnation, Resources>
  /** Runs that were to be stopped for it. */
  readonly stopped: readonly ActiveRun[]
  /** Runs that were to end by themselves about as soon. */
  readonly spared: readonly ActiveRun[]
  readonly sinceMs: number
  readonly untilMs: number
  /** Since when an endpoint of the claim has been out of use; null while none is. */
  goneSinceMs: number | null
}

interface PreemptionOptions extends PlacementOptions {
  /** Also stop runs that are expected to end soon: such a run was waited for, and it has not ended in time. */
  readonly stopAll: boolean
  /** Room is made only on endpoints of at least this speed. */
  readonly minSpeed: number | null
  /** Times of the next searches. */
  readonly retryAtMs: Map<string, number>
}

/** A claim expires after this time if its victims have not ended; victims are then searched again. */
const CLAIM_MS = 1_500

/** A run that was to end soon is stopped if it has not ended this long after the claim of guaranteed work. */
const MAX_SPARED_MS = 1_000

/** Guaranteed work gives up a claim of which an endpoint has been out of use for this time. */
const MAX_GONE_MS = 300

/** Delay before a failed search for victims is repeated; few runs end in a shorter time. */
const PREEMPTION_RETRY_MS = 100

/** Urgent work beyond its customer's guarantee may cause the loss of at most this multiple of its own work. */
const MAX_LOST_WORK_FACTOR = 2

/** Urgent work waits for a fast endpoint for at most this time; it is not reported as waiting until then. */
const MAX_FAST_WAIT_MS = 1_500

/** Number of shapes whose fit into the idle fleet is cached. */
const MAX_CACHED_SHAPES = 2_000

export interface PlannerOptions {
  /** Time between two checkpoints of a run that saves them. */
  readonly checkpointIntervalMs?: number
}

/**
 * Decides what starts where and what is preempted for it. The decisions depend on the replicated
 * state, on the health of endpoints and on claims of earlier passes. The planner performs no I/O.
 */
export class Planner {
  readonly #claims = new Map<string, Claim>()
  readonly #demand = new UrgentDemand()
  /** Time of the next search for victims, for each work for which the last search failed. */
  readonly #retryAtMs = new Map<string, number>()
  /** The same for searches on fast endpoints alone. */
  readonly #fastRetryAtMs = new Map<string, number>()
  readonly #waits = new WorkWaits()
  readonly #stalledWork = new StalledWork(this.#waits)
  readonly #waitingWork = new WaitingWork()
  readonly #shares = new CustomerShares()
  readonly #checkpointIntervalMs: number
  /** Whether a shape fits only across racks, for the endpoints and capacities that `#fleetKey` names. */
  readonly #acceptFar = new Map<string, boolean>()
  #fleetKey = ''

  constructor ({ checkpointIntervalMs = CHECKPOINT_INTERVAL_MS }: PlannerOptions = {}) {
    this.#checkpointIntervalMs = checkpointIntervalMs
  }

  plan (input: PlanInput): Plan {
    const pass = new PlanningPass(input, this.#checkpointIntervalMs)
    if (pass.policy.fairShares) this.#shares.observe(pass)
    this.#clearCacheOnFleetChange(pass)
    this.#waits.observe(pass)
    const order = listWork(pass, { shares: this.#shares, hasClaim: (work) => this.#claims.has(toWorkKey(work)) })
    const ready = this.#moveClaimantsToFront(order.ready, pass)
    const starts: StartGroup[] = []
    const placed = new Map<string, StartGroup[]>()
    const hasProgress = (work: ReadyWork): boolean => placed.has(toWorkKey(work))
    const accept = (work: ReadyWork, groups: readonly StartGroup[]): boolean => {
      starts.push(...groups)
      pass.isolation.recordPlacement(work, groups.flatMap(({ members }) => members))
      if (groups.length > 0) placed.set(toWorkKey(work), [...placed.get(toWorkKey(work)) ?? [], ...groups])
      return groups.length > 0
    }
    const place = (work: ReadyWork): boolean => accept(work, this.#place(work, pass))
    const reservations = new GangReservations(pass)
    const reserve = (work: ReadyWork): void => reservations.reserve(work, { acceptFar: this.#isStalled(work, pass) || this.#mustSpanRacks(work, toShape(work), pass) })
    const placeOrReserve = (work: ReadyWork): boolean => {
      if (place(work)) return true
      if (work === order.starving) reserve(work)
      return false
    }
    const waiting = ready.filter((work) => !isDeferred(work) && !placeOrReserve(work))
    const placeIfStalled = (work: ReadyWork): boolean => this.#isStalled(work, pass) && place(limitStalled(work))
    const beyondShare = placeShare(ready.filter(isDeferred), pass, place)
    const held = beyondShare.filter((work) => !this.#stalledWork.precedesReservations(work, pass) || !placeIfStalled(work))
    for (const work of ready) if (!hasProgress(work)) this.#stalledWork.recordRoom(work, pass)
    for (const work of selectReservingGangs(waiting, pass)) if (work !== order.starving) reserve(work)
    const backfillIfStalled = (work: ReadyWork): boolean => this.#isStalled(work, pass) && accept(work, reservations.backfill(work, () => this.#placeAnywhere(limitStalled(work), pass)))
    const deferred = held.filter((work) => !placeIfStalled(work) && !backfillIfStalled(work))
    const reserved = getReserve(pass, this.#demand)
    for (const work of deferred) {
      const limited = limitToAccelerators(work, pass.speeds.sumFreeBeside(reserved, pass.candidates))
      if (limited && place(limited)) continue
      if (this.#stalledWork.mayUseSuspects(work, pass)) accept(work, toGroups(work, placeOnSuspects(limitStalled(work), pass, this.#waits.getTried(work))))
    }
    for (const work of ready) if (hasProgress(work)) this.#waits.recordPlacement(work, placed.get(toWorkKey(work))!, pass.nowMs)
    this.#removeEntriesExcept(ready, pass)
    const examineWaiting = (): WaitingSurvey | null => this.#waitingWork.examine(ready, hasProgress, {
      pass,
      starts,
      shares: pass.policy.fairShares ? this.#shares : null,
      hasClaim: (work) => this.#claims.has(toWorkKey(work)),
      isKeptApart: (work) => this.#stalledWork.isKeptApart(work, pass),
      isStalled: (work) => this.#isStalled(work, pass),
      countOn: (work) => pass.createCounter(work)
    })
    return { starts, preempted: pass.preempted, ...pass.stopFigures, examineWaiting }
  }

  #isStalled (work: ReadyWork, pass: PlanningPass): boolean {
    return this.#stalledWork.isStalled(work, pass)
  }

  /**
   * Guaranteed work that has claimed capacity goes first, so that no other work is placed there once the victims have
   * ended. Work beyond a guarantee keeps its place in the order: what is guaranteed, or can still be on time, precedes it.
   */
  #moveClaimantsToFront (ready: readonly ReadyWork[], { state, needs }: PlanningPass): ReadyWork[] {
    const byKey = new Map(ready.map((work) => [toWorkKey(work), work]))
    const claimants = new Set<ReadyWork>()
    for (const key of this.#claims.keys()) {
      const work = byKey.get(key)
      if (work && isGuaranteed(state, work.job, needs)) claimants.add(work)
    }
    return [...claimants, ...ready.filter((work) => !claimants.has(work))]
  }

  #removeEntriesExcept (ready: readonly ReadyWork[], pass: PlanningPass): void {
    const known = new Set(ready.map(toWorkKey))
    for (const entries of [this.#claims, this.#retryAtMs, this.#fastRetryAtMs]) for (const key of entries.keys()) if (!known.has(key)) entries.delete(key)
    this.#waits.removeExcept(known, pass)
  }

  /** Clears the cache of shapes when the set of endpoints or a capacity has changed, or the cache is full. */
  #clearCacheOnFleetChange ({ candidates }: PlanningPass): void {
    const key = candidates.map(({ endpoint: { life, capacity } }) => `${life}/${capacity.cpuMilli}/${capacity.memMb}/${capacity.accelerators}`).join()
    if (key === this.#fleetKey && this.#acceptFar.size < MAX_CACHED_SHAPES) return
    this.#fleetKey = key
    this.#acceptFar.clear()
  }

  #mustSpanRacks (work: ReadyWork, shape: string, pass: PlanningPass): boolean {
    const { spec } = work
    if (!spec.tightlyCoupled && spec.dataRack === null) return false
    const known = this.#acceptFar.get(shape)
    if (known !== undefined) return known
    const endpoints = pass.listServiceCandidates(work).map(({ endpoint }) => endpoint)
    const acceptFar = !couldEverFit(spec, endpoints, { acceptFar: false })
    this.#acceptFar.set(shape, acceptFar)
    return acceptFar
  }

  #place (work: ReadyWork, pass: PlanningPass): StartGroup[] {
    const { job, spec, indexes } = work
    const key = toWorkKey(work)
    const claim = this.#claims.get(key)
    if (claim && pass.nowMs < claim.untilMs && !this.#isClaimVoid(work, claim, pass)) return this.#placeClaimed(work, claim, pass)
    if (this.#stalledWork.isKeptApart(work, pass)) return toGroups(work, this.#placeApart(work, pass))
    if (claim && pass.nowMs >= claim.untilMs) this.#waits.recordTried(work, listUnended(claim.stopped, pass).map(({ endpoint }) => endpoint), pass.nowMs)
    const hasClaimExpired = this.#claims.delete(key)
    const shape = toShape(work)
    const isUrgent = job.policy.priority === 0
    const isStalled = this.#isStalled(work, pass)
    const acceptFar = isStalled || this.#mustSpanRacks(work, shape, pass)
    const useSuspects = this.#stalledWork.mayUseSuspects(work, pass)
    const failedShape = `${shape},${acceptFar},${isStalled},${useSuspects}`
    if (!isUrgent && pass.failedShapes.has(failedShape)) return []
    const options = { acceptFar, useKept: isStalled, useSuspects, triedInVain: this.#waits.getTried(work) }
    // Work that has waited for a claim in vain takes any place, so that it starts within the reclaim bound.
    if (isUrgent && pass.mayPreempt && !isStalled && !hasClaimExpired) {
      const fast = this.#placeFast(work, pass, options)
      if (fast) return toGroups(work, fast)
    }
    const assignments = placeWork(work, pass, options)
    // With a limit for each endpoint the outcome depends on the job, so that it does not hold for other jobs of this shape.
    if (assignments.length === 0 && spec.maxPerEndpoint === null) pass.failedShapes.add(failedShape)
    if (assignments.length < indexes.length && isUrgent && pass.mayPreempt) this.#preemptFor(work, assignments, pass, { acceptFar, stopAll: hasClaimExpired, minSpeed: null, retryAtMs: this.#retryAtMs })
    return toGroups(work, assignments)
  }

  #placeAnywhere (work: ReadyWork, pass: PlanningPass): StartGroup[] {
    return toGroups(work, placeWork(work, pass, { acceptFar: true, useKept: true, useSuspects: false, triedInVain: this.#waits.getTried(work) }))
  }

  /** Places suspect work where no other job runs. */
  #placeApart (work: ReadyWork, pass: PlanningPass): Assignment[] {
    const empty = pass.isolation.listEmpty(listUncrashed(work, pass), work)
    const acceptFar = this.#mustSpanRacks(work, toShape(work), pass)
    return placeTasks(work.spec, work.indexes, empty, pass.createCounter(work), { acceptFar })
  }

  #placeClaimed (work: ReadyWork, claim: Claim, pass: PlanningPass): StartGroup[] {
    const { assignments } = claim
    const { byIncarnation } = pass
    // The free resources are negative while the victims still run, which keeps other work out.
    deductAssigned(work.spec, assignments, byIncarnation)
    const isFree = assignments.every(({ endpoint }) => {
      const free = byIncarnation.get(endpoint)?.free
      return free !== undefined && Math.min(free.cpuMilli, free.memMb, free.accelerators) >= 0
    })
    if (!isFree) {
      this.#stopOverdue(work, claim, pass)
      return []
    }
    this.#releaseClaim(work, claim, pass)
    return toGroups(work, assignments)
  }

  /** Keeps what starts only after its endpoint has answered a call, so that no other work takes its place until then. */
  #releaseClaim (work: ReadyWork, claim: Claim, { fleet }: PlanningPass): void {
    const awaited = claim.assignments.filter(({ endpoint }) => !fleet.hasAnsweredOfLate(endpoint))
    if (awaited.length === 0) this.#claims.delete(toWorkKey(work))
    else this.#claims.set(toWorkKey(work), { ...claim, assignments: work.spec.gang ? claim.assignments : awaited })
  }

  /**
   * Whether the queue of the work was sent to another service after the claim, a failure domain of the claim was drained, or
   * guaranteed work waits in vain: an endpoint is out of use, or has shrunk so that the end of all victims is not enough.
   */
  #isClaimVoid (work: ReadyWork, claim: Claim, pass: PlanningPass): boolean {
    if (isOfOtherService(work, claim, pass) || isInDrainedDomain(claim, pass)) return true
    if (!isGuaranteed(pass.state, work.job, pass.needs)) return false
    const isGone = claim.assignments.some(({ endpoint }) => !pass.byIncarnation.has(endpoint))
    claim.goneSinceMs = isGone ? claim.goneSinceMs ?? pass.nowMs : null
    if (claim.goneSinceMs !== null) return pass.nowMs - claim.goneSinceMs >= MAX_GONE_MS
    return listUnended([...claim.stopped, ...claim.spared], pass).length === 0 && hasShrunkBelow(work, claim, pass)
  }

  /** Stops runs that were to end soon, once guaranteed work has waited for them for too long. */
  #stopOverdue (work: ReadyWork, claim: Claim, pass: PlanningPass): void {
    if (claim.spared.length === 0 || pass.nowMs - claim.sinceMs < MAX_SPARED_MS || !isGuaranteed(pass.state, work.job, pass.needs)) return
    const overdue = listUnended(claim.spared, pass)
    if (overdue.length === 0) return
    pass.stopOverdue(overdue)
    this.#claims.set(toWorkKey(work), { ...claim, stopped: [...claim.stopped, ...overdue], spared: [], untilMs: pass.nowMs + CLAIM_MS })
  }

  /**
   * Places urgent work on endpoints that are fast enough, or claims capacity there. Returns null if neither is possible, or
   * no endpoint is too slow: the work then takes any.
   */
  #placeFast (work: ReadyWork, pass: PlanningPass, options: LadderOptions): Assignment[] | null {
    const minSpeed = pass.speeds.getDividingSpeed(work, pass.listServiceCandidates(work))
    if (minSpeed === null) return null
    const placed = placeWork(work, pass, { ...options, minSpeed, useSuspects: false })
    if (placed.length === work.indexes.length) return placed
    const isClaimed = this.#preemptFor(work, placed, pass, { acceptFar: options.acceptFar, stopAll: isGuaranteed(pass.state, work.job, pass.needs), minSpeed, retryAtMs: this.#fastRetryAtMs })
    return isClaimed || placed.length > 0 || this.#mayAwaitFast(work, pass) ? placed : null
  }

  /** Whether urgent work beyond a guarantee can wait for an endpoint of usual speed and still be in time. */
  #mayAwaitFast (work: ReadyWork, { state, needs, wallMs, history }: PlanningPass): boolean {
    if (wallMs - work.job.acceptedAtMs >= MAX_FAST_WAIT_MS || isGuaranteed(state, work.job, needs)) return false
    return getRequiredSpeed(work, wallMs, history) <= USUAL_SPEED
  }

  /** Returns whether capacity is claimed for the rest of the work. */
  #preemptFor (work: ReadyWork, placed: readonly Assignment[], pass: PlanningPass, { acceptFar, stopAll, minSpeed, retryAtMs }: PreemptionOptions): boolean {
    const key = toWorkKey(work)
    if (pass.nowMs < (retryAtMs.get(key) ?? -Infinity)) return false
    const indexes = work.indexes.filter((index) => !placed.some((assignment) => assignment.index === index))
    const countRunning = pass.createCounter(work)
    const countOn = (incarnation: EndpointIncarnation): number => countRunning(incarnation) + placed.filter(({ endpoint }) => endpoint === incarnation).length
    const all = pass.listCandidates(work)
    const candidates = minSpeed === null ? all : all.filter(({ endpoint }) => pass.speeds.get(endpoint.life) >= minSpeed)
    const search = { spec: work.spec, indexes, candidates, countOn, acceptFar }
    // Slow endpoints are left for the work, so that neither urgent victims nor a large loss are justified.
    const hasOtherPlaces = minSpeed !== null
    const victims = pass.victims.listFor(work.job, { sparesUrgent: hasOtherPlaces })
    const plan = planPreemptionBeyond(this.#waits.getTried(work), search, victims)
    if (!plan || !isWorthwhile(work, plan, pass, hasOtherPlaces)) {
      if (!plan && !hasOtherPlaces && pass.victims.isLimitedFor(work.job)) pass.stopFigures.limited += 1
      retryAtMs.set(key, pass.nowMs + PREEMPTION_RETRY_MS)
      return false
    }
    const stopped = pass.victims.select(work.job, plan.victims, { stopAll })
    pass.stopFigures.lostCoreMs += sumLostWork(plan.victims)
    const spared = stopAll ? [] : plan.victims.filter(({ endsSoon }) => endsSoon).flatMap(({ runs }) => runs)
    const capacities = new Map(plan.assignments.map(({ endpoint }) => [endpoint, pass.byIncarnation.get(endpoint)!.endpoint.capacity]))
    this.#claims.set(key, { assignments: plan.assignments, capacities, stopped, spared, sinceMs: pass.nowMs, untilMs: pass.nowMs + CLAIM_MS, goneSinceMs: null })
    deductAssigned(work.spec, plan.assignments, pass.byIncarnation)
    return true
  }
}

/** Suspect work is not deferred, so that it can use an endpoint that has returned empty. */
const isDeferred = ({ job, isSuspect }: ReadyWork): boolean => isDeferrable(job) && !isSuspect

/** One task is enough to get a job going; of long-running tasks and of a gang all are needed. */
const limitStalled = (work: ReadyWork): ReadyWork =>
  work.spec.gang || work.spec.longRunning ? work : { ...work, indexes: work.indexes.slice(0, 1) }

const listUnended = (runs: readonly ActiveRun[], { state }: PlanningPass): ActiveRun[] =>
  runs.filter(({ task, run, endpoint }) => state.jobs.listRuns(endpoint).get(task)?.run === run)

/** Whether an endpoint has shrunk since it was claimed, so that it has no room for the work beside the runs that are active there. */
const hasShrunkBelow = ({ spec }: ReadyWork, { assignments, capacities }: Claim, { state, byIncarnation }: PlanningPass): boolean => {
  const tasks = new Map<EndpointIncarnation, number>()
  for (const { endpoint } of assignments) tasks.set(endpoint, (tasks.get(endpoint) ?? 0) + 1)
  return [...tasks].some(([life, count]) => {
    const { capacity } = byIncarnation.get(life)!.endpoint
    const hasShrunk = !isSufficientFor(capacity, capacities.get(life)!)
    return hasShrunk && countFits(subtractResources(capacity, state.jobs.getUsage(life)), spec.resources) < count
  })
}

/** Whether the claim was made before the configuration sent the work to another service. */
const isOfOtherService = ({ job }: ReadyWork, { assignments }: Claim, { byIncarnation }: PlanningPass): boolean =>
  assignments.some(({ endpoint }) => {
    const candidate = byIncarnation.get(endpoint)
    return candidate !== undefined && candidate.endpoint.service !== job.policy.service
  })

/** Whether an endpoint of the claim gets no start until its failure domain is restored. */
const isInDrainedDomain = ({ assignments }: Claim, { state }: PlanningPass): boolean =>
  state.domainDrains.drainedCount > 0 && assignments.some(({ endpoint }) => state.domainDrains.isDrained(state.endpoints.get(endpoint)?.domain))

/** Gives deferrable work its share of the fleet and returns the work that was not placed. */
const placeShare = (works: readonly ReadyWork[], { state, candidates }: PlanningPass, place: (work: ReadyWork) => boolean): ReadyWork[] => {
  let budget = getDeferrableBudget(state, candidates)
  return works.filter((work) => {
    const limited = limitToAccelerators(work, budget)
    if (!limited || !place(limited)) return true
    budget -= limited.indexes.length * work.spec.resources.accelerators
    return false
  })
}

const sumLostWork = (victims: PreemptionPlan['victims']): number => victims.reduce((sum, { lostWork }) => sum + lostWork, 0)

const isWorthwhile = ({ job, spec }: ReadyWork, { victims }: PreemptionPlan, { state, needs, history }: PlanningPass, hasOtherPlaces: boolean): boolean => {
  if (!hasOtherPlaces && isGuaranteed(state, job, needs)) return true
  return sumLostWork(victims) <= MAX_LOST_WORK_FACTOR * spec.count * toCoreEquivalents(spec.resources) * history.estimateRunMs(job, spec)
}

/** Groups assignments by run number. The members of a gang share a run number; each single task counts its own runs. */
const toGroups = ({ job, occurrence, step, spec, run }: ReadyWork, members: readonly Assignment[]): StartGroup[] => {
  const { tasks } = job.getOccurrence(occurrence).steps[step]!
  const byRun = new Map<number, Assignment[]>()
  for (const member of members) {
    const number = spec.gang ? run : tasks[member.index]!.lastRun + 1
    byRun.set(number, [...byRun.get(number) ?? [], member])
  }
  return [...byRun].map(([number, group]) => ({ job: job.spec.id, occurrence, step, run: number, members: group }))
}
