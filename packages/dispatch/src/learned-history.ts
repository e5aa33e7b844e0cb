import type { TaskId } from '@ibisstair/common'
import type { SharedRunTimes } from '@ibisstair/estimation'
import { parseTaskId, type ActiveRun, type EndpointIncarnation, type EndpointRecord, type JobEntry, type RunEnd, type SchedulingState, type StepEntry, type StepSpec } from '@ibisstair/jobs'
import type { Logger, Metrics } from '@ibisstair/telemetry'
import { isSlowedByDistance } from './distance.ts'
import type { WorkHistory } from './plan-types.ts'
import { toWorkKey, type ReadyWork } from './ready-work.ts'
import { TaskFailures } from './task-failures.ts'
import { WorkDurations } from './work-durations.ts'

/** Recorded gangs that are remembered, so that each counts once: their members report their ends within some hundred milliseconds. */
const MAX_REMEMBERED_GANGS = 512
/** Lines on queues that one leader writes. */
const MAX_QUEUE_LINES = 256
/** Lines on hopeless tasks in one report. */
const MAX_HOPELESS_LINES = 5

export interface LearnedHistoryOptions {
  readonly state: SchedulingState
  readonly logger: Logger
  readonly metrics: Metrics
  /** Returns the speed relative to the median of the service; 1 while it is not known. */
  readonly getSpeed: (endpoint: EndpointRecord) => number
  /** Run times that an earlier leader has learned; none by default. */
  readonly runTimes?: readonly SharedRunTimes[]
}

/** When a run began and ended, by `timers.now()` of this leader. */
export interface RunPeriod {
  /** Null when the endpoint did not confirm the start at once, or its answers were late since. */
  readonly startedAtMs: number | null
  readonly endedAtMs: number
}

/** A run that occupies an endpoint, with what the state knows of it. */
interface KnownRun {
  readonly job: JobEntry
  readonly step: StepSpec
  readonly entry: StepEntry
  readonly active: ActiveRun
  readonly checkpoint: string
}

/**
 * What a leader learns of work from the ends that endpoints report. It is not in the replicated state: a new leader starts
 * from the run times that it was sent, and without failures.
 */
export class LearnedHistory implements WorkHistory {
  readonly #options: LearnedHistoryOptions
  readonly #durations: WorkDurations
  readonly #failures = new TaskFailures()
  readonly #recordedGangs = new Set<string>()
  readonly #loggedQueues = new Set<string>()
  #hopeless: ReadonlySet<TaskId> = new Set()

  constructor (options: LearnedHistoryOptions) {
    this.#options = options
    this.#durations = new WorkDurations(options.runTimes)
  }

  estimateRunMs (job: JobEntry, step: StepSpec): number {
    return this.#durations.estimateRunMs(job, step)
  }

  estimateLongRunMs (job: JobEntry, step: StepSpec): number {
    return this.#durations.estimateLongRunMs(job, step)
  }

