import { MAX_ENDPOINTS, type EndpointRecord, type SchedulingState } from '@ibisstair/jobs'
import type { Logger, Metrics } from '@ibisstair/telemetry'

/**
 * Why an announcement is ignored:
 * `unknown-service`: it is of a new incarnation, and neither the configuration nor accepted work names its service;
 * `other-service`, `other-address`: an incarnation keeps both for as long as it lives, so another writer sent it.
 */
export type IgnoredReason = 'unknown-service' | 'other-service' | 'other-address'

/**
 * Decides whether an announcement speaks for an endpoint; null if it does. One that does not must change nothing:
 * it replaces no incarnation, ends no run, and neither its number nor its clock counts. `known` is the record of the
 * same incarnation that is registered or about to be.
 */
export const findIgnoredReason = (announced: EndpointRecord, known: EndpointRecord | undefined, state: SchedulingState): IgnoredReason | null => {
  // A registered endpoint may still run work after the configuration has dropped its service.
  if (!known) return state.isServiceNamed(announced.service) ? null : 'unknown-service'
  if (announced.service !== known.service) return 'other-service'
  return announced.address === known.address ? null : 'other-address'
}

/** Counts ignored announcements, and logs the first of each incarnation and reason. */
export class IgnoredAnnouncements {
  readonly #logger: Logger
  readonly #metrics: Metrics
  readonly #logged = new Set<string>()

  constructor (logger: Logger, metrics: Metrics) {
    this.#logger = logger
    this.#metrics = metrics
  }

  report ({ id, life, service, address }: EndpointRecord, reason: IgnoredReason, configVersion: number): void {
    this.#metrics.increment(`announcements.ignored.${reason}`)
    const key = `${life} ${reason}`
    if (this.#logged.has(key) || this.#logged.size >= MAX_ENDPOINTS) return
    this.#logged.add(key)
    this.#logger.info('announcement ignored', { endpoint: id, life, service, address, reason, configVersion })
  }
}
