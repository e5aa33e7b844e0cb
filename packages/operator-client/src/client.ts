import { Agent } from 'node:http'
import { type ErrorKind, IbisError } from '@ibisstair/common'
import { type Config, type ConfigChange, parseConfig } from '@ibisstair/model'
import { sendHttp } from '@ibisstair/rpc'
import { type MetricsBody, parseMetricsBody } from '@ibisstair/telemetry'
import type { TimerService } from '@ibisstair/timers'
import { parseChangeAnswer, parseObjectAnswer, readReply } from './answers.ts'
import { CALL_TIMEOUT_MS, MAX_ANSWER_BYTES, MAX_ROUNDS, ROUND_PAUSE_MS } from './constants.ts'
import { formatEntryTarget } from './targets.ts'
import type { ChangeResult, EntryTarget } from './types.ts'

/** Errors of one entry that another entry, or the same one a little later, may not have. */
const RESENT_KINDS: ReadonlySet<ErrorKind> = new Set([
  'unreachable', 'timeout', 'shutting-down', 'overloaded', 'stale-config', 'no-leader', 'not-leader', 'no-quorum'
])

/** Answers of the config register, which knows whether a change id was accepted before. */
const RECORDED_KINDS: ReadonlySet<ErrorKind> = new Set([
  'version-conflict', 'key-conflict', 'config-infeasible', 'invalid-request', 'unknown-customer', 'unknown-kind'
])

export interface OperatorClientOptions {
  /** Tried in this order; the entry that answered last is asked first. */
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
  /** Whether the register recognises a resend. */
  readonly isRecorded?: boolean
}

interface Attempts {
  /** Without repetitions, because an entry often fails in the same way in every round. */
  readonly failures: Set<string>
  /** Whether an earlier attempt may have had its effect. */
  isAmbiguous: boolean
  last: IbisError | undefined
}

/** Client of the operators' HTTP interface of the entries. Every call may be sent more than once. */
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

  /** A resend carries the same change id and bytes, so the register answers it with the recorded result. */
  async proposeChange (change: ConfigChange): Promise<ChangeResult> {
    const answer = await this.#call({ method: 'POST', path: '/v1/config/changes', body: JSON.stringify(change), isRecorded: true })
    return parseChangeAnswer(answer, change.changeId, 'config change')
  }

  /** Gives a new config group the newest copy of the configuration, which keeps its version. */
  async importConfig (config: Config): Promise<number> {
    const answer = await this.#call({ method: 'POST', path: '/v1/config/import', body: JSON.stringify({ config }) })
    return parseChangeAnswer(answer, '', 'config import').version
  }

  async getConfig (): Promise<Config> {
    return parseConfig(await this.#call({ method: 'GET', path: '/v1/config' }), 'answer of config')
  }

  async getStatus (): Promise<Record<string, unknown>> {
    return parseObjectAnswer(await this.#call({ method: 'GET', path: '/v1/status' }), 'status')
  }

  async explain (customer: string, key: string): Promise<Record<string, unknown>> {
    const path = `/v1/requests/${encodeURIComponent(customer)}/${encodeURIComponent(key)}/explain`
    return parseObjectAnswer(await this.#call({ method: 'GET', path }), 'explain')
  }

  async getMetrics (): Promise<MetricsBody> {
    return parseMetricsBody(await this.#call({ method: 'GET', path: '/v1/metrics' }), 'answer of metrics')
  }

  async #call (call: Call): Promise<unknown> {
    const attempts: Attempts = { failures: new Set(), isAmbiguous: false, last: undefined }
    for (let round = 0; round < this.#rounds; round++) {
      if (round > 0) await this.#options.timers.delay(ROUND_PAUSE_MS)
      for (const entry of this.#entries) {
        try {
          const answer = await this.#send(entry, call)
          this.#prefer(entry)
          return answer
        } catch (err) {
          OperatorClient.#record(attempts, call, entry, IbisError.from(err))
        }
      }
    }
    throw OperatorClient.#summarise(attempts)
  }

  async #send (entry: EntryTarget, { method, path, body }: Call): Promise<unknown> {
    const reply = await sendHttp({
      ...entry,
      method,
      path,
      ...(body !== undefined && { body }),
      headers: { authorization: `Bearer ${this.#options.secret}` },
      timeoutMs: this.#timeoutMs,
      maxBytes: MAX_ANSWER_BYTES,
      agent: this.#agent
    }, this.#options.timers)
    return readReply(reply, formatEntryTarget(entry))
  }

  #prefer (entry: EntryTarget): void {
    this.#entries = [entry, ...this.#entries.filter((other) => other !== entry)]
  }

  /** Throws a final error; otherwise notes that the next entry is to be tried. */
  static #record (attempts: Attempts, call: Call, entry: EntryTarget, err: IbisError): void {
    if (!RESENT_KINDS.has(err.kind)) throw OperatorClient.#qualify(err, call, attempts)
    attempts.last = err
    attempts.failures.add(`${formatEntryTarget(entry)}: ${err.kind}: ${err.message}`)
    const isUndelivered = err.details?.reason === 'connect'
    if (err.execution === 'unknown' && !isUndelivered) attempts.isAmbiguous = true
  }

  /** A refusal does not say what an earlier attempt without an answer has done, unless the register says so. */
  static #qualify (err: IbisError, { isRecorded }: Call, { isAmbiguous }: Attempts): IbisError {
    if (!isAmbiguous || (isRecorded && RECORDED_KINDS.has(err.kind))) return err
    return new IbisError(err.kind, err.message, { cause: err, execution: 'unknown', ...(err.details && { info: err.details }) })
  }

  static #summarise ({ failures, isAmbiguous, last }: Attempts): IbisError {
    const kind = last?.kind ?? 'unreachable'
    const detail = failures.size > 0 ? [...failures].join('; ') : 'no entry is given'
    return new IbisError(kind, detail, {
      execution: isAmbiguous ? 'unknown' : 'not-run',
      ...(last?.retryAfterMs !== undefined && { retryAfterMs: last.retryAfterMs })
    })
  }
}
