import type { ActiveRun, Resources } from '@ibisstair/jobs'
import { addResources, countFits, mustParseTaskId, NO_RESOURCES, subtractResources } from '@ibisstair/jobs'
import { placeTasks, type Candidate } from './placement.ts'
import type { PassView } from './plan-types.ts'
import { toShape, type ReadyWork } from './ready-work.ts'

interface RunningTask {
  readonly candidate: number
  readonly resources: Resources
  readonly remainingMs: number
}

interface ReservingGang {
  readonly work: ReadyWork
  readonly acceptFar: boolean
}

/**
 * Free capacity that is withheld from later work during one pass, so that a gang is not starved. Work that ends before any
 * of the gangs can start may use it meanwhile (backfill).
 */
export class GangReservations {
  readonly #pass: PassView
  readonly #gangs: ReservingGang[] = []
  readonly #reserved = new Map<Candidate, Resources>()
  /** Shapes that did not fit with the reserved capacity; free capacity only shrinks during a pass. */
  readonly #failedShapes = new Set<string>()
  #earliestStartMs: number | null = null

  constructor (pass: PassView) {
    this.#pass = pass
  }

  /** Withholds the most suitable free capacity. `acceptFar` tells whether the gang may be placed across racks. */
  reserve (work: ReadyWork, { acceptFar }: { readonly acceptFar: boolean }): void {
    const { spec } = work
    this.#gangs.push({ work, acceptFar })
    let missing = spec.count
    for (const candidate of listUseful(work, this.#pass.listCandidates(work))) {
      const tasks = Math.min(missing, countFits(candidate.free, spec.resources))
      for (let i = 0; i < tasks; i++) this.#withhold(candidate, spec.resources)
      missing -= tasks
    }
  }

  /** Places the work with the reserved capacity if it ends before any of the gangs can start. */
  backfill<T> (work: ReadyWork, place: () => readonly T[]): readonly T[] {
    const shape = toShape(work)
    if (this.#failedShapes.has(shape) || !this.#endsInTime(work)) return []
    for (const [candidate, resources] of this.#reserved) candidate.free = addResources(candidate.free, resources)
    const placed = place()
    for (const [candidate, resources] of this.#reserved) candidate.free = subtractResources(candidate.free, resources)
    if (placed.length === 0 && work.spec.maxPerEndpoint === null) this.#failedShapes.add(shape)
    return placed
  }

  #withhold (candidate: Candidate, resources: Resources): void {
    candidate.free = subtractResources(candidate.free, resources)
    this.#reserved.set(candidate, addResources(this.#reserved.get(candidate) ?? NO_RESOURCES, resources))
  }

  #endsInTime ({ job, spec }: ReadyWork): boolean {
    if (spec.longRunning || this.#reserved.size === 0) return false
    this.#earliestStartMs ??= Math.min(...this.#gangs.map((gang) => this.#estimateStartMs(gang)))
    return this.#pass.history.estimateLongRunMs(job, spec) <= this.#earliestStartMs
  }

  /** Returns the time until enough runs are expected to have ended for the gang; Infinity if they never do. */
  #estimateStartMs ({ work, acceptFar }: ReservingGang): number {
    const candidates = this.#pass.listCandidates(work).map((candidate) => ({ ...candidate, free: addResources(candidate.free, this.#reserved.get(candidate) ?? NO_RESOURCES) }))
    const running = candidates.flatMap((candidate, index) => this.#listRunning(candidate, index)).sort((a, b) => a.remainingMs - b.remainingMs)
    const fitsAfter = (count: number): boolean => {
      const freed = candidates.map((candidate) => ({ ...candidate }))
      for (const { candidate, resources } of running.slice(0, count)) freed[candidate]!.free = addResources(freed[candidate]!.free, resources)
      return placeTasks(work.spec, work.indexes, freed, () => 0, { acceptFar }).length === work.indexes.length
    }
    return findLeast(running.length, fitsAfter, (count) => count === 0 ? 0 : running[count - 1]!.remainingMs)
  }

  /** Returns the runs on the endpoint that end by themselves. */
  #listRunning ({ endpoint }: Candidate, candidate: number): RunningTask[] {
    const { state, fleet, history } = this.#pass
    return [...state.jobs.listRuns(endpoint.life).values()].flatMap((run) => {
      const ref = mustParseTaskId(run.task)
      const job = state.jobs.get(ref.job)!
      const step = job.spec.steps[ref.step]!
      const getRunMs = (): number => history.estimateRunMs(job, step) / fleet.getSpeed(endpoint)
      return step.longRunning ? [] : [{ candidate, resources: step.resources, remainingMs: this.#estimateRemainingMs(run, getRunMs) }]
    })
  }

  /** A run that takes longer than expected, and whose progress is not known, is expected to go on for as long as it is late. */
  #estimateRemainingMs (run: ActiveRun, getRunMs: () => number): number {
    const { fleet, wallMs } = this.#pass
    return fleet.estimateRemainingMs(run) ?? Math.abs(getRunMs() - (wallMs - run.startedAtMs))
  }
}

/** Returns the value of the smallest count for which the condition holds, which then holds for all larger ones; Infinity if there is none. */
const findLeast = (max: number, holds: (count: number) => boolean, getValue: (count: number) => number): number => {
  if (!holds(max)) return Infinity
  let low = 0
  let high = max
  while (low < high) {
    const middle = (low + high) >> 1
    if (holds(middle)) high = middle
    else low = middle + 1
  }
  return getValue(high)
}

/** Returns the candidates in the order in which a gang reserves them; those of the rack with most free accelerators if it has to be in one. */
const listUseful = ({ spec }: ReadyWork, candidates: readonly Candidate[]): Candidate[] => {
  const freeByRack = new Map<string, number>()
  for (const { endpoint, free } of candidates) freeByRack.set(endpoint.rack, (freeByRack.get(endpoint.rack) ?? 0) + Math.max(0, free.accelerators))
  const [best] = [...freeByRack].sort(([, a], [, b]) => b - a)
  return candidates.filter(({ endpoint }) => !spec.tightlyCoupled || endpoint.rack === best?.[0]).sort((a, b) => b.free.accelerators - a.free.accelerators)
}
