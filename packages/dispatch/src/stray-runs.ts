import type { TaskId } from '@ibisstair/common'
import type { EndpointRecord } from '@ibisstair/jobs'
import { MAX_UNKNOWN_STOPS, ORDER_TIMEOUT_MS } from './constants.ts'
import type { EndpointPort } from './ports.ts'

export interface StrayRunsOptions {
  readonly port: EndpointPort
  readonly fencingToken: number
  readonly handleStopped: () => void
  readonly log: (message: string, fields: Readonly<Record<string, unknown>>) => void
}

/** Stops runs that an endpoint reports and that are no longer active in the replicated state. */
export class StrayRuns {
  readonly #options: StrayRunsOptions
  /** Unanswered stops, as TASK#RUN. */
  readonly #stops = new Set<string>()

  constructor (options: StrayRunsOptions) {
    this.#options = options
  }

  stop (endpoint: EndpointRecord, task: TaskId, run: number): void {
    const { port, fencingToken, handleStopped, log } = this.#options
    const key = `${task}#${run}`
    if (this.#stops.has(key) || this.#stops.size >= MAX_UNKNOWN_STOPS) return
    this.#stops.add(key)
    log('endpoint reports a run that is not active; stopping it', { task, run, endpoint: endpoint.id })
    port.stop(endpoint, { task, run, fencingToken }, ORDER_TIMEOUT_MS)
      .then(handleStopped)
      .catch(() => { /* The next report lists it again. */ })
      .finally(() => { this.#stops.delete(key) })
  }
}
