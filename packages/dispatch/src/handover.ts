import { assertNever, IbisError, type TaskId } from '@ibisstair/common'
import type { EndpointRecord, RunEnd } from '@ibisstair/jobs'
import type { TimerService } from '@ibisstair/timers'
import { LATE_ORDER_MS, MAX_CLOCK_DRIFT, ORDER_TIMEOUT_MS, RENEW_TIMEOUT_MARGIN_MS, RETRY_DELAY_MS, STOP_POLL_INTERVAL_MS } from './constants.ts'
import type { EndpointPort, EndpointReport } from './ports.ts'

export interface HandoverOptions {
  /** The incarnation that has ended. */
  readonly endpoint: EndpointRecord
  readonly port: EndpointPort
  readonly timers: TimerService
  readonly fencingToken: number
  readonly leaseMaxMs: number
  readonly isLeading: () => boolean
  readonly log: (message: string, fields: Readonly<Record<string, unknown>>) => void
}

interface OpenRun {
  readonly task: TaskId
  readonly run: number
  isStopAcked: boolean
}

/**
 * Finds out what became of runs that were ordered from an ended incarnation of an endpoint and that it never listed:
 * an incarnation that has restarted under the same id may have carried the orders out. Each run is stopped there, so
 * that a late order is rejected, and a report then tells how it ended.
 */
export class Handover {
  readonly #options: HandoverOptions
  readonly #open: Map<TaskId, OpenRun>
  readonly #ends: RunEnd[] = []
  #isFenced = false

  constructor (options: HandoverOptions, runs: readonly { readonly task: TaskId, readonly run: number }[]) {
    this.#options = options
    this.#open = new Map(runs.map(({ task, run }) => [task, { task, run, isStopAcked: false }]))
  }

  /** Whether the successor follows a newer leader; calls with this fencing token are useless from then on. */
  get isFenced (): boolean {
    return this.#isFenced
  }

  /**
   * Returns the ends that the successor lists; every other run is lost with the ended incarnation. Rejects with
   * `not-leader` when this process may send no more orders.
   */
  async settle (): Promise<readonly RunEnd[]> {
    const { timers, leaseMaxMs, log, endpoint } = this.#options
    // By then every order has been carried out or never will be, and every lease has expired.
    const giveUpAtMs = timers.now() + LATE_ORDER_MS + leaseMaxMs / (1 - MAX_CLOCK_DRIFT)
    while (this.#open.size > 0) {
      this.#checkLeading()
      if (timers.now() >= giveUpAtMs) {
        log('successor of an endpoint does not tell what became of its runs; they count as lost', { endpoint: endpoint.id, life: endpoint.life, tasks: [...this.#open.keys()] })
        break
      }
      await this.#stopOpenRuns()
      const areStopped = [...this.#open.values()].every(({ isStopAcked }) => isStopAcked)
      if (areStopped && this.#open.size > 0) await this.#readReport()
      if (this.#open.size > 0) await timers.delay(areStopped ? STOP_POLL_INTERVAL_MS : RETRY_DELAY_MS)
    }
    return this.#ends
  }

  #checkLeading (): void {
    if (!this.#options.isLeading()) throw new IbisError('not-leader', 'leadership ended before the runs of an endpoint were handed over')
  }

  #handleFenced (): never {
    this.#isFenced = true
    throw new IbisError('not-leader', 'a newer leader gives the orders')
  }

  async #stopOpenRuns (): Promise<void> {
    const unstopped = [...this.#open.values()].filter(({ isStopAcked }) => !isStopAcked)
    await Promise.all(unstopped.map((run) => this.#stop(run)))
  }

  async #stop (open: OpenRun): Promise<void> {
    const { endpoint, port, fencingToken } = this.#options
    const result = await port.stop(endpoint, { task: open.task, run: open.run, fencingToken }, ORDER_TIMEOUT_MS).catch(IbisError.from)
    if (result instanceof IbisError) return
    switch (result.type) {
      case 'ok': {
        open.isStopAcked = true
        return
      }
      // The address belongs to an endpoint with another id: no incarnation with this one runs there.
      case 'wrong-incarnation': {
        this.#open.delete(open.task)
        return
      }
      case 'fenced': return this.#handleFenced()
      case 'refused': return
      default: assertNever(result)
    }
  }

  async #readReport (): Promise<void> {
    const { endpoint, port, fencingToken } = this.#options
    const result = await port.renew(endpoint, { fencingToken, ackedUpto: 0, leaseUntilMs: null, waitMs: 0 }, RENEW_TIMEOUT_MARGIN_MS).catch(IbisError.from)
    if (result instanceof IbisError) return
    switch (result.type) {
      case 'report': return this.#handleReport(result.report)
      case 'wrong-incarnation': {
        if (result.successorReport) return this.#handleReport(result.successorReport)
        this.#open.clear()
        return
      }
      case 'fenced': return this.#handleFenced()
      case 'refused': return
      default: assertNever(result)
    }
  }

  #handleReport ({ running, ended, hasMore }: EndpointReport): void {
    for (const { task, run } of [...this.#open.values()]) {
      const end = ended.find((other) => other.task === task && other.run === run)
      const isRunning = running.some((other) => other.task === task && other.run === run)
      if (isRunning || (!end && hasMore)) continue
      if (end) this.#ends.push({ task, run, outcome: end.outcome, checkpoint: end.checkpoint })
      this.#open.delete(task)
    }
  }
}
