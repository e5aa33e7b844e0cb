import type { CustomerId, TaskId } from '@ibisstair/common'
import type { ActiveRun, JobEntry, SchedulingState } from '@ibisstair/jobs'
import { mustParseTaskId } from '@ibisstair/jobs'
import { isGuaranteed } from './guarantees.ts'
import { isProtected } from './preemption-limits.ts'
import type { Victim } from './preemption.ts'
import { toCoreEquivalents } from './work-cost.ts'

/** Time between two checkpoints of a run that saves them. */
export const CHECKPOINT_INTERVAL_MS = 2_000

/** Time that a preempted run always loses: for its stop, its wait and its restart. */
const RESTART_MS = 500

/** Cost factors by priority number: preempting more urgent work costs more. */
const PRIORITY_COST = [8, 3, 1]

/** A run that ends by itself within this time is not stopped: a stop takes about as long and loses its work. */
const MAX_REMAINING_MS = 800

/** Returns the estimated time until a run ends by itself; null when its progress is not known. */
export type EstimateRemaining = (run: ActiveRun) => number | null

export interface VictimOptions {
  /** Time between two checkpoints of a run that saves them. */
  readonly checkpointIntervalMs: number
  /** Whether work that was stopped often enough is protected from work beyond a guarantee. */
  readonly limitsStops: boolean
}

interface Preemptible {
  readonly job: JobEntry
  readonly victim: Victim
}

/** The possible victims of one planning pass, cheapest first. */
export class VictimList {
  readonly #state: SchedulingState
  readonly #needs: ReadonlyMap<CustomerId | null, number>
  readonly #limitsStops: boolean
  readonly #preemptible: readonly Preemptible[]
  readonly #selected = new Set<TaskId>()
  readonly #stopped: TaskId[] = []

  constructor (state: SchedulingState, needs: ReadonlyMap<CustomerId | null, number>, wallMs: number, estimateRemaining: EstimateRemaining, { checkpointIntervalMs, limitsStops }: VictimOptions) {
    this.#state = state
    this.#needs = needs
    this.#limitsStops = limitsStops
    this.#preemptible = groupRunsByVictim(state)
      .map((group) => ({ job: group.job, victim: toVictim(group, wallMs, estimateRemaining, checkpointIntervalMs) }))
      .sort((a, b) => a.victim.cost - b.victim.cost)
  }

  /** The selected runs that have to be stopped; the others end by themselves about as soon. */
  get stopped (): readonly TaskId[] {
    return this.#stopped
  }

  /**
   * Returns the victims that the job may preempt: less urgent work, and for a job within its customer's guarantee also urgent
   * work beyond one, unless that is to be spared.
   */
  listFor (job: JobEntry, { sparesUrgent = false }: { readonly sparesUrgent?: boolean } = {}): Victim[] {
    return this.#listLower(job, sparesUrgent).filter((victim) => !this.#isProtectedFrom(job, victim))
  }

  /** Whether the job may not preempt some of that work only because it was stopped often enough. */
  isLimitedFor (job: JobEntry): boolean {
    return this.#listLower(job, false).some((victim) => this.#isProtectedFrom(job, victim))
  }

  #listLower (job: JobEntry, sparesUrgent: boolean): Victim[] {
    const mayPreemptUrgent = !sparesUrgent && isGuaranteed(this.#state, job, this.#needs)
    const isLower = (other: JobEntry): boolean =>
      other.policy.priority > 0 || (mayPreemptUrgent && !isGuaranteed(this.#state, other, this.#needs))
    return this.#preemptible
      .filter(({ job: other, victim }) => other !== job && isLower(other) && !victim.runs.some(({ task }) => this.#selected.has(task)))
      .map(({ victim }) => victim)
  }

  /** A run that ends by itself about as soon may be waited for, also if it is protected. */
  #isProtectedFrom (job: JobEntry, victim: Victim): boolean {
    return !victim.endsSoon && !this.#mayStop(job, victim)
  }

  #mayStop (job: JobEntry, { runs: [run] }: Victim): boolean {
    return !this.#limitsStops || !isProtected(this.#state, run!) || isGuaranteed(this.#state, job, this.#needs)
  }

  /**
   * Marks the runs as selected, so that `listFor` offers them to no other work, and returns those to stop. With `stopAll`,
   * runs that end soon are stopped, too, if the job may stop them.
   */
  select (job: JobEntry, victims: readonly Victim[], { stopAll }: { readonly stopAll: boolean }): ActiveRun[] {
    for (const { runs } of victims) for (const { task } of runs) this.#selected.add(task)
    const stopped = victims.filter((victim) => !victim.endsSoon || (stopAll && this.#mayStop(job, victim))).flatMap(({ runs }) => runs)
    this.#stopped.push(...stopped.map(({ task }) => task))
    return stopped
  }
}

interface RunGroup {
  readonly job: JobEntry
  readonly step: number
  readonly runs: ActiveRun[]
}

/** Members of a gang end together; every other run is a group by itself. */
const groupRunsByVictim = (state: SchedulingState): RunGroup[] => {
  const groups = new Map<string, RunGroup>()
  for (const incarnation of state.jobs.listOccupiedEndpoints()) {
    for (const run of state.jobs.listRuns(incarnation).values()) {
      const { job: id, occurrence, step } = mustParseTaskId(run.task)
      const job = state.jobs.get(id)!
      const key = job.spec.steps[step]!.gang ? `${id}.${occurrence}.${step}` : run.task
      const group = groups.get(key)
      if (group) group.runs.push(run)
      else groups.set(key, { job, step, runs: [run] })
    }
  }
  return [...groups.values()]
}

const toVictim = ({ job: { spec, policy }, step, runs }: RunGroup, wallMs: number, estimateRemaining: EstimateRemaining, checkpointIntervalMs: number): Victim => {
  const { resources, checkpointing } = spec.steps[step]!
  const cores = runs.length * toCoreEquivalents(resources)
  const remainingMs = Math.max(...runs.map((run) => estimateRemaining(run) ?? Infinity))
  if (remainingMs <= MAX_REMAINING_MS) return { runs, resources, endsSoon: true, lostWork: 0, cost: 0 }
  const workedMs = Math.max(0, wallMs - runs[0]!.startedAtMs)
  const lostMs = checkpointing ? Math.min(workedMs, checkpointIntervalMs) : workedMs
  const factor = PRIORITY_COST[Math.min(policy.priority, PRIORITY_COST.length - 1)]!
  return { runs, resources, endsSoon: false, lostWork: cores * lostMs, cost: cores * (lostMs + RESTART_MS) * factor }
}
