import type { PlanningPass } from './planning-pass.ts'
import { toWorkKey, type ReadyWork } from './ready-work.ts'
import { fitsTwice } from './service-load.ts'

/** Time for which work waits for the best place before it takes any. */
const STALL_PATIENCE_MS = 1_500

/** Work that waits again within this time of its start has not run: the start was refused, or the run failed at once. */
const STEADY_RUN_MS = 3_000

/**
 * Tells which work has waited for too long for a place that may never come: in one rack, near its data, or beside
 * capacity that is kept free for other work. A task that lasts is not to wait at all; other work only counts while
 * nothing of its occurrence runs and the fleet is idle, since on a busy one a better place becomes free by itself.
 */
export class StalledWork {
  readonly #waits = new Map<string, Wait>()

  isStalled (work: ReadyWork, pass: PlanningPass): boolean {
    const wait = this.#waits.get(toWorkKey(work))
    if (wait === undefined || pass.nowMs - wait.sinceMs < STALL_PATIENCE_MS) return false
    return work.spec.longRunning || (!hasRuns(work) && hasSpareCapacity(work, pass))
  }

  /**
   * Records work that waited in a pass, and whether a part of it was placed. Each task that lasts has to run, so that the
   * start of one is no progress for the others.
   */
  record (work: ReadyWork, isPlaced: boolean, nowMs: number): void {
    const key = toWorkKey(work)
    const wait = this.#waits.get(key)
    if (!wait || (!work.spec.longRunning && hasRunFor(STEADY_RUN_MS, wait, nowMs))) this.#waits.set(key, { sinceMs: nowMs, placedAtMs: isPlaced ? nowMs : null })
    else if (isPlaced) wait.placedAtMs = nowMs
  }

  /** Forgets work that is no longer waiting, but for work that was placed just now: its start may fail. */
  removeExcept (known: ReadonlySet<string>, nowMs: number): void {
    for (const [key, wait] of this.#waits) {
      const mayReturn = wait.placedAtMs !== null && !hasRunFor(STEADY_RUN_MS, wait, nowMs)
      if (!known.has(key) && !mayReturn) this.#waits.delete(key)
    }
  }
}

interface Wait {
  sinceMs: number
  /** When a part of the work was last placed; null while none was. */
  placedAtMs: number | null
}

const hasRunFor = (ms: number, { placedAtMs }: Wait, nowMs: number): boolean => placedAtMs !== null && nowMs - placedAtMs >= ms

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
