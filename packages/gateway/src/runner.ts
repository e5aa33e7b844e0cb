import { assertNever, IbisError, type DomainId } from '@ibisstair/common'
import { getHomeDomain, type Config, type JobRequest, type JobStatus } from '@ibisstair/model'
import { LONG_POLL_GRACE_MS } from '@ibisstair/rpc'
import type { Explanation } from '@ibisstair/scheduler'
import type { TimerService } from '@ibisstair/timers'
import { RetryBudget } from './budget.ts'
import { CONTROL_CALL_TIMEOUT_MS, PROBE_TIMEOUT_MS, SUBMIT_WAIT_MS, WAIT_POLL_MS } from './constants.ts'
import type { DomainClient } from './domains.ts'
import type { KeyParams, SubmitParams, WaitParams } from './messages.ts'
import { RequestRoute, type RouteResult } from './route.ts'

export interface RunnerOptions {
  readonly domains: DomainClient
  readonly timers: TimerService
  readonly ownDomain: DomainId
}

/** Submits requests of callers to the failure domains and waits for their outcomes. */
export class RequestRunner {
  readonly #domains: DomainClient
  readonly #timers: TimerService
  readonly #ownDomain: DomainId
  readonly budget = new RetryBudget()

  constructor (options: RunnerOptions) {
    this.#domains = options.domains
    this.#timers = options.timers
    this.#ownDomain = options.ownDomain
  }

  /**
   * Submits the request and waits at most `holdMs` for its outcome; after that, resolves with the
   * last known status. Rejects with the refusal or failure of the request.
   */
  async run (request: JobRequest, config: Config, holdMs: number): Promise<JobStatus> {
    const timers = this.#timers
    const endMs = timers.now() + holdMs
    this.budget.handleFirstAttempt()
    const route = new RequestRoute({
      request,
      ownDomain: this.#ownDomain,
      domains: config.fleet.domains.map(({ id }) => id),
      homeDomain: getHomeDomain(config, request),
      nowMs: timers.now(),
      trySpend: (nowMs) => this.budget.trySpend(nowMs, request.urgency),
      onRetryAccepted: () => this.budget.handleRetryAccepted()
    })
    let lastStatus: JobStatus | null = null
    for (;;) {
      const step = route.step
      switch (step.type) {
        case 'answer': return step.status
        case 'fail': throw step.error
        case 'pause':
          if (lastStatus && timers.now() >= endMs) return lastStatus
          await timers.delay(step.ms)
          route.handlePauseEnd(timers.now())
          break
        case 'submit':
        case 'wait': {
          const remainingMs = endMs - timers.now()
          if (step.type === 'wait' && remainingMs <= 0 && lastStatus) return lastStatus
          const result = step.type === 'submit'
            ? await this.#submit(step.domain, step.request, Math.min(SUBMIT_WAIT_MS, Math.max(0, remainingMs)))
            : await this.#wait(step.domain, { ...toKeyParams(request), waitMs: step.isProbe ? 0 : Math.min(WAIT_POLL_MS, remainingMs) }, step.isProbe ? PROBE_TIMEOUT_MS : undefined)
          if (result.type === 'status') lastStatus = result.status
          route.handle(result, timers.now())
          break
        }
        default: assertNever(step)
      }
    }
  }

  /** Looks up a request by key in the failure domains: own domain first, then home domain, then the others. */
  async fetch (params: WaitParams, config: Config): Promise<JobStatus> {
    const endMs = this.#timers.now() + params.waitMs
    const found = await this.#findDomain(params, config)
    let status = found.status
    while (status.state !== 'done' && status.state !== 'failed') {
      const remainingMs = endMs - this.#timers.now()
      if (remainingMs <= 0) break
      const result = await this.#wait(found.domain, { ...params, waitMs: Math.min(WAIT_POLL_MS, remainingMs) })
      if (result.type === 'error') throw result.error
      status = result.status
    }
    return status
  }

  async cancel (params: KeyParams, config: Config): Promise<JobStatus> {
    const { domain } = await this.#findDomain({ ...params, waitMs: 0 }, config)
    return await this.#domains.callLeader<JobStatus>(domain, 'job.cancel', params, CONTROL_CALL_TIMEOUT_MS)
  }

  async explain (params: KeyParams, config: Config): Promise<Explanation> {
    const { domain } = await this.#findDomain({ ...params, waitMs: 0 }, config)
    return await this.#domains.callLeader<Explanation>(domain, 'job.explain', params, CONTROL_CALL_TIMEOUT_MS)
  }

  async #findDomain (params: WaitParams, config: Config): Promise<{ readonly domain: DomainId, readonly status: JobStatus }> {
    let lastError = new IbisError('not-found', `no request ${params.key} of customer ${params.customer} is known`)
    let failedDomains = 0
    for (const domain of this.#getSearchOrder(params, config)) {
      const result = await this.#wait(domain, { ...params, waitMs: 0 })
      if (result.type === 'status') return { domain, status: result.status }
      if (result.error.kind === 'not-found') continue
      failedDomains += 1
      lastError = new IbisError('not-found', `no request ${params.key} of customer ${params.customer} is known; ${failedDomains} failure domain(s) could not be queried; last error: ${result.error.message}`, { cause: result.error })
    }
    throw lastError
  }

  #getSearchOrder (params: KeyParams, config: Config): DomainId[] {
    const all = config.fleet.domains.map(({ id }) => id)
    const home = getHomeDomain(config, params)
    return [...new Set([this.#ownDomain, ...(home === undefined ? [] : [home]), ...all])].filter((domain) => all.includes(domain))
  }

  #submit (domain: DomainId, request: JobRequest, waitMs: number): Promise<RouteResult> {
    const params: SubmitParams = { request, waitMs }
    return this.#callDomain(domain, 'job.submit', params, waitMs + LONG_POLL_GRACE_MS)
  }

  #wait (domain: DomainId, params: WaitParams, timeoutMs = params.waitMs + LONG_POLL_GRACE_MS): Promise<RouteResult> {
    return this.#callDomain(domain, 'job.wait', { customer: params.customer, key: params.key, waitMs: params.waitMs }, timeoutMs)
  }

  async #callDomain (domain: DomainId, method: string, params: unknown, timeoutMs: number): Promise<RouteResult> {
    try {
      return { type: 'status', status: await this.#domains.callLeader<JobStatus>(domain, method, params, timeoutMs) }
    } catch (err) {
      return { type: 'error', error: IbisError.from(err) }
    }
  }
}

const toKeyParams = ({ customer, key }: JobRequest): KeyParams => ({ customer, key })
