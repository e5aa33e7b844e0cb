import { IbisError, type DomainId } from '@ibisstair/common'
import type { SchedulingState, StateCommand, StateResult } from '@ibisstair/jobs'
import type { TimerService } from '@ibisstair/timers'
import { DRAIN_COMMIT_TIMEOUT_MS, RETRY_AFTER_MS } from './constants.ts'
import type { DomainAnswer, DomainListAnswer, DomainOrderParams, DomainStatus } from './types.ts'

export interface DomainServiceOptions {
  readonly state: SchedulingState
  readonly propose: (command: StateCommand, timeoutMs: number) => Promise<StateResult>
  readonly timers: TimerService
}

/**
 * Handles the leader's calls that drain and restore failure domains. Every order is committed, also one whose state
 * already holds, so that a leader that was replaced acknowledges nothing.
 */
export class DomainService {
  readonly #options: DomainServiceOptions

  constructor (options: DomainServiceOptions) {
    this.#options = options
  }

  async drain (params: DomainOrderParams): Promise<DomainAnswer> {
    return await this.#order('drain-domain', params)
  }

  async restore (params: DomainOrderParams): Promise<DomainAnswer> {
    return await this.#order('restore-domain', params)
  }

  /** Commits a barrier first, which proves that no newer leader has committed an order. */
  async list (): Promise<DomainListAnswer> {
    await this.#propose({ type: 'barrier' })
    return { domains: listDomains(this.#options.state) }
  }

  async #order (type: 'drain-domain' | 'restore-domain', { domain, expectedRevision, isConfigured = false }: DomainOrderParams): Promise<DomainAnswer> {
    if (!isConfigured) await this.#checkKnown(domain)
    const result = await this.#propose({ type, domain, expectedRevision, atMs: this.#options.timers.wallClock() })
    if (result.type !== 'domain-drain') throw new IbisError('internal', `unexpected result ${result.type}`)
    if (result.isOutdated) throw new IbisError('version-conflict', `the order names revision ${expectedRevision} of failure domain ${domain}, accepted is ${result.revision}: the domain has changed since, or this process had not learnt of it`, { retryAfterMs: RETRY_AFTER_MS })
    return { domain: result.domain, isDrained: result.isDrained, revision: result.revision }
  }

  async #checkKnown (domain: DomainId): Promise<void> {
    if (this.#isKnown(domain)) return
    // An endpoint of the domain may have been registered by a newer leader.
    await this.#propose({ type: 'barrier' })
    if (this.#isKnown(domain)) return
    const known = listDomains(this.#options.state).map((status) => status.domain).join(', ')
    throw new IbisError('invalid-request', `failure domain: got ${domain}, accepted is one of a registered endpoint (${known || 'none'}) or of the settings`)
  }

  #isKnown (domain: DomainId): boolean {
    const { domainDrains, endpoints } = this.#options.state
    if (domainDrains.get(domain)) return true
    for (const endpoint of endpoints.list()) if (endpoint.domain === domain) return true
    return false
  }

  async #propose (command: StateCommand): Promise<StateResult> {
    return await this.#options.propose(command, DRAIN_COMMIT_TIMEOUT_MS)
  }
}

type DomainCounts = Pick<DomainStatus, 'endpoints' | 'runs'>

const NO_ENDPOINTS: DomainCounts = { endpoints: 0, runs: 0 }

/** Returns the failure domains that have endpoints or were drained at some time, in the order of their names. */
const listDomains = ({ domainDrains, endpoints, jobs }: SchedulingState): DomainStatus[] => {
  const counts = new Map<DomainId, DomainCounts>(domainDrains.list().map(({ domain }) => [domain, NO_ENDPOINTS]))
  for (const { domain, life } of endpoints.list()) {
    const known = counts.get(domain) ?? NO_ENDPOINTS
    counts.set(domain, { endpoints: known.endpoints + 1, runs: known.runs + jobs.listRuns(life).size })
  }
  const toStatus = ([domain, count]: readonly [DomainId, DomainCounts]): DomainStatus =>
    ({ domain, isDrained: domainDrains.isDrained(domain), revision: domainDrains.getRevision(domain), sinceMs: domainDrains.get(domain)?.sinceMs ?? null, ...count })
  return [...counts].map(toStatus).sort((a, b) => a.domain < b.domain ? -1 : 1)
}