  listHopeless (work: ReadyWork): readonly number[] {
    const key = toWorkKey(work)
    if (!this.#failures.hasFailures(key)) return []
    return work.indexes.filter((index) => this.#failures.isHopeless(work.job.spec.id, key, index, work.spec.gang))
  }

  /** Learns from an end before it is committed; ends of runs that the endpoint is not known to run say nothing. */
  recordEnd (endpoint: EndpointRecord, end: RunEnd, period: RunPeriod): void {
    if (end.outcome !== 'done' && end.outcome !== 'failed') return
    const known = findRun(this.#options.state, endpoint, end)
    // Long-running tasks are restarted however they end.
    if (!known || known.step.longRunning) return
    const isDone = end.outcome === 'done'
    this.#failures.recordEnd({ endpoint, task: end.task, run: end.run, isDone, isGang: known.step.gang })
    if (isDone) this.#recordDuration(known, period)
  }

  /** Returns the learned run times, from which another leader may continue. */
  getRunTimes (): readonly SharedRunTimes[] {
    return this.#durations.toSnapshot()
  }

  removeEndpoint (life: EndpointIncarnation): void {
    this.#failures.removeEndpoint(life)
  }

  /** Reports what is learned in metrics and in one line for each queue and task, and forgets work that has ended. */
  report (): void {
    this.#failures.retainJobs((job) => this.#options.state.jobs.get(job)?.isActive ?? false)
    this.#reportHopeless()
    this.#reportQueues()
  }

  /** Sets the metrics of a leader whose term is over to 0. */
  close (): void {
    for (const name of ['run-times.queues', 'run-times.lowest-ratio-percent', 'run-times.highest-ratio-percent', 'work.hopeless']) this.#options.metrics.gauge(name, 0)
  }

  #reportHopeless (): void {
    const { logger, metrics } = this.#options
    const hopeless = this.#failures.listHopeless()
    const added = hopeless.filter((task) => !this.#hopeless.has(task))
    for (const task of added.slice(0, MAX_HOPELESS_LINES)) logger.info('task fails on several healthy endpoints', { task, more: Math.max(0, added.length - MAX_HOPELESS_LINES) })
    metrics.gauge('work.hopeless', hopeless.length)
    this.#hopeless = new Set(hopeless)
  }

  #reportQueues (): void {
    const { logger, metrics } = this.#options
    const queues = this.#durations.listLearnedQueues()
    const ratios = queues.flatMap(({ estimateRatio }) => estimateRatio ?? [])
    metrics.gauge('run-times.queues', queues.length)
    metrics.gauge('run-times.lowest-ratio-percent', toPercent(Math.min(...ratios)))
    metrics.gauge('run-times.highest-ratio-percent', toPercent(Math.max(...ratios)))
    for (const { queue, samples, p50Ms, p90Ms, estimateRatio } of queues) {
      if (this.#loggedQueues.has(queue) || this.#loggedQueues.size >= MAX_QUEUE_LINES) continue
      this.#loggedQueues.add(queue)
      logger.info('run times of a queue are learned', { queue, samples: Math.round(samples), p50Ms: Math.round(p50Ms), p90Ms: Math.round(p90Ms), estimateRatio: estimateRatio?.toFixed(2) ?? null })
    }
  }

  #recordDuration (known: KnownRun, { startedAtMs, endedAtMs }: RunPeriod): void {
    const { job, step, active, checkpoint } = known
    if (startedAtMs === null || checkpoint !== '') return
    const endpoints = this.#listEndpoints(known)
    if (isSlowedByDistance(step, endpoints)) return
    if (step.gang && !this.#isFirstOfGang(active)) return
    const speed = Math.min(...endpoints.map((endpoint) => this.#options.getSpeed(endpoint)))
    this.#durations.record({ job, step, runMs: endedAtMs - startedAtMs, speed })
  }

  /** Returns the endpoints whose speed and place the run depends on: those of the members of its gang, or its own. */
  #listEndpoints ({ step, entry, active }: KnownRun): EndpointRecord[] {
    const runs = step.gang || step.tightlyCoupled ? entry.tasks.flatMap((task) => task.active ?? []) : [active]
    return runs.flatMap(({ endpoint }) => this.#options.state.endpoints.get(endpoint) ?? [])
  }

  #isFirstOfGang ({ task, run }: ActiveRun): boolean {
    const key = `${toStepOf(task)}#${run}`
    if (this.#recordedGangs.has(key)) return false
    this.#recordedGangs.add(key)
    if (this.#recordedGangs.size > MAX_REMEMBERED_GANGS) this.#recordedGangs.delete(this.#recordedGangs.values().next().value!)
    return true
  }
}

const findRun = (state: SchedulingState, { life }: EndpointRecord, end: RunEnd): KnownRun | null => {
  const active = state.jobs.listRuns(life).get(end.task)
  const ref = parseTaskId(end.task)
  if (!ref || active?.run !== end.run) return null
  const job = state.jobs.get(ref.job)
  if (!job?.isActive) return null
  const step = job.spec.steps[ref.step]!
  const entry = job.getOccurrence(ref.occurrence).steps[ref.step]!
  const task = entry.tasks[ref.index]!
  return task.isDone ? null : { job, step, entry, active, checkpoint: step.gang ? entry.checkpoint : task.checkpoint }
}

const toStepOf = (task: TaskId): string => task.slice(0, task.lastIndexOf('.'))

const toPercent = (ratio: number): number => Number.isFinite(ratio) ? Math.round(100 * ratio) : 0
