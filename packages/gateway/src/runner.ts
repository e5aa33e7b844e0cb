import { assertNever, IbisError, type DomainId } from '@ibisstair/common'
import { getHomeDomain, type Config, type JobRequest, type JobStatus } from '@ibisstair/model'
import { LONG_POLL_GRACE_MS } from '@ibisstair/rpc'
import type { Explanation } from '@ibisstair/scheduler'
import type { TimerService } from '@ibisstair/timers'
import { RetryBudget } from './budget.ts'
import { CONTROL_CALL_MS, PROBE_CALL_MS, SUBMIT_WAIT_MS, WAIT_POLL_MS } from './constants.ts'
import type { DomainClient } from './domains.ts'
import type { KeyParams, SubmitParams, WaitParams } from './messages.ts'
import { RequestRoute, type RouteResult } from './route.ts'

export interface RunnerOptions {
  readonly domains: DomainClient
  readonly timers: TimerService
  readonly ownDomain: DomainId
}

/** Carries requests of callers to the failure domains and waits for their outcomes. */
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
   * Submits and waits for the outcome, at most `holdMs`; after that the last known status is
   * returned. Throws the refusal or failure of the request.
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
    let last: JobStatus | null = null
    for (;;) {
      const step = route.step
      switch (step.type) {
        case 'answer': return step.status
        case 'fail': throw step.error
        case 'pause':
          if (last && timers.now() >= endMs) return last
          await timers.delay(step.ms)
          route.handlePauseOver(timers.now())
          break
        case 'submit':
        case 'wait': {
          const leftMs = endMs - timers.now()
          if (step.type === 'wait' && leftMs <= 0 && last) return last
          const result = step.type === 'submit'
            ? await this.#submit(step.domain, step.request, Math.min(SUBMIT_WAIT_MS, Math.max(0, leftMs)))
            : await this.#wait(step.domain, { ...toKey(request), waitMs: step.isProbe ? 0 : Math.min(WAIT_POLL_MS, leftMs) }, step.isProbe ? PROBE_CALL_MS : undefined)
          if (result.type === 'status') last = result.status
          route.handle(result, timers.now())
          break
        }
        default: assertNever(step)
      }
    }
  }

  /** Looks for a request by key in every failure domain: own, home, then the rest. */
  async fetch (params: WaitParams, config: Config): Promise<JobStatus> {
    const endMs = this.#timers.now() + params.waitMs
    const found = await this.#find(params, config)
    let status = found.status
    while (status.state !== 'done' && status.state !== 'failed') {
      const leftMs = endMs - this.#timers.now()
      if (leftMs <= 0) break
      const result = await this.#wait(found.domain, { ...params, waitMs: Math.min(WAIT_POLL_MS, leftMs) })
      if (result.type === 'error') throw result.error
      status = result.status
    }
    return status
  }

  async cancel (params: KeyParams, config: Config): Promise<JobStatus> {
    const { domain } = await this.#find({ ...params, waitMs: 0 }, config)
    return await this.#domains.callLeader<JobStatus>(domain, 'job.cancel', params, CONTROL_CALL_MS)
  }

  async explain (params: KeyParams, config: Config): Promise<Explanation> {
    const { domain } = await this.#find({ ...params, waitMs: 0 }, config)
    return await this.#domains.callLeader<Explanation>(domain, 'job.explain', params, CONTROL_CALL_MS)
  }

  async #find (params: WaitParams, config: Config): Promise<{ readonly domain: DomainId, readonly status: JobStatus }> {
    let last = new IbisError('not-found', `no request ${params.key} of customer ${params.customer} is known`)
    let unreachable = 0
    for (const domain of this.#getSearchOrder(params, config)) {
      const result = await this.#wait(domain, { ...params, waitMs: 0 })
      if (result.type === 'status') return { domain, status: result.status }
      if (result.error.kind === 'not-found') continue
      unreachable += 1
      last = new IbisError('not-found', `no request ${params.key} of customer ${params.customer} is known; ${unreachable} failure domain(s) could not be asked, the last because: ${result.error.message}`, { cause: result.error })
    }
    throw last
  }

  #getSearchOrder (params: KeyParams, config: Config): DomainId[] {
    const all = config.fleet.domains.map(({ id }) => id)
    const home = getHomeDomain(config, params)
    return [...new Set([this.#ownDomain, ...(home === undefined ? [] : [home]), ...all])].filter((domain) => all.includes(domain))
  }

  #submit (domain: DomainId, request: JobRequest, waitMs: number): Promise<RouteResult> {
    const params: SubmitParams = { request, waitMs }
    return this.#attempt(domain, 'job.submit', params, waitMs + LONG_POLL_GRACE_MS)
  }

  #wait (domain: DomainId, params: WaitParams, timeoutMs = params.waitMs + LONG_POLL_GRACE_MS): Promise<RouteResult> {
    return this.#attempt(domain, 'job.wait', { customer: params.customer, key: params.key, waitMs: params.waitMs }, timeoutMs)
  }

  async #attempt (domain: DomainId, method: string, params: unknown, timeoutMs: number): Promise<RouteResult> {
    try {
      return { type: 'status', status: await this.#domains.callLeader<JobStatus>(domain, method, params, timeoutMs) }
    } catch (err) {
      return { type: 'error', error: IbisError.from(err) }
    }
  }
}

const toKey = ({ customer, key }: JobRequest): KeyParams => ({ customer, key })
