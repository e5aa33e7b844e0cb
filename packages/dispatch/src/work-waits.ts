import type { ActiveRun, EndpointIncarnation, StartGroup } from '@ibisstair/jobs'
import type { PassView } from './plan-types.ts'
import { toWorkKey, type ReadyWork } from './ready-work.ts'

/** A confirmed run of this age shows that the work runs; one that ends earlier has failed at once. */
const STEADY_RUN_MS = 3_000

/** Endpoints that are remembered for one piece of work; the oldest are forgotten first. */
const MAX_TRIED_ENDPOINTS = 256

const NO_ENDPOINTS: ReadonlySet<EndpointIncarnation> = new Set()

/** The last start of a task whose endpoint has not confirmed it so far. */
interface Attempt {
  readonly run: number
  readonly endpoint: EndpointIncarnation
}

/** The wait of one piece of work since a run of it was last confirmed. */
export interface Wait {
  readonly work: ReadyWork
  readonly sinceMs: number
  /** Since when the work has waited as suspect; null if it has not. */
  suspectSinceMs: number | null
  /** Since when each pass has left room for the work twice over; null while there is no such room. */
  roomSinceMs: number | null
  /** When a part of the work was last placed; null while none was. */
  placedAtMs: number | null
  /** Whether an endpoint has confirmed that placement, for a gang the whole of it. */
  isConfirmed: boolean
  /** Unconfirmed starts by the index of the task. */
  readonly attempts: Map<number, Attempt>
  /** Endpoints on which runs of the work ended unconfirmed, or on which runs that were stopped for it did not end in time. */
  readonly triedInVain: Set<EndpointIncarnation>
}

/**
 * The one clock of waiting work. It runs from the time when the work began to wait until an endpoint has confirmed a run
 * of it and that run has lasted. A start that is chosen, committed or ordered does not set it back, and neither does one
 * that is refused or gets no answer.
 */
export class WorkWaits {
  readonly #waits = new Map<string, Wait>()

  get (work: ReadyWork): Wait | undefined {
    return this.#waits.get(toWorkKey(work))
  }

  /** Returns the endpoints that this work has tried in vain since a run of it was last confirmed. */
  getTried (work: ReadyWork): ReadonlySet<EndpointIncarnation> {
    return this.get(work)?.triedInVain ?? NO_ENDPOINTS
  }

  /** Returns the wait of the work, which begins anew if a part of it has run; the start of one task that lasts is no progress for the others. */
  begin (work: ReadyWork, nowMs: number): Wait {
    const key = toWorkKey(work)
    const known = this.#waits.get(key)
    if (known && (work.spec.longRunning || !hasRunSteadily(known, nowMs))) return known
    const wait: Wait = { work, sinceMs: nowMs, suspectSinceMs: null, roomSinceMs: null, placedAtMs: null, isConfirmed: false, attempts: new Map(), triedInVain: new Set() }
    this.#waits.set(key, wait)
    return wait
  }

  /** Takes note of which starts of earlier passes were confirmed and which ended unconfirmed; to be called first in a pass. */
  observe (pass: PassView): void {
    for (const wait of this.#waits.values()) if (wait.attempts.size > 0) observeAttempts(wait, pass)
  }

  recordPlacement (work: ReadyWork, groups: readonly StartGroup[], nowMs: number): void {
    const wait = this.begin(work, nowMs)
    wait.placedAtMs = nowMs
    wait.isConfirmed = false
    wait.roomSinceMs = null
    for (const { run, members } of groups) for (const { index, endpoint } of members) wait.attempts.set(index, { run, endpoint })
  }

  /** Records endpoints that did not do in time what they were ordered for this work. */
  recordTried (work: ReadyWork, endpoints: readonly EndpointIncarnation[], nowMs: number): void {
    const { triedInVain } = this.begin(work, nowMs)
    for (const endpoint of endpoints) addTried(triedInVain, endpoint)
  }

  /** Forgets work that is no longer waiting, but for work that was placed and has not run for long: its start may fail. */
  removeExcept (known: ReadonlySet<string>, { nowMs, state }: PassView): void {
    for (const [key, wait] of this.#waits) {
      const { job } = wait.work
      const isGone = !job.isActive || state.jobs.get(job.spec.id) !== job
      const mayReturn = !isGone && wait.placedAtMs !== null && !hasRunSteadily(wait, nowMs)
      if (!known.has(key) && !mayReturn) this.#waits.delete(key)
    }
  }
}

const hasRunSteadily = ({ placedAtMs, isConfirmed }: Wait, nowMs: number): boolean =>
  isConfirmed && placedAtMs !== null && nowMs - placedAtMs >= STEADY_RUN_MS

const observeAttempts = (wait: Wait, { fleet }: PassView): void => {
  const { work: { job, occurrence, step, spec }, attempts, triedInVain } = wait
  const isConfirmed = (active: ActiveRun | null): boolean => active !== null && fleet.isConfirmed(active)
  for (const [index, { run, endpoint }] of attempts) {
    const task = job.findTask(occurrence, step, index)
    const isAnswered = !task || task.isDone || (task.active?.run === run && isConfirmed(task.active))
    const hasEnded = task !== undefined && task.lastRun >= run && task.active?.run !== run
    if (isAnswered || hasEnded) attempts.delete(index)
    if (isAnswered && !spec.gang) wait.isConfirmed = true
    if (!isAnswered && hasEnded) addTried(triedInVain, endpoint)
  }
  if (spec.gang) wait.isConfirmed = isGangConfirmed(wait.work, isConfirmed)
}

const isGangConfirmed = ({ job, occurrence, step, spec }: ReadyWork, isConfirmed: (active: ActiveRun | null) => boolean): boolean => {
  for (let index = 0; index < spec.count; index++) {
    const task = job.findTask(occurrence, step, index)
    if (task && !task.isDone && !isConfirmed(task.active)) return false
  }
  return true
}

const addTried = (tried: Set<EndpointIncarnation>, endpoint: EndpointIncarnation): void => {
  tried.add(endpoint)
  if (tried.size <= MAX_TRIED_ENDPOINTS) return
  const [oldest] = tried
  tried.delete(oldest!)
}
