import type { TaskId } from '@ibisstair/common'
import { RunRate } from '@ibisstair/dispatch'
import { SpeedEstimator } from '@ibisstair/estimation'
import type { EndpointIncarnation, EndpointRecord, SchedulingState } from '@ibisstair/jobs'
import { Metrics } from '@ibisstair/telemetry'
import type { RandomSource, TimerService, Unsubscribe } from '@ibisstair/timers'
import { RunSpeeds } from '../../packages/dispatch/src/run-speeds.ts'

/** What the planner knows of the endpoints' speeds: nothing, what it learns from reported progress, or the truth. */
export const KNOWLEDGE = ['unknown', 'learned', 'oracle'] as const

export type Knowledge = typeof KNOWLEDGE[number]

/** Endpoints report the progress of a run after a time between these bounds. */
const MIN_REPORT_MS = 500
const MAX_REPORT_MS = 1_500

export interface ObservedRun {
  readonly task: TaskId
  readonly run: number
  readonly endpoint: EndpointRecord
  /** Share of the work that is done, 0 to 100. */
  readonly getPercent: () => number
}

/** Feeds the speed estimator with the progress of simulated runs, and answers for one kind of knowledge. */
export class SpeedKnowledge {
  readonly #knowledge: Knowledge
  readonly #timers: TimerService
  readonly #random: RandomSource
  readonly #speeds: RunSpeeds
  readonly #rates = new Map<TaskId, { readonly rate: RunRate, readonly stop: Unsubscribe }>()

  constructor (knowledge: Knowledge, state: SchedulingState, timers: TimerService, random: RandomSource) {
    this.#knowledge = knowledge
    this.#timers = timers
    this.#random = random
    this.#speeds = new RunSpeeds({ state, timers, isCold: () => false, metrics: new Metrics({ node: 'n' }), estimator: new SpeedEstimator() })
  }

  getSpeed (endpoint: EndpointRecord, trueSpeeds: ReadonlyMap<EndpointIncarnation, number>): number {
    switch (this.#knowledge) {
      case 'unknown': return 1
      case 'learned': return this.#speeds.getSpeed(endpoint)
      case 'oracle': return Math.abs(trueSpeeds.get(endpoint.life)!)
    }
  }

  isKnown (endpoint: EndpointRecord): boolean {
    return this.#knowledge !== 'learned' || this.#speeds.isKnown(endpoint)
  }

  observe ({ task, run, endpoint, getPercent }: ObservedRun): void {
    if (this.#knowledge !== 'learned') return
    const rate = new RunRate()
    rate.begin(this.#timers.now())
    const stop = this.#timers.every(this.#random.int(MIN_REPORT_MS, MAX_REPORT_MS), () => {
      if (!rate.record(Math.floor(getPercent()), this.#timers.now())) return
      const observed = rate.get()
      if (observed) this.#speeds.recordRate(endpoint, task, run, observed)
    })
    this.#rates.set(task, { rate, stop })
  }

  /** To be called before the end is applied. */
  end (task: TaskId, run: number, endpoint: EndpointRecord, isDone: boolean): void {
    const observed = this.#rates.get(task)
    if (!observed) return
    observed.stop()
    this.#rates.delete(task)
    const rate = isDone ? observed.rate.getAtEnd(this.#timers.now()) : null
    if (rate) this.#speeds.recordEnd(endpoint, task, run, rate)
  }
}
