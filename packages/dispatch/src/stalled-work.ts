import type { PlanningPass } from './planning-pass.ts'
import { toWorkKey, type ReadyWork } from './ready-work.ts'
import { fitsTwice } from './service-load.ts'

/** Time for which work waits for the best place before it takes any. */
const STALL_PATIENCE_MS = 1_500

/**
 * Tells which work has waited for too long for a place that may never come: in one rack, near its data, or beside
 * capacity that is kept free for other work. A task that lasts is not to wait at all; other work only counts while
 * nothing of its occurrence runs and the fleet is idle, since on a busy one a better place becomes free by itself.
 */
export class StalledWork {
  readonly #sinceMs = new Map<string, number>()

  isStalled (work: ReadyWork, pass: PlanningPass): boolean {
    const sinceMs = this.#sinceMs.get(toWorkKey(work))
    if (sinceMs === undefined || pass.nowMs - sinceMs < STALL_PATIENCE_MS) return false
    return work.spec.longRunning || (!hasRuns(work) && hasSpareCapacity(work, pass))
  }

  /**
   * Starts the time anew for work of which a part was placed, and keeps it for work that waits. Each task that lasts has
   * to run, so that the start of one is no progress for the others.
   */
  record (work: ReadyWork, hasProgress: boolean, nowMs: number): void {
    const key = toWorkKey(work)
    if ((hasProgress && !work.spec.longRunning) || !this.#sinceMs.has(key)) this.#sinceMs.set(key, nowMs)
  }

  removeExcept (known: ReadonlySet<string>): void {
    for (const key of this.#sinceMs.keys()) if (!known.has(key)) this.#sinceMs.delete(key)
  }
}

/** Each occurrence of a repeated job is due by itself, whatever the others do. */
const hasRuns = ({ job, occurrence }: ReadyWork): boolean =>
  job.getOccurrence(occurrence).steps.some(({ activeTasks }) => activeTasks > 0)

/** A fleet that is only partly idle also needs room for the work twice over, so that little other work has to wait for it. */
const hasSpareCapacity = (work: ReadyWork, pass: PlanningPass): boolean => {
  switch (pass.getIdleness(work)) {
    case 'idle': return true
    case 'partly': return fitsTwice(work, pass.listServiceCandidates(work), pass.createCounter(work))
    case 'busy': return false
  }
}
