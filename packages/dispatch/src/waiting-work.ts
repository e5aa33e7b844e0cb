import type { EndpointIncarnation, EndpointRecord, Resources, StartGroup } from '@ibisstair/jobs'
import { addResources, isSufficientFor, NO_RESOURCES, subtractResources } from '@ibisstair/jobs'
import type { CustomerShares } from './customer-shares.ts'
import { placeTasks, type Candidate, type CountOnEndpoint } from './placement.ts'
import type { PassView } from './plan-types.ts'
import { toWorkKey, type ReadyWork } from './ready-work.ts'
import type { CapacityFigures, WaitingEntry, WaitingSurvey, WaitReason, WaitReasonType } from './waiting-types.ts'

/** Work that has waited for less than this time without a placement is not examined. */
export const MIN_EXAMINED_WAIT_MS = 2_000

/** Time between two examinations of waiting work. */
export const EXAMINATION_PERIOD_MS = 1_000

/** Work that is examined at a time; the work whose last examination is the longest ago comes first. */
export const MAX_EXAMINED_WORK = 10

/** The same work is examined again after this time. */
export const REEXAMINATION_MS = 5_000

/** What the planner knows of work that waits. */
export interface WaitContext {
  readonly pass: PassView
  readonly starts: readonly StartGroup[]
  /** Null without fair shares. */
  readonly shares: CustomerShares | null
  hasClaim (work: ReadyWork): boolean
  /** Whether suspect work still waits for an endpoint of its own. */
  isKeptApart (work: ReadyWork): boolean
  isStalled (work: ReadyWork): boolean
  countOn (work: ReadyWork): CountOnEndpoint
}

interface Waiting {
  sinceMs: number
  examinedAtMs: number | null
  reason: WaitReasonType | null
}

/** Finds out from time to time what work waits for. It changes no state of the pass, which must be over. */
export class WaitingWork {
  readonly #waiting = new Map<string, Waiting>()
  #nextAtMs = -Infinity

  /** Returns null between two examinations. `hasProgress` tells whether the pass has placed a part of the work. */
  examine (ready: readonly ReadyWork[], hasProgress: (work: ReadyWork) => boolean, context: WaitContext): WaitingSurvey | null {
    const { nowMs } = context.pass
    const due = this.#record(ready, hasProgress, nowMs)
    if (nowMs < this.#nextAtMs) return null
    this.#nextAtMs = nowMs + EXAMINATION_PERIOD_MS
    due.sort((a, b) => (a.waiting.examinedAtMs ?? a.waiting.sinceMs) - (b.waiting.examinedAtMs ?? b.waiting.sinceMs))
    const fleets = new Map<string, ServiceFleet>()
    const entries = due.slice(0, MAX_EXAMINED_WORK).map(({ work, waiting }) => {
      const { service } = work.job.policy
      const fleet = fleets.get(service) ?? new ServiceFleet(service, context)
      fleets.set(service, fleet)
      const entry = describeWait(work, nowMs - waiting.sinceMs, fleet, context)
      waiting.examinedAtMs = nowMs
      waiting.reason = entry.reason.type
      return entry
    })
    const customers = context.shares?.summarise(ready.filter((work) => !hasProgress(work)), context.pass.history) ?? []
    return { entries, leftOut: due.length - entries.length, ...this.#summarise(nowMs), customers }
  }

  /** Starts the time anew for work of which a part was placed, and returns the work whose examination is due. */
  #record (ready: readonly ReadyWork[], hasProgress: (work: ReadyWork) => boolean, nowMs: number): Array<{ readonly work: ReadyWork, readonly waiting: Waiting }> {
    const due: Array<{ readonly work: ReadyWork, readonly waiting: Waiting }> = []
    const known = new Set<string>()
    for (const work of ready) {
      const key = toWorkKey(work)
      known.add(key)
      let waiting = this.#waiting.get(key)
      if (!waiting || hasProgress(work)) this.#waiting.set(key, waiting = { sinceMs: nowMs, examinedAtMs: null, reason: null })
      const isDue = waiting.examinedAtMs === null ? nowMs - waiting.sinceMs >= MIN_EXAMINED_WAIT_MS : nowMs - waiting.examinedAtMs >= REEXAMINATION_MS
      if (isDue) due.push({ work, waiting })
    }
    for (const key of this.#waiting.keys()) if (!known.has(key)) this.#waiting.delete(key)
    return due
  }

  #summarise (nowMs: number): Pick<WaitingSurvey, 'waiting' | 'byReason' | 'longestMs'> {
    const byReason = new Map<WaitReasonType, number>()
    let waiting = 0
    let longestMs = 0
    for (const { sinceMs, reason } of this.#waiting.values()) {
      longestMs = Math.max(longestMs, nowMs - sinceMs)
      if (nowMs - sinceMs >= MIN_EXAMINED_WAIT_MS) waiting += 1
      if (reason) byReason.set(reason, (byReason.get(reason) ?? 0) + 1)
    }
    return { waiting, byReason, longestMs }
  }
}

/** The endpoints of one service, with the capacity that is free after the starts of the pass. */
class ServiceFleet {
  readonly #free = new Map<EndpointIncarnation, Resources>()
  readonly registered: readonly EndpointRecord[]
  readonly usable: readonly EndpointRecord[]
  readonly usableFigures: CapacityFigures
  readonly registeredFigures: CapacityFigures
  readonly unclaimed: Resources

