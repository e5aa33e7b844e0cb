import { asId, IbisError, type CustomerId, type RequestKey } from '@ibisstair/common'
import type { ConfigCache } from '@ibisstair/config-sync'
import { MAX_REQUEST_BYTES, parseJobRequest, type JobRequest, type JobStatus } from '@ibisstair/model'
import { ByteBudget, parseJson, readBody, sendJson } from '@ibisstair/rpc'
import { match, P } from 'ts-pattern'
import { MAX_BODY_BYTES_IN_PROGRESS, MAX_HOLD_MS } from './constants.ts'
import type { HttpCallContext } from './listener.ts'
import type { KeyParams } from './messages.ts'
import { qualifyRefusal } from './route.ts'
import type { RequestRunner } from './runner.ts'

export interface CallerApiOptions {
  readonly cache: ConfigCache
  readonly runner: RequestRunner
  readonly maxBodyBytes?: number
  readonly maxPending: number
  readonly isReady: () => boolean
  /** Called with the outcome of each submission: the status that the caller gets, or the error. */
  readonly onOutcome: (request: JobRequest, outcome: JobStatus | IbisError) => void
}

const OVERLOADED_RETRY_AFTER_MS = 1_000

/** The HTTP interface for callers; see docs/OPERATIONS.md for examples. */
export class CallerApi {
  readonly #options: CallerApiOptions
  #pending = 0
  readonly #bodies = new ByteBudget(MAX_BODY_BYTES_IN_PROGRESS)

  constructor (options: CallerApiOptions) {
    this.#options = options
  }

  get pending (): number {
    return this.#pending
  }

  async handle (call: HttpCallContext): Promise<void> {
    const { req, res, url, parts } = call
    const { runner, cache, isReady } = this.#options
    await match([req.method, ...parts])
      .with(['GET', 'livez'], () => sendJson(res, 200, { alive: true }))
      .with(['GET', 'readyz'], () => sendJson(res, isReady() ? 200 : 503, { ready: isReady() }))
      .with(['POST', 'v1', 'requests'], () => this.#submit(call))
      .with(['GET', 'v1', 'requests', P.string, P.string], async ([,,, customer, key]) =>
        await this.#holdCaller(() => this.#fetch(call, toKeyParams(customer, key))))
      .with(['DELETE', 'v1', 'requests', P.string, P.string], async ([,,, customer, key]) =>
        sendStatus(call, await runner.cancel(toKeyParams(customer, key), cache.getConfig())))
      .with(['GET', 'v1', 'requests', P.string, P.string, 'explain'], async ([,,, customer, key]) =>
        sendJson(res, 200, await runner.explain(toKeyParams(customer, key), cache.getConfig())))
      .otherwise(() => { throw new IbisError('invalid-request', `no such call: ${req.method} ${url.pathname}`) })
  }

  async #submit (call: HttpCallContext): Promise<void> {
    const { cache, runner, onOutcome, maxBodyBytes } = this.#options
    const body = parseJson(await readBody(call.req, maxBodyBytes ?? MAX_REQUEST_BYTES, this.#bodies), 'request')
    const config = cache.getConfig()
    const request = parseJobRequest(body, config)
    const holdMs = parseHoldMs(call.url)
    try {
      await this.#holdCaller(async () => {
        const status = await runner.run(request, config, holdMs)
        onOutcome(request, status)
        sendStatus(call, status)
      }, request)
    } catch (err) {
      onOutcome(request, IbisError.from(err))
      throw err
    }
  }

  async #fetch (call: HttpCallContext, key: KeyParams): Promise<void> {
    const waitMs = parseMs(call.url, 'waitMs', 0, MAX_HOLD_MS)
    sendStatus(call, await this.#options.runner.fetch({ ...key, waitMs }, this.#options.cache.getConfig()))
  }

  /** Limits the number of callers that wait at this entry. */
  async #holdCaller (fn: () => Promise<void>, request?: JobRequest): Promise<void> {
    if (this.#pending >= this.#options.maxPending) {
      const err = new IbisError('overloaded', `${this.#pending} callers are waiting at this entry; the limit is ${this.#options.maxPending}`, { retryAfterMs: OVERLOADED_RETRY_AFTER_MS })
      throw request ? qualifyRefusal(request, err, 'entry', false) : err
    }
    this.#pending += 1
    try {
      await fn()
    } finally {
      this.#pending -= 1
    }
  }
}

const toKeyParams = (customer: string, key: string): KeyParams => ({ customer: asId<CustomerId>(customer), key: asId<RequestKey>(key) })

const parseMs = (url: URL, name: string, fallback: number, max: number): number => {
  const text = url.searchParams.get(name)
  if (text === null) return fallback
  const value = Number(text)
  if (Number.isInteger(value) && value >= 0 && value <= max) return value
  throw new IbisError('invalid-request', `query ${name}: got ${JSON.stringify(text.slice(0, 40))}, accepted is a whole number from 0 to ${max}`)
}

const parseHoldMs = (url: URL): number => url.searchParams.get('wait') === '0' ? 0 : parseMs(url, 'waitMs', MAX_HOLD_MS, MAX_HOLD_MS)

/** Sends 200 with the whole answer, 202 while there is no outcome, or the HTTP status of the failure. */
const sendStatus = (call: HttpCallContext, status: JobStatus): void => {
  const { outcome, key, customer, jobId, state, startedAfterMs } = status
  const common = { key, customer, jobId, state, ...(startedAfterMs !== undefined && { startedAfterMs }) }
  if (!outcome) return sendJson(call.res, 202, common)
  if (outcome.state === 'done') return sendJson(call.res, 200, { ...common, answer: outcome.answers })
  const err = IbisError.fromBody(outcome.error)
  sendJson(call.res, err.status, { ...common, error: err.toBody() })
}
