import type { CustomerId, TaskId } from '@ibisstair/common'
import type { ActiveRun, JobEntry, SchedulingState } from '@ibisstair/jobs'
import { mustParseTaskId } from '@ibisstair/jobs'
import { isGuaranteed } from './guarantees.ts'
import type { Victim } from './preemption.ts'
import { toCoreEquivalents } from './work-cost.ts'

const CHECKPOINT_INTERVAL_MS = 2_000

/** Time that a preempted run always loses: for its stop, its wait and its restart. */
const RESTART_MS = 500

/** Cost factors by priority number: preempting more urgent work costs more. */
const PRIORITY_COST = [8, 3, 1]

/** A run that ends by itself within this time is not stopped: a stop takes about as long and loses its work. */
const MAX_REMAINING_MS = 800

/** Returns the estimated time until a run ends by itself; null when its progress is not known. */
export type EstimateRemaining = (run: ActiveRun) => number | null

interface Preemptible {
  readonly job: JobEntry
  readonly victim: Victim
}

/** The possible victims of one planning pass, cheapest first. */
export class VictimList {
  readonly #state: SchedulingState
  readonly #needs: ReadonlyMap<CustomerId | null, number>
  readonly #preemptible: readonly Preemptible[]
  readonly #selected = new Set<TaskId>()
  readonly #stopped: TaskId[] = []

  constructor (state: SchedulingState, needs: ReadonlyMap<CustomerId | null, number>, wallMs: number, estimateRemaining: EstimateRemaining) {
    this.#state = state
    this.#needs = needs
    this.#preemptible = groupRunsByVictim(state)
      .map(({ job, step, runs }) => ({ job, victim: toVictim(job, step, runs, wallMs, estimateRemaining) }))
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
    const mayPreemptUrgent = !sparesUrgent && isGuaranteed(this.#state, job, this.#needs)
    const isLower = (other: JobEntry): boolean =>
      other.policy.priority > 0 || (mayPreemptUrgent && !isGuaranteed(this.#state, other, this.#needs))
    return this.#preemptible
      .filter(({ job: other, victim }) => other !== job && isLower(other) && !victim.runs.some(({ task }) => this.#selected.has(task)))
      .map(({ victim }) => victim)
  }

  /**
   * Marks the runs as selected, so that `listFor` offers them to no other work, and returns those to stop. With `stopAll`,
   * runs that end soon are stopped, too.
   */
  select (victims: readonly Victim[], { stopAll }: { readonly stopAll: boolean }): ActiveRun[] {
    for (const { runs } of victims) for (const { task } of runs) this.#selected.add(task)
    const stopped = victims.filter(({ endsSoon }) => stopAll || !endsSoon).flatMap(({ runs }) => runs)
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

const toVictim = ({ spec, policy }: JobEntry, step: number, runs: readonly ActiveRun[], wallMs: number, estimateRemaining: EstimateRemaining): Victim => {
  const { resources, checkpointing } = spec.steps[step]!
  const cores = runs.length * toCoreEquivalents(resources)
  const remainingMs = Math.max(...runs.map((run) => estimateRemaining(run) ?? Infinity))
  if (remainingMs <= MAX_REMAINING_MS) return { runs, resources, endsSoon: true, lostWork: 0, cost: 0 }
  const workedMs = Math.max(0, wallMs - runs[0]!.startedAtMs)
  const lostMs = checkpointing ? Math.min(workedMs, CHECKPOINT_INTERVAL_MS) : workedMs
  const factor = PRIORITY_COST[Math.min(policy.priority, PRIORITY_COST.length - 1)]!
  return { runs, resources, endsSoon: false, lostWork: cores * lostMs, cost: cores * (lostMs + RESTART_MS) * factor }
}
