import type { ActiveRun } from '@ibisstair/jobs'
import { MAX_SUSPECT_WAIT_MS } from './constants.ts'
import type { PassView } from './plan-types.ts'
import type { ReadyWork } from './ready-work.ts'
import { fitsTwice } from './service-load.ts'
import type { WorkWaits } from './work-waits.ts'

/** Time for which work waits for the best place before it takes any. */
const STALL_PATIENCE_MS = 1_500

/** Shortest time between a start of work and its next start on a suspect endpoint. */
const SUSPECT_ENDPOINT_RETRY_MS = 1_000

/** A run that its endpoint has not confirmed within this time is not known to run. */
const CONFIRMATION_MS = 1_500

/**
 * Tells which work has waited for too long for a place that may never come: in one rack, near its data, or beside
 * capacity that is kept free for other work. A task that lasts is not to wait at all. Other work counts while nothing of
 * its occurrence runs: on an idle fleet from the time when it began to wait, on a partly idle one from the time when room
 * for it has been left unused. On a busy fleet a better place becomes free by itself.
 */
export class StalledWork {
  readonly #waits: WorkWaits

  constructor (waits: WorkWaits) {
    this.#waits = waits
  }

  isStalled (work: ReadyWork, pass: PassView): boolean {
    const wait = this.#waits.get(work)
    if (wait === undefined) return false
    if (work.spec.longRunning) return hasLasted(wait.sinceMs, pass)
    if (hasRuns(work, pass)) return false
    return hasLasted(pass.getIdleness(work) === 'idle' ? wait.sinceMs : wait.roomSinceMs, pass)
  }

  /**
   * Whether the work may be placed on suspect endpoints if no other one has room. It is tried there at most once in a
   * while, since most suspects fail or refuse again.
   */
  mayUseSuspects (work: ReadyWork, pass: PassView): boolean {
    const wait = this.#waits.get(work)
    if (wait === undefined || !hasLasted(wait.sinceMs, pass) || pass.listSuspects(work).length === 0) return false
    if (wait.placedAtMs !== null && pass.nowMs - wait.placedAtMs < SUSPECT_ENDPOINT_RETRY_MS) return false
    return work.spec.longRunning || (!hasRuns(work, pass) && pass.isIdleWithSuspects(work))
  }

  /** Whether the stalled work goes before capacity that is reserved for gangs, which on a fleet in use would starve them. */
  precedesReservations (work: ReadyWork, pass: PassView): boolean {
    return work.spec.longRunning || pass.getIdleness(work) === 'idle'
  }

  /** Whether suspect work still waits for an endpoint of its own; it does so only for a while, since it may be innocent. */
  isKeptApart (work: ReadyWork, { nowMs }: PassView): boolean {
    if (!work.isSuspect) return false
    const wait = this.#waits.begin(work, nowMs)
    wait.suspectSinceMs ??= nowMs
    return nowMs - wait.suspectSinceMs < MAX_SUSPECT_WAIT_MS
  }

  /** Records whether a pass leaves room unused for work that it has not placed so far; to be called before capacity is reserved. */
  recordRoom (work: ReadyWork, pass: PassView): void {
    const wait = this.#waits.begin(work, pass.nowMs)
    const isRoomUnused = !hasRuns(work, pass) && hasUnusedRoom(work, pass)
    wait.roomSinceMs = isRoomUnused ? wait.roomSinceMs ?? pass.nowMs : null
  }
}

const hasLasted = (sinceMs: number | null, { nowMs }: PassView): boolean => sinceMs !== null && nowMs - sinceMs >= STALL_PATIENCE_MS

/**
 * Each occurrence of a repeated job is due by itself, whatever the others do. A run of a task that is done does not count,
 * and neither does one that its endpoint has not confirmed in time.
 */
const hasRuns = ({ job, occurrence }: ReadyWork, { fleet, wallMs }: PassView): boolean => {
  const isRun = (active: ActiveRun): boolean => wallMs - active.startedAtMs < CONFIRMATION_MS || fleet.isConfirmed(active)
  return job.getOccurrence(occurrence).steps.some(({ activeTasks, tasks }) => activeTasks > 0 && tasks.some(({ active, isDone }) => active !== null && !isDone && isRun(active)))
}

const hasUnusedRoom = (work: ReadyWork, pass: PassView): boolean =>
  pass.getIdleness(work) !== 'busy' && fitsTwice(work, pass)
