import { Agent } from 'node:http'
import { type ErrorKind, IbisError } from '@ibisstair/common'
import { type Config, type ConfigChange, parseConfig } from '@ibisstair/model'
import { sendHttp } from '@ibisstair/rpc'
import { type MetricsBody, parseMetricsBody } from '@ibisstair/telemetry'
import type { TimerService } from '@ibisstair/timers'
import { CALL_TIMEOUT_MS, MAX_RESPONSE_BYTES, MAX_ROUNDS, ROUND_BACKOFF_MS } from './constants.ts'
import { parseChangeResponse, parseObjectResponse, readReply } from './responses.ts'
import { formatEntryTarget } from './targets.ts'
import type { ChangeResult, EntryTarget } from './types.ts'

/** Errors after which a call is retried, because another entry, or the same entry a little later, may not return them. */
const RETRYABLE_KINDS: ReadonlySet<ErrorKind> = new Set([
  'unreachable', 'timeout', 'shutting-down', 'overloaded', 'stale-config', 'no-leader', 'not-leader', 'no-quorum'
])

/** Errors returned by the config register, which knows whether a change id was accepted before. */
const REGISTER_KINDS: ReadonlySet<ErrorKind> = new Set([
  'version-conflict', 'key-conflict', 'config-infeasible', 'invalid-request', 'unknown-customer', 'unknown-kind'
])

export interface OperatorClientOptions {
  /** Tried in this order, except that the entry that responded last is tried first. */
  readonly entries: readonly EntryTarget[]
  readonly secret: string
  readonly timers: TimerService
  readonly timeoutMs?: number
  readonly rounds?: number
}

interface Call {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly body?: string
  /** Whether the config register recognises a retry by its change id. */
  readonly isDeduplicated?: boolean
}

interface Attempts {
  /** A set, because an entry often fails in the same way in every round. */
  readonly failures: Set<string>
  /** Whether an earlier attempt may have taken effect. */
  isAmbiguous: boolean
  lastError: IbisError | undefined
}

/** Client of the operators' HTTP API of the entries. Every call may be sent more than once. */
export class OperatorClient {
  readonly #options: OperatorClientOptions
  readonly #timeoutMs: number
  readonly #rounds: number
  readonly #agent = new Agent({ keepAlive: false })
  #entries: readonly EntryTarget[]

  constructor (options: OperatorClientOptions) {
    this.#options = options
    this.#entries = options.entries
    this.#timeoutMs = options.timeoutMs ?? CALL_TIMEOUT_MS
    this.#rounds = options.rounds ?? MAX_ROUNDS
  }

  /** A retry carries the same change id and bytes, so the config register responds with the recorded result. */
  async proposeChange (change: ConfigChange): Promise<ChangeResult> {
    const response = await this.#call({ method: 'POST', path: '/v1/config/changes', body: JSON.stringify(change), isDeduplicated: true })
    return parseChangeResponse(response, change.changeId, 'config change')
  }

  /** Initialises a new config group with the latest copy of the configuration. Returns its version, which is kept. */
  async importConfig (config: Config): Promise<number> {
    const response = await this.#call({ method: 'POST', path: '/v1/config/import', body: JSON.stringify({ config }) })
    return parseChangeResponse(response, '', 'config import').version
  }

  async getConfig (): Promise<Config> {
    return parseConfig(await this.#call({ method: 'GET', path: '/v1/config' }), 'response of config')
  }

  async getStatus (): Promise<Record<string, unknown>> {
    return parseObjectResponse(await this.#call({ method: 'GET', path: '/v1/status' }), 'status')
  }

  async explain (customer: string, key: string): Promise<Record<string, unknown>> {
    const path = `/v1/requests/${encodeURIComponent(customer)}/${encodeURIComponent(key)}/explain`
    return parseObjectResponse(await this.#call({ method: 'GET', path }), 'explain')
  }

  async getMetrics (): Promise<MetricsBody> {
    return parseMetricsBody(await this.#call({ method: 'GET', path: '/v1/metrics' }), 'response of metrics')
  }

  async #call (call: Call): Promise<unknown> {
    const attempts: Attempts = { failures: new Set(), isAmbiguous: false, lastError: undefined }
    for (let round = 0; round < this.#rounds; round++) {
      if (round > 0) await this.#options.timers.delay(ROUND_BACKOFF_MS)
      for (const entry of this.#entries) {
        try {
          const response = await this.#send(entry, call)
          this.#moveToFront(entry)
          return response
        } catch (err) {
          OperatorClient.#recordFailure(attempts, call, entry, IbisError.from(err))
        }
      }
    }
    throw OperatorClient.#combineFailures(attempts)
  }

  async #send (entry: EntryTarget, { method, path, body }: Call): Promise<unknown> {
    const reply = await sendHttp({
      ...entry,
      method,
      path,
      ...(body !== undefined && { body }),
      headers: { authorization: `Bearer ${this.#options.secret}` },
      timeoutMs: this.#timeoutMs,
      maxBytes: MAX_RESPONSE_BYTES,
      agent: this.#agent
    }, this.#options.timers)
    return readReply(reply, formatEntryTarget(entry))
  }

  #moveToFront (entry: EntryTarget): void {
    this.#entries = [entry, ...this.#entries.filter((other) => other !== entry)]
  }

  /** Records a retryable failure; throws any other error. */
  static #recordFailure (attempts: Attempts, call: Call, entry: EntryTarget, err: IbisError): void {
    if (!RETRYABLE_KINDS.has(err.kind)) throw OperatorClient.#toFinalError(err, call, attempts)
    attempts.lastError = err
    attempts.failures.add(`${formatEntryTarget(entry)}: ${err.kind}: ${err.message}`)
    const isUndelivered = err.details?.reason === 'connect'
    if (err.execution === 'unknown' && !isUndelivered) attempts.isAmbiguous = true
  }

  /**
   * An earlier attempt without a response may have taken effect although this one was rejected. Only
   * the config register can rule that out, by the change id.
   */
  static #toFinalError (err: IbisError, { isDeduplicated }: Call, { isAmbiguous }: Attempts): IbisError {
    if (!isAmbiguous || (isDeduplicated && REGISTER_KINDS.has(err.kind))) return err
    return new IbisError(err.kind, err.message, { cause: err, execution: 'unknown', ...(err.details && { info: err.details }) })
  }

  static #combineFailures ({ failures, isAmbiguous, lastError }: Attempts): IbisError {
    const kind = lastError?.kind ?? 'unreachable'
    const detail = failures.size > 0 ? [...failures].join('; ') : 'no entries are configured'
    return new IbisError(kind, detail, {
      execution: isAmbiguous ? 'unknown' : 'not-run',
      ...(lastError?.retryAfterMs !== undefined && { retryAfterMs: lastError.retryAfterMs })
    })
  }
}
