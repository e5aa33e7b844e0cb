import { asId, IbisError, type DomainId, type ErrorKind, type NodeId } from '@ibisstair/common'
import { RpcClient } from '@ibisstair/rpc'
import type { TimerService } from '@ibisstair/timers'
import * as v from 'valibot'
import { DOMAIN_CALL_TIMEOUT_MS, MAX_ROUNDS, ROUND_BACKOFF_MS } from './constants.ts'
import { checkResponse } from './responses.ts'
import type { EntryTarget } from './types.ts'

const DomainAnswerSchema = v.looseObject({ domain: v.string(), isDrained: v.boolean(), revision: v.number() })

const DomainListSchema = v.looseObject({
  domains: v.array(v.looseObject({
    ...DomainAnswerSchema.entries,
    /** Unix milliseconds of the last drain or restoration. */
    sinceMs: v.nullable(v.number()),
    endpoints: v.number(),
    runs: v.number()
  }))
})

export type ListedDomain = v.InferOutput<typeof DomainListSchema>['domains'][number]
export type OrderedDomain = v.InferOutput<typeof DomainAnswerSchema>

export interface DomainClientOptions {
  /** Where control processes take calls of other processes; tried in turn. */
  readonly controls: readonly EntryTarget[]
  readonly deployment: string
  readonly secret: string
  readonly timers: TimerService
}

/** Errors after which another control process, or the same one later, may be able to handle the call. */
const RETRYABLE_KINDS: ReadonlySet<ErrorKind> = new Set(['not-leader', 'no-leader', 'no-quorum', 'unreachable', 'outcome-unknown', 'shutting-down', 'overloaded', 'disk-full'])

/** Name by which control processes see the caller. */
const CALLER = asId<NodeId>('operator')

/** Drains and restores failure domains through the control processes. Every call may be sent more than once. */
export class DomainClient {
  readonly #options: DomainClientOptions
  readonly #rpc: RpcClient

  constructor (options: DomainClientOptions) {
    this.#options = options
    this.#rpc = new RpcClient({ deployment: options.deployment, node: CALLER, secret: options.secret }, options.timers)
  }

  async list (): Promise<readonly ListedDomain[]> {
    return checkResponse(DomainListSchema, await this.#call('domain.list', {}), 'domain.list').domains
  }

  async drain (domain: DomainId): Promise<OrderedDomain> {
    return await this.#order('domain.drain', domain)
  }

  async restore (domain: DomainId): Promise<OrderedDomain> {
    return await this.#order('domain.restore', domain)
  }

  close (): void {
    this.#rpc.close()
  }

  /** Names the revision that the leader tells, so that an order of someone else that overtakes this one is not undone. */
  async #order (method: string, domain: DomainId): Promise<OrderedDomain> {
    const listed = (await this.list()).find((status) => status.domain === domain)
    const answer = await this.#call(method, { domain, expectedRevision: listed?.revision ?? 0 })
    return checkResponse(DomainAnswerSchema, answer, method)
  }

  async #call (method: string, params: object): Promise<unknown> {
    let lastErr = new IbisError('unreachable', 'no control processes are given')
    for (let round = 0; round < MAX_ROUNDS; round++) {
      if (round > 0) await this.#options.timers.delay(ROUND_BACKOFF_MS)
      for (const control of this.#options.controls) {
        try {
          return await this.#callLeader(control, method, params)
        } catch (err) {
          lastErr = IbisError.from(err)
          if (!RETRYABLE_KINDS.has(lastErr.kind)) throw lastErr
        }
      }
    }
    throw lastErr
  }

  /** Calls the leader that the control process names, unless it leads itself; all control processes use one port. */
  async #callLeader (control: EntryTarget, method: string, params: object): Promise<unknown> {
    try {
      return await this.#rpc.call(control, method, params, DOMAIN_CALL_TIMEOUT_MS)
    } catch (err) {
      const { kind, details } = IbisError.from(err)
      if (kind !== 'not-leader' || typeof details?.leader !== 'string') throw err
      return await this.#rpc.call({ ...control, address: details.leader }, method, params, DOMAIN_CALL_TIMEOUT_MS)
    }
  }
}
