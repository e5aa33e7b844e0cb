import type { EndpointId } from '@ibisstair/common'
import type { EndpointIncarnation, EndpointRecord } from '@ibisstair/jobs'
import type { Logger, Metrics } from '@ibisstair/telemetry'

/**
 * Why an endpoint gets no new work: it announces that it drains, has said that it leaves, was replaced by another incarnation,
 * is in a failure domain that operators have drained, counts as suspect because runs failed there or it refused a start, has
 * not answered the last call, or has not announced itself of late.
 */
export const OUT_OF_USE_REASONS = ['draining', 'leaving', 'replaced', 'domain-drained', 'suspect', 'unanswered', 'unannounced'] as const

export type OutOfUseReason = typeof OUT_OF_USE_REASONS[number]

/** Reasons whose begin and end are logged here; the others have lines of their own. */
const LOGGED_REASONS = ['suspect', 'unannounced'] as const satisfies readonly OutOfUseReason[]

/** Endpoints that are named in a line; it tells the number of all of them. */
const MAX_NAMED_ENDPOINTS = 16

const OUT_OF_USE_PREFIX = 'endpoints.out-of-use'

/** Counts the endpoints by reason; `null` stands for those in use. */
export const countByUse = (endpoints: Iterable<EndpointRecord>, getReason: (endpoint: EndpointRecord) => OutOfUseReason | null): Map<OutOfUseReason | null, number> => {
  const counts = new Map<OutOfUseReason | null, number>()
  for (const endpoint of endpoints) {
    const reason = getReason(endpoint)
    counts.set(reason, (counts.get(reason) ?? 0) + 1)
  }
  return counts
}

/** Tells in logs and metrics which endpoints are out of use. Each observation writes at most two lines for each reason. */
export class EndpointUse {
  readonly #logger: Logger
  readonly #metrics: Metrics
  #reasons = new Map<EndpointIncarnation, OutOfUseReason>()

  constructor (logger: Logger, metrics: Metrics) {
    this.#logger = logger
    this.#metrics = metrics
  }

  observe (endpoints: readonly EndpointRecord[], getReason: (endpoint: EndpointRecord) => OutOfUseReason | null): void {
    const reasons = new Map<EndpointIncarnation, OutOfUseReason>()
    for (const endpoint of endpoints) {
      const reason = getReason(endpoint)
      if (reason) reasons.set(endpoint.life, reason)
    }
    for (const reason of LOGGED_REASONS) {
      this.#log('endpoints out of use', reason, endpoints.filter(({ life }) => reasons.get(life) === reason && this.#reasons.get(life) !== reason))
      this.#log('endpoints back in use', reason, endpoints.filter(({ life }) => !reasons.has(life) && this.#reasons.get(life) === reason))
    }
    this.#reasons = reasons
    this.#measure(countByUse(endpoints, ({ life }) => reasons.get(life) ?? null))
  }

  /** Sets the metrics of a leader whose term is over to 0. */
  close (): void {
    this.#measure(new Map())
  }

  #log (message: string, reason: OutOfUseReason, endpoints: readonly EndpointRecord[]): void {
    if (endpoints.length === 0) return
    const names: readonly EndpointId[] = endpoints.slice(0, MAX_NAMED_ENDPOINTS).map(({ id }) => id)
    this.#logger.info(message, { reason, count: endpoints.length, endpoints: names.join(' ') })
  }

  #measure (counts: ReadonlyMap<OutOfUseReason | null, number>): void {
    this.#metrics.gauge('endpoints.in-use', counts.get(null) ?? 0)
    for (const reason of OUT_OF_USE_REASONS) this.#metrics.gauge(`${OUT_OF_USE_PREFIX}.${reason}`, counts.get(reason) ?? 0)
  }
}
