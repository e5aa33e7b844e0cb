import { asId, IbisError, type CustomerId, type RequestKey } from '@ibisstair/common'
import type { ConfigCache } from '@ibisstair/config-sync'
import { MAX_REQUEST_BYTES, parseJobRequest, type JobRequest, type JobStatus } from '@ibisstair/model'
import { parseJson, readBody, sendJson } from '@ibisstair/rpc'
import { MAX_HELD_MS } from './constants.ts'
import type { HttpCallContext } from './listener.ts'
import type { KeyParams } from './messages.ts'
import type { RequestRunner } from './runner.ts'

export interface CallerApiOptions {
  readonly cache: ConfigCache
  readonly runner: RequestRunner
  readonly maxBodyBytes?: number
  readonly maxPending: number
  readonly isReady: () => boolean
  /** Told of every request that was started or refused. */
  readonly onOutcome: (request: JobRequest, outcome: JobStatus | IbisError) => void
}

const RETRY_PENDING_MS = 1_000

/** The HTTP interface of callers; see docs/operations.md for examples. */
export class CallerApi {
  readonly #options: CallerApiOptions
  #pending = 0

  constructor (options: CallerApiOptions) {
    this.#options = options
  }

  get pending (): number {
    return this.#pending
  }

  async handle (call: HttpCallContext): Promise<void> {
    const { req, res, url, parts } = call
    const route = `${req.method} /${parts.slice(0, 2).join('/')}${parts.length > 2 ? `/…${parts.length}` : ''}`
    switch (route) {
      case 'GET /livez':
        sendJson(res, 200, { alive: true })
        return
      case 'GET /readyz':
        sendJson(res, this.#options.isReady() ? 200 : 503, { ready: this.#options.isReady() })
        return
      case 'POST /v1/requests':
        await this.#hold(() => this.#submit(call))
        return
      case 'GET /v1/requests/…4':
        await this.#hold(() => this.#fetch(call, toKey(parts)))
        return
      case 'DELETE /v1/requests/…4':
        sendStatus(call, await this.#options.runner.cancel(toKey(parts), this.#options.cache.getConfig()))
        return
      case 'GET /v1/requests/…5':
        if (parts[4] !== 'explain') break
        sendJson(res, 200, await this.#options.runner.explain(toKey(parts), this.#options.cache.getConfig()))
        return
      default:
    }
    throw new IbisError('invalid-request', `no such call: ${req.method} ${url.pathname}`)
  }

  async #submit (call: HttpCallContext): Promise<void> {
    const { cache, runner, onOutcome } = this.#options
    const maxBytes = this.#options.maxBodyBytes ?? MAX_REQUEST_BYTES
    const body = parseJson(await readBody(call.req, maxBytes), 'request')
    const config = cache.getConfig()
    const request = parseJobRequest(body, config)
    try {
      const status = await runner.run(request, config, getHoldMs(call.url))
      onOutcome(request, status)
      sendStatus(call, status)
    } catch (err) {
      onOutcome(request, IbisError.from(err))
      throw err
    }
  }

  async #fetch (call: HttpCallContext, key: KeyParams): Promise<void> {
    const waitMs = parseMs(call.url, 'waitMs', 0, MAX_HELD_MS)
    sendStatus(call, await this.#options.runner.fetch({ ...key, waitMs }, this.#options.cache.getConfig()))
  }

  /** Bounds the callers that wait at this entry. */
  async #hold (fn: () => Promise<void>): Promise<void> {
    if (this.#pending >= this.#options.maxPending) {
      throw new IbisError('overloaded', `${this.#pending} callers wait at this entry, the limit is ${this.#options.maxPending}`, { retryAfterMs: RETRY_PENDING_MS })
    }
    this.#pending += 1
    try {
      await fn()
    } finally {
      this.#pending -= 1
    }
  }
}

const toKey = (parts: readonly string[]): KeyParams => ({
  customer: asId<CustomerId>(parts[2]!),
  key: asId<RequestKey>(parts[3]!)
})

const parseMs = (url: URL, name: string, fallback: number, max: number): number => {
  const text = url.searchParams.get(name)
  if (text === null) return fallback
  const value = Number(text)
  if (Number.isInteger(value) && value >= 0 && value <= max) return value
  throw new IbisError('invalid-request', `query ${name}: got ${JSON.stringify(text.slice(0, 40))}, accepted is a whole number from 0 to ${max}`)
}

const getHoldMs = (url: URL): number => url.searchParams.get('wait') === '0' ? 0 : parseMs(url, 'waitMs', MAX_HELD_MS, MAX_HELD_MS)

/** 200 with the whole answer, 202 while there is none, or the status of the failure. */
const sendStatus = (call: HttpCallContext, status: JobStatus): void => {
  const { outcome, key, customer, jobId, state, startedAfterMs } = status
  const common = { key, customer, jobId, state, ...(startedAfterMs !== undefined && { startedAfterMs }) }
  if (!outcome) return sendJson(call.res, 202, common)
  if (outcome.state === 'done') return sendJson(call.res, 200, { ...common, answer: outcome.answers })
  const err = IbisError.fromBody(outcome.error)
  sendJson(call.res, err.status, { ...common, error: err.toBody() })
}
