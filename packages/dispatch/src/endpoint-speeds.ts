import type { TaskId } from '@ibisstair/common'
import type { ActiveRun, EndpointLife, SchedulingState } from '@ibisstair/jobs'
import { mustParseTaskId } from '@ibisstair/jobs'

/** Fewer tasks of one step than this are not compared with each other. */
const MIN_COMPARED_TASKS = 4

/** As many are compared before the step has ended. Tasks end in the order of their speed, so that fewer would be about alike. */
const MAX_COMPARED_TASKS = 16

/** Steps with finished tasks that wait for others to be compared with. */
const MAX_OPEN_STEPS = 500

/** How much an earlier sample counts when the next one comes. */
const SAMPLE_DECAY = 0.9

/** Samples that an unknown endpoint has of being as fast as the others. */
const PRIOR_SAMPLES = 1

/** Fewer samples than this decide nothing. */
const MIN_SAMPLES = 1.5

/** Endpoints that take this much longer than the mean are slow. */
const SLOW_FACTOR = 1.1

/** A single run time says no more than this, as its endpoint may have stood still. */
const MAX_SAMPLE_FACTOR = 4

interface FinishedTask {
  readonly life: EndpointLife
  readonly logMs: number
}

interface Samples {
  sum: number
  weight: number
}

/**
 * Learns how fast endpoints are from the run times of single tasks. Estimates of run times are far
 * from the truth, but alike for all tasks of a step, so that only tasks of one step are compared.
 */
export class EndpointSpeeds {
  readonly #samples = new Map<EndpointLife, Samples>()
  readonly #open = new Map<string, FinishedTask[]>()

  /** A run is done. Members of a gang wait for each other, resumed runs are shorter, and tasks away from their data are slower: they say nothing. */
  noteDone (state: SchedulingState, run: ActiveRun, endedAtMs: number): void {
    const { job: id, occurrence, step, index } = mustParseTaskId(run.task)
    const job = state.jobs.get(id)
    const spec = job?.spec.steps[step]
    if (!job || !spec || spec.gang || spec.dataRack !== null || spec.longRunning) return
    const tookMs = endedAtMs - run.startedAtMs
    if (tookMs <= 0 || job.findTask(occurrence, step, index)?.checkpoint !== '') return
    const { doneTasks, tasks } = job.getOccurrence(occurrence).steps[step]!
    const isLast = doneTasks >= tasks.length - 1
    this.#addTask(toStepKey(run.task), { life: run.endpoint, logMs: Math.log(tookMs) }, isLast)
  }

  isSlow (life: EndpointLife): boolean {
    const samples = this.#samples.get(life)
    return samples !== undefined && samples.weight >= MIN_SAMPLES && this.#getLogSpeed(life) < -Math.log(SLOW_FACTOR)
  }

  forget (life: EndpointLife): void {
    this.#samples.delete(life)
  }

  #getLogSpeed (life: EndpointLife): number {
    const samples = this.#samples.get(life)
    return samples ? samples.sum / (samples.weight + PRIOR_SAMPLES) : 0
  }

  #addTask (step: string, task: FinishedTask, isLast: boolean): void {
    const finished = [...this.#open.get(step) ?? [], task]
    this.#open.delete(step)
    if (isLast || finished.length >= MAX_COMPARED_TASKS) return this.#compare(finished)
    this.#open.set(step, finished)
    const [oldest] = this.#open.keys()
    if (this.#open.size > MAX_OPEN_STEPS) this.#open.delete(oldest!)
  }

  #compare (tasks: readonly FinishedTask[]): void {
    if (tasks.length < MIN_COMPARED_TASKS) return
    const logWork = tasks.reduce((sum, { life, logMs }) => sum + logMs + this.#getLogSpeed(life), 0) / tasks.length
    const limit = Math.log(MAX_SAMPLE_FACTOR)
    for (const { life, logMs } of tasks) {
      const { sum, weight } = this.#samples.get(life) ?? { sum: 0, weight: 0 }
      const sample = Math.max(-limit, Math.min(limit, logWork - logMs))
      this.#samples.set(life, { sum: SAMPLE_DECAY * sum + sample, weight: SAMPLE_DECAY * weight + 1 })
    }
  }
}

const toStepKey = (task: TaskId): string => task.slice(0, task.lastIndexOf('.'))
