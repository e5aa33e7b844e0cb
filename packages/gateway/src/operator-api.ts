import type { ConfigCache } from '@ibisstair/config-sync'
import { EMPTY_CONFIG } from '@ibisstair/model'
import type { MetricsBody } from '@ibisstair/telemetry'
import { checkBearer, parseJson, readBody, sendError, sendJson, type RpcClient } from '@ibisstair/rpc'
import { asId, IbisError, type CustomerId, type NodeId, type RequestKey } from '@ibisstair/common'
import { match, P } from 'ts-pattern'
import { CONFIG_CALL_MS, CONTROL_CALL_MS } from './constants.ts'
import type { ControlTarget } from './domains.ts'
import type { HttpCallContext } from './listener.ts'
import type { RequestRunner } from './runner.ts'

/** Imported configurations hold a whole fleet with its customers. */
const MAX_OPERATOR_BODY_BYTES = 4 * 1024 * 1024

export interface OperatorApiOptions {
  readonly secret: string
  readonly cache: ConfigCache
  readonly runner: RequestRunner
  readonly rpc: RpcClient
  readonly controls: readonly ControlTarget[]
  readonly readMetrics: () => MetricsBody
  readonly readStatus: () => object
}

/** The operators' HTTP interface; every call needs the shared secret. */
export class OperatorApi {
  readonly #options: OperatorApiOptions
  #configLeader: NodeId | null = null

  constructor (options: OperatorApiOptions) {
    this.#options = options
  }

  async handle (call: HttpCallContext): Promise<void> {
    const { req, res, url, parts } = call
    const { secret, runner, cache, readMetrics } = this.#options
    checkBearer(req, secret)
    await match([req.method, ...parts])
      // Before the first change there is version 0, against which an operator makes that change.
      .with(['GET', 'v1', 'config'], () => sendJson(res, 200, cache.current ?? EMPTY_CONFIG))
      .with(['POST', 'v1', 'config', 'changes'], () => this.#propose(call, 'config.propose', 'change'))
      .with(['POST', 'v1', 'config', 'import'], () => this.#propose(call, 'config.import', 'import'))
      .with(['GET', 'v1', 'status'], async () => sendJson(res, 200, await this.#getStatus()))
      .with(['GET', 'v1', 'metrics'], () => sendJson(res, 200, readMetrics()))
      .with(['GET', 'v1', 'requests', P.string, P.string, 'explain'], async ([,,, customer, key]) => {
        const params = { customer: asId<CustomerId>(customer), key: asId<RequestKey>(key) }
        sendJson(res, 200, await runner.explain(params, cache.getConfig()))
      })
      .otherwise(() => { throw new IbisError('invalid-request', `no such call: ${req.method} ${url.pathname}`) })
  }

  async #propose (call: HttpCallContext, method: string, what: string): Promise<void> {
    const body = parseJson(await readBody(call.req, MAX_OPERATOR_BODY_BYTES), what)
    try {
      sendJson(call.res, 200, await this.#callConfigLeader(method, body))
    } catch (err) {
      sendError(call.res, IbisError.from(err))
    }
  }

  /**
   * Asks the control processes for the config group's leader. An unanswered attempt leaves the
   * outcome unknown; the operator resends under the same change id and gets the recorded result.
   */
  async #callConfigLeader (method: string, params: unknown): Promise<unknown> {
    let last = new IbisError('no-leader', 'the settings name no control process')
    let isAmbiguous = false
    for (const control of this.#getOrder()) {
      try {
        const result = await this.#options.rpc.call(control, method, params, CONFIG_CALL_MS)
        this.#configLeader = control.node
        return result
      } catch (err) {
        const known = IbisError.from(err)
        const isElsewhere = known.kind === 'not-leader' || known.kind === 'no-leader'
        const isUndelivered = known.details?.reason === 'connect'
        if (!isElsewhere && !isUndelivered && known.kind !== 'unreachable') throw known
        if (!isElsewhere && !isUndelivered) isAmbiguous = true
        last = known
      }
    }
    if (!isAmbiguous) throw last
    throw new IbisError('timeout', `no leader of the config group answered in time: ${last.message}`, { cause: last })
  }

  #getOrder (): ControlTarget[] {
    const leader = this.#configLeader
    return [...this.#options.controls].sort((a, b) => Number(b.node === leader) - Number(a.node === leader))
  }

  async #getStatus (): Promise<object> {
    const { controls, rpc, cache, readStatus } = this.#options
    const answers = await Promise.all(controls.map(async (control) => {
      try {
        return { node: control.node, domain: control.domain, reachable: true, ...await rpc.call<object>(control, 'control.status', {}, CONTROL_CALL_MS) }
      } catch (err) {
        return { node: control.node, domain: control.domain, reachable: false, detail: IbisError.from(err).message }
      }
    }))
    return { configVersion: cache.version, entry: readStatus(), controls: answers }
  }
}
