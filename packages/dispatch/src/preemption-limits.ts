import type { TaskId } from '@ibisstair/common'
import { mustParseTaskId, type ActiveRun, type SchedulingState } from '@ibisstair/jobs'
import type { Candidate } from './placement.ts'
import type { Victim } from './preemption.ts'
import { toCoreEquivalents } from './work-cost.ts'

/** A task, or a gang, is stopped at most this often for work beyond a guarantee; then it runs to its end. */
const MAX_STOPS = 3

/** Time over which the work that stopped runs lose is limited. */
const LOSS_WINDOW_MS = 10_000

/** Share of a service's core seconds in the window that may be lost for work beyond a guarantee. */
const MAX_LOST_SHARE = 0.1

/** A run of this age that follows another run of its task is taken last: it would lose its start for the second time. */
const FRESH_RESTART_MS = 1_000

/** A run that was stopped longer ago and is still active was not stopped: its endpoint has not received the order. */
const MAX_STOPPING_MS = 3_000

interface Loss {
  readonly atMs: number
  readonly coreMs: number
}

interface StoppingRun {
  readonly run: number
  readonly atMs: number
}

/** Returns the number of earlier runs of the task that ended without a failure: at least the number of its stops. */
export const countStops = (state: SchedulingState, { task, run }: ActiveRun): number => {
  const { job, occurrence, step, index } = mustParseTaskId(task)
  const entry = state.jobs.get(job)!.getOccurrence(occurrence).steps[step]!
  const { failedRuns } = state.jobs.get(job)!.spec.steps[step]!.gang ? entry : entry.tasks[index]!
  return Math.max(0, run - 1 - failedRuns.length)
}

/** Whether the runs may no longer be stopped for work beyond a guarantee. A task that lasts has no end to run to. */
export const isProtected = (state: SchedulingState, { runs: [run], endsSoon }: Victim): boolean => {
  const { job, step } = mustParseTaskId(run!.task)
  return !endsSoon && !state.jobs.get(job)!.spec.steps[step]!.longRunning && countStops(state, run!) >= MAX_STOPS
}

/** Whether the run has started a short time ago in place of an earlier one. */
export const isFreshRestart = (state: SchedulingState, run: ActiveRun, wallMs: number): boolean =>
  wallMs - run.startedAtMs < FRESH_RESTART_MS && countStops(state, run) > 0

/**
 * Limits what is lost when runs are stopped for work beyond a guarantee. The load: urgent gangs in a burst stop whole racks
 * of deferrable work, which starts again in the same place and is stopped again. The number of stops comes from the replicated
 * state; a new leader knows no losses and no runs that are being stopped, and learns them within the window.
 */
export class PreemptionLimits {
  readonly #losses = new Map<string, Loss[]>()
  readonly #stopping = new Map<TaskId, StoppingRun>()

  /** Forgets what lies outside of the window. */
  begin (nowMs: number): void {
    for (const [service, losses] of this.#losses) this.#losses.set(service, losses.filter(({ atMs }) => nowMs - atMs < LOSS_WINDOW_MS))
    for (const [task, { atMs }] of this.#stopping) if (nowMs - atMs >= MAX_STOPPING_MS) this.#stopping.delete(task)
  }

  recordStops (runs: readonly ActiveRun[], nowMs: number): void {
    for (const { task, run } of runs) this.#stopping.set(task, { run, atMs: nowMs })
  }

  isStopping ({ task, run }: ActiveRun): boolean {
    return this.#stopping.get(task)?.run === run
  }

  /** Whether the service may lose that much more work, in core milliseconds; `candidates` are its endpoints. */
  mayLose (service: string, coreMs: number, candidates: readonly Candidate[]): boolean {
    const cores = candidates.reduce((sum, { endpoint }) => sum + toCoreEquivalents(endpoint.capacity), 0)
    const lost = (this.#losses.get(service) ?? []).reduce((sum, loss) => sum + loss.coreMs, 0)
    return lost + coreMs <= MAX_LOST_SHARE * LOSS_WINDOW_MS * cores
  }

  recordLoss (service: string, coreMs: number, nowMs: number): void {
    this.#losses.set(service, [...this.#losses.get(service) ?? [], { atMs: nowMs, coreMs }])
  }
}
