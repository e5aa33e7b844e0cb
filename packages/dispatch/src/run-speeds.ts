import type { EndpointId, TaskId } from '@ibisstair/common'
import { SpeedEstimator, type SpeedSnapshot } from '@ibisstair/estimation'
import { mustParseTaskId, type EndpointIncarnation, type EndpointRecord, type SchedulingState, type StepEntry, type StepSpec } from '@ibisstair/jobs'
import type { Metrics } from '@ibisstair/telemetry'
import type { TimerService } from '@ibisstair/timers'
import { isSlowedByDistance } from './distance.ts'
import { COMPLETE_PERCENT, type ObservedRate } from './run-rate.ts'
import { URGENT_SPEED } from './required-speed.ts'

/** A speed with less confidence is taken for 1. */
const MIN_CONFIDENCE = 0.4

/** Speeds between 0.82 and 1.22 are taken for 1: they differ by less than tasks of one step do, and none is too slow. */
const MAX_USUAL_DEVIATION = 0.2

export interface RunSpeedsOptions {
  readonly state: SchedulingState
  readonly timers: TimerService
  readonly metrics: Metrics
  readonly estimator: SpeedEstimator
  /** Whether the endpoint is still slow since its start, which says nothing about its speed. */
  readonly isCold: (endpoint: EndpointRecord) => boolean
}

/** Feeds the speed estimator with the runs that can be compared, and tells the speeds that placement goes by. */
export class RunSpeeds {
  readonly #options: RunSpeedsOptions

  constructor (options: RunSpeedsOptions) {
    this.#options = options
  }

  recordRate (endpoint: EndpointRecord, task: TaskId, run: number, { msPerPercent, observedMs }: ObservedRate): void {
    const identity = this.#identify(endpoint, task, run)
    if (identity) this.#options.estimator.recordRate({ ...identity, msPerPercent, observedMs })
  }

  /** Takes the rate of a run that is done. To be called before its end is applied. */
  recordEnd (endpoint: EndpointRecord, task: TaskId, run: number, { msPerPercent }: ObservedRate): void {
    const identity = this.#identify(endpoint, task, run)
    if (identity) this.#options.estimator.recordEnd({ ...identity, runMs: COMPLETE_PERCENT * msPerPercent })
  }

  /** Returns 1 for an endpoint whose speed is usual or not known well enough. */
  getSpeed ({ id }: EndpointRecord): number {
    const known = this.#options.estimator.getSpeed(id, this.#options.timers.now())
    if (!known || known.confidence < MIN_CONFIDENCE) return 1
    return Math.abs(Math.log(known.speed)) < MAX_USUAL_DEVIATION ? 1 : known.speed
  }

  /** Whether the speed is known well enough to go by it. */
  isKnown ({ id }: EndpointRecord): boolean {
    return (this.#options.estimator.getSpeed(id, this.#options.timers.now())?.confidence ?? 0) >= MIN_CONFIDENCE
  }

  toSnapshot (): SpeedSnapshot {
    return this.#options.estimator.toSnapshot(this.#options.timers.now())
  }

  measure (): void {
    const { state, timers, metrics, estimator } = this.#options
    const nowMs = timers.now()
    const speeds = [...state.endpoints.list()].flatMap(({ id }) => estimator.getSpeed(id, nowMs) ?? [])
    const known = speeds.filter(({ confidence }) => confidence >= MIN_CONFIDENCE)
    const confidences = speeds.map(({ confidence }) => confidence).sort((a, b) => a - b)
    metrics.gauge('speeds.known', known.length)
    metrics.gauge('speeds.slow', known.filter(({ speed }) => speed < URGENT_SPEED).length)
    metrics.gauge('speeds.median-confidence', confidences[confidences.length >> 1] ?? 0)
  }

  /** Sets the metrics of a leader whose term is over to 0. */
  close (): void {
    for (const name of ['known', 'slow', 'median-confidence']) this.#options.metrics.gauge(`speeds.${name}`, 0)
  }

  /** Returns the names of the run and of what it is compared with; null for a run that says nothing about its endpoint. */
  #identify (endpoint: EndpointRecord, task: TaskId, run: number): RunIdentity | null {
    const { state, timers, isCold } = this.#options
    if (isCold(endpoint)) return null
    const { job: id, occurrence, step, index } = mustParseTaskId(task)
    const job = state.jobs.get(id)
    const entry = job?.findTask(occurrence, step, index) && job.getOccurrence(occurrence).steps[step]
    if (!job || !entry || entry.tasks[index]!.active?.run !== run) return null
    const spec = job.spec.steps[step]!
    if (isResumed(spec, entry, index) || spec.longRunning) return null
    const members = this.#listMembers(spec, entry, endpoint)
    if (!members || isSlowedByDistance(spec, members)) return null
    return {
      endpoint: endpoint.id,
      members: spec.gang ? members.map((member) => member.id) : [endpoint.id],
      service: endpoint.service,
      queue: `${job.policy.queue}.${step}`,
      step: `${id}.${occurrence}.${step}`,
      run: spec.gang ? `${run}` : `${index}#${run}`,
      nowMs: timers.now()
    }
  }

  /** Returns the endpoints that the run's progress may depend on; null for a gang that is not complete. */
  #listMembers ({ gang, tightlyCoupled, count }: StepSpec, { tasks }: StepEntry, endpoint: EndpointRecord): EndpointRecord[] | null {
    if (!gang && !tightlyCoupled) return [endpoint]
    const lives = new Set<EndpointIncarnation>()
    let active = 0
    for (const task of tasks) {
      if (!task.active) continue
      active += 1
      lives.add(task.active.endpoint)
    }
    if (gang && active < count) return null
    const members = [...lives].flatMap((life) => this.#options.state.endpoints.get(life) ?? [])
    return members.length === lives.size ? members : null
  }
}

/** The run as the estimator compares it; see `RateObservation`. */
interface RunIdentity {
  readonly endpoint: EndpointId
  readonly members: readonly EndpointId[]
  readonly service: string
  readonly queue: string
  readonly step: string
  readonly run: string
  readonly nowMs: number
}

/** Runs that resume from a checkpoint do a part of the work only. */
const isResumed = ({ gang }: StepSpec, entry: StepEntry, index: number): boolean =>
  (gang ? entry.checkpoint : entry.tasks[index]!.checkpoint) !== ''
