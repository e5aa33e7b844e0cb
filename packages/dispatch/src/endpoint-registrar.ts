import type { EndpointIncarnation, EndpointRecord, SchedulingState, Silence, StateCommand } from '@ibisstair/jobs'
import type { Logger, Metrics } from '@ibisstair/telemetry'
import type { TimerService } from '@ibisstair/timers'
import type { Announcements } from './announcements.ts'
import { findIgnoredReason, IgnoredAnnouncements } from './ignored-announcements.ts'
import type { PendingRecords } from './pending-records.ts'

export interface EndpointRegistrarOptions {
  readonly state: SchedulingState
  readonly timers: TimerService
  readonly logger: Logger
  readonly metrics: Metrics
  readonly announcements: Announcements
  readonly pendingRecords: PendingRecords
  readonly propose: (command: StateCommand) => Promise<unknown>
  /** Settles the runs of an incarnation that another one replaces under the same id and address. */
  readonly handOver: (life: EndpointIncarnation) => Promise<void>
  readonly describeSilence: (life: EndpointIncarnation) => Silence | null
  /** Removes an incarnation whose successor has announced itself and could not be registered. */
  readonly removeReplaced: (life: EndpointIncarnation) => void
  /** Called with the reading of the endpoint's clock once the replicated state has what the endpoint announced. */
  readonly handleAnnounced: (life: EndpointIncarnation, clockMs: number, atMs: number) => void
}

/** Turns announcements of endpoints into records of the replicated state, during one term of leadership. */
export class EndpointRegistrar {
  readonly #options: EndpointRegistrarOptions
  readonly #ignored: IgnoredAnnouncements

  constructor (options: EndpointRegistrarOptions) {
    this.#options = options
    this.#ignored = new IgnoredAnnouncements(options.logger, options.metrics)
  }

  /** Resolves once a changed record is committed. */
  async announce (record: EndpointRecord, clockMs: number, coldLeftMs: number): Promise<void> {
    const { state, timers, metrics, announcements, pendingRecords, handleAnnounced } = this.#options
    const now = timers.now()
    const known = state.endpoints.get(record.life)
    const newest = pendingRecords.get(record.life) ?? known
    const ignoredReason = findIgnoredReason(record, newest, state)
    if (ignoredReason) return this.#ignored.report(record, ignoredReason, state.config.version)
    if (announcements.isOutdated(record, newest)) return metrics.increment('announcements.outdated')
    if (known) announcements.recordArrival(record)
    if (this.#isNews(record)) await this.#register(record, known)
    if (!state.endpoints.get(record.life)) return
    announcements.recordApplied(record, now)
    announcements.recordCold(record, coldLeftMs, now)
    handleAnnounced(record.life, clockMs, now)
  }

  /** Whether the record has to be committed. An earlier one whose commit is pending would otherwise be the last. */
  #isNews (record: EndpointRecord): boolean {
    const { state, pendingRecords } = this.#options
    return pendingRecords.get(record.life) !== undefined || state.endpoints.wouldChange(record)
  }

  async #register (record: EndpointRecord, known: EndpointRecord | undefined): Promise<void> {
    const { state, timers, logger, pendingRecords, propose, describeSilence, removeReplaced } = this.#options
    const replaced = state.endpoints.listReplacedBy(record)
    try {
      await this.#handOver(record)
      if (!this.#isNews(record)) return
      const silences = state.endpoints.listReplacedBy(record).flatMap(({ life }) => describeSilence(life) ?? [])
      pendingRecords.add(record)
      await propose({ type: 'register-endpoint', endpoint: record, atMs: timers.wallClock(), silences })
    } catch (err) {
      // The successor may not announce itself again.
      for (const { life } of replaced) removeReplaced(life)
      throw err
    }
    logger.info('endpoint announced', { endpoint: record.id, life: record.life, domain: record.domain, rack: record.rack, draining: record.draining, capacity: record.capacity, ...(known && { capacityBefore: known.capacity }) })
  }

  /**
   * Waits until no run of an earlier incarnation under the same id can be active on the announced one. Only one at the
   * same address can have received orders that were meant for the earlier one.
   */
  async #handOver (record: EndpointRecord): Promise<void> {
    const { state, handOver } = this.#options
    const replaced = state.endpoints.listReplacedBy(record).filter(({ id, address }) => id === record.id && address === record.address)
    await Promise.all(replaced.map(({ life }) => handOver(life)))
  }
}
