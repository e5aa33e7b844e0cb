import type { PlanningPass } from './planning-pass.ts'
import { toWorkKey, type ReadyWork } from './ready-work.ts'
import { fitsTwice } from './service-load.ts'

/** Time for which work waits for the best place before it takes any. */
const STALL_PATIENCE_MS = 1_500

/** Work that waits again within this time of its start has not run: the start was refused, or the run failed at once. */
const STEADY_RUN_MS = 3_000

interface Wait {
  sinceMs: number
  /** When a part of the work was last placed; null while none was. */
  placedAtMs: number | null
  /** Since when each pass has left room for the work twice over; null while there is no such room. */
  roomSinceMs: number | null
}

/**
 * Tells which work has waited for too long for a place that may never come: in one rack, near its data, or beside
 * capacity that is kept free for other work. A task that lasts is not to wait at all. Other work counts while nothing of
 * its occurrence runs: on an idle fleet from the time when it began to wait, on a partly idle one from the time when room
 * for it has been left unused. On a busy fleet a better place becomes free by itself.
 */
export class StalledWork {
  readonly #waits = new Map<string, Wait>()

  isStalled (work: ReadyWork, pass: PlanningPass): boolean {
    const wait = this.#waits.get(toWorkKey(work))
    if (wait === undefined) return false
    if (work.spec.longRunning) return hasLasted(wait.sinceMs, pass)
    if (hasRuns(work)) return false
    return hasLasted(pass.getIdleness(work) === 'idle' ? wait.sinceMs : wait.roomSinceMs, pass)
  }

  /** Whether the stalled work goes before capacity that is reserved for gangs, which on a fleet in use would starve them. */
  precedesReservations (work: ReadyWork, pass: PlanningPass): boolean {
    return work.spec.longRunning || pass.getIdleness(work) === 'idle'
  }

  /** Records whether a pass leaves room unused for work that it has not placed so far; to be called before capacity is reserved. */
  recordRoom (work: ReadyWork, pass: PlanningPass): void {
    const wait = this.#getWait(work, pass.nowMs)
    const isRoomUnused = !hasRuns(work) && hasUnusedRoom(work, pass)
    wait.roomSinceMs = isRoomUnused ? wait.roomSinceMs ?? pass.nowMs : null
  }

  /** Records that a pass has placed a part of the work. */
  recordPlacement (work: ReadyWork, nowMs: number): void {
    const wait = this.#getWait(work, nowMs)
    wait.placedAtMs = nowMs
    wait.roomSinceMs = null
  }

  /** Forgets work that is no longer waiting, but for work that was placed just now: its start may fail. */
  removeExcept (known: ReadonlySet<string>, nowMs: number): void {
    for (const [key, wait] of this.#waits) {
      const mayReturn = wait.placedAtMs !== null && !hasRunSteadily(wait, nowMs)
      if (!known.has(key) && !mayReturn) this.#waits.delete(key)
    }
  }

  /** The wait begins anew for work of which a part has run; the start of one task that lasts is no progress for the others. */
  #getWait (work: ReadyWork, nowMs: number): Wait {
    const key = toWorkKey(work)
    const known = this.#waits.get(key)
    if (known && (work.spec.longRunning || !hasRunSteadily(known, nowMs))) return known
    const wait = { sinceMs: nowMs, placedAtMs: null, roomSinceMs: null }
    this.#waits.set(key, wait)
    return wait
  }
}

const hasLasted = (sinceMs: number | null, { nowMs }: PlanningPass): boolean => sinceMs !== null && nowMs - sinceMs >= STALL_PATIENCE_MS

const hasRunSteadily = ({ placedAtMs }: Wait, nowMs: number): boolean => placedAtMs !== null && nowMs - placedAtMs >= STEADY_RUN_MS

/** Each occurrence of a repeated job is due by itself, whatever the others do. A run of a task that is done does not count. */
const hasRuns = ({ job, occurrence }: ReadyWork): boolean =>
  job.getOccurrence(occurrence).steps.some(({ activeTasks, tasks }) => activeTasks > 0 && tasks.some(({ active, isDone }) => active !== null && !isDone))

const hasUnusedRoom = (work: ReadyWork, pass: PlanningPass): boolean =>
  pass.getIdleness(work) !== 'busy' && fitsTwice(work, pass)