  constructor (service: string, { pass, starts }: WaitContext) {
    const { state } = pass
    this.registered = [...state.endpoints.list()].filter((endpoint) => endpoint.service === service)
    const candidates = pass.candidates.filter(({ endpoint }) => endpoint.service === service)
    this.usable = listEndpoints(candidates)
    this.unclaimed = sumResources(candidates.map(({ free }) => free))
    for (const { life, capacity } of this.registered) this.#free.set(life, subtractResources(capacity, state.jobs.getUsage(life)))
    for (const { job, step, members } of starts) {
      const resources = state.jobs.get(job)!.spec.steps[step]!.resources
      for (const { endpoint } of members) {
        const free = this.#free.get(endpoint)
        if (free) this.#free.set(endpoint, subtractResources(free, resources))
      }
    }
    this.usableFigures = this.#getFigures(this.usable)
    this.registeredFigures = this.#getFigures(this.registered)
  }

  /** Copies of the endpoints as candidates with the capacity that runs leave free. */
  listFree (endpoints: readonly EndpointRecord[]): Candidate[] {
    return endpoints.map((endpoint) => ({ endpoint, free: this.#free.get(endpoint.life)!, penalty: 0 }))
  }

  #getFigures (endpoints: readonly EndpointRecord[]): CapacityFigures {
    const total = sumResources(endpoints.map(({ capacity }) => capacity))
    const free = sumResources(endpoints.map(({ life }) => this.#free.get(life)!))
    return {
      endpoints: endpoints.length,
      total,
      free,
      usedShares: { accelerators: getUsedShare(total.accelerators, free.accelerators), cores: getUsedShare(total.cpuMilli, free.cpuMilli), memory: getUsedShare(total.memMb, free.memMb) }
    }
  }
}

const sumResources = (all: readonly Resources[]): Resources => all.reduce(addResources, NO_RESOURCES)

const getUsedShare = (total: number, free: number): number | null =>
  total > 0 ? Math.round(100 * (1 - free / total)) / 100 : null

const toIdle = (endpoints: readonly EndpointRecord[]): Candidate[] =>
  endpoints.map((endpoint) => ({ endpoint, free: endpoint.capacity, penalty: 0 }))

const listEndpoints = (candidates: readonly Candidate[]): EndpointRecord[] => candidates.map(({ endpoint }) => endpoint)

/** Returns how many tasks of the work a placement would take; 0 for a gang that does not fit whole. Leaves `candidates` as they are. */
const countPlaced = ({ spec, indexes }: ReadyWork, candidates: readonly Candidate[], countOn: CountOnEndpoint, acceptFar: boolean): number => {
  const sufficient = candidates.filter(({ free }) => isSufficientFor(free, spec.resources))
  return placeTasks(spec, indexes, sufficient.map((candidate) => ({ ...candidate })), countOn, { acceptFar }).length
}

const describeWait = (work: ReadyWork, waitedMs: number, fleet: ServiceFleet, context: WaitContext): WaitingEntry => {
  const { pass } = context
  const single = { ...work, spec: { ...work.spec, gang: false, tightlyCoupled: false } }
  return {
    work,
    reason: findReason(work, fleet, context),
    waitedMs,
    customerShare: context.shares?.getShare(work.job) ?? null,
    isStalled: context.isStalled(work),
    mayPreempt: pass.mayPreempt,
    fittingTasks: countPlaced(single, fleet.listFree(fleet.usable), context.countOn(work), true),
    usable: fleet.usableFigures,
    unclaimed: fleet.unclaimed,
    registered: fleet.registeredFigures
  }
}

const findReason = (work: ReadyWork, fleet: ServiceFleet, context: WaitContext): WaitReason => {
  const { requiredLabel } = work.spec
  if (fleet.registered.length === 0) return { type: 'no-suitable-endpoint', cause: 'none-registered', label: null }
  if (requiredLabel !== null && !fleet.registered.some(({ labels }) => labels.includes(requiredLabel))) return { type: 'no-suitable-endpoint', cause: 'label', label: requiredLabel }
  if (context.hasClaim(work)) return { type: 'claimed' }
  if (context.isKeptApart(work)) return { type: 'apart-as-suspect' }
  return findCapacityReason(work, fleet, context)
}

/** Whether the planner could place any of the work on the candidates, near or far. */
const fits = (work: ReadyWork, candidates: readonly Candidate[], countOn: CountOnEndpoint): boolean =>
  countPlaced(work, candidates, countOn, true) > 0

const findCapacityReason = (work: ReadyWork, fleet: ServiceFleet, context: WaitContext): WaitReason => {
  const countOn = context.countOn(work)
  const { usable } = fleet
  const open = context.pass.listCandidates(work)
  const openFree = fleet.listFree(listEndpoints(open))
  if (fits(work, openFree, countOn)) {
    const acceptFar = context.isStalled(work) || countPlaced(work, toIdle(usable), () => 0, false) === 0
    if (!acceptFar && countPlaced(work, openFree, countOn, false) === 0) return { type: 'one-rack', dataRack: work.spec.dataRack }
    const isUnclaimed = countPlaced(work, open, countOn, acceptFar) > 0
    return { type: 'held-for-other-work', by: isUnclaimed ? 'limit-of-deferrable-work' : 'claim-or-reservation' }
  }
  if (fits(work, fleet.listFree(usable), countOn)) return { type: 'kept-for-suspect' }
  if (fits(work, fleet.listFree(fleet.registered), countOn)) return { type: 'endpoints-out-of-use', fits: 'free' }
  if (fits(work, toIdle(usable), () => 0)) return { type: 'no-capacity' }
  return fits(work, toIdle(fleet.registered), () => 0) ? { type: 'endpoints-out-of-use', fits: 'idle' } : { type: 'larger-than-fleet' }
}
