import type { ConfigCache } from '@ibisstair/config-sync'
import { EMPTY_CONFIG } from '@ibisstair/model'
import type { MetricsBody } from '@ibisstair/telemetry'
import { checkBearer, parseJson, readBody, sendError, sendJson, type RpcClient } from '@ibisstair/rpc'
import { asId, IbisError, type CustomerId, type NodeId, type RequestKey } from '@ibisstair/common'
import { match, P } from 'ts-pattern'
import { CONFIG_CALL_TIMEOUT_MS, CONTROL_CALL_TIMEOUT_MS } from './constants.ts'
import type { ControlTarget } from './domains.ts'
import type { HttpCallContext } from './listener.ts'
import type { RequestRunner } from './runner.ts'

/** An imported configuration contains a whole fleet with its customers. */
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

/** The HTTP interface for operators; every call must carry the shared secret. */
export class OperatorApi {
  readonly #options: OperatorApiOptions
  #lastConfigLeader: NodeId | null = null

  constructor (options: OperatorApiOptions) {
    this.#options = options
  }

  async handle (call: HttpCallContext): Promise<void> {
    const { req, res, url, parts } = call
    const { secret, runner, cache, readMetrics } = this.#options
    checkBearer(req, secret)
    await match([req.method, ...parts])
      // Until the first change, operators get version 0, which that change then names as its base version.
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

  async #propose (call: HttpCallContext, method: string, bodyName: string): Promise<void> {
    const body = parseJson(await readBody(call.req, MAX_OPERATOR_BODY_BYTES), bodyName)
    try {
      sendJson(call.res, 200, await this.#callConfigLeader(method, body))
    } catch (err) {
      sendError(call.res, IbisError.from(err))
    }
  }

  /**
   * Tries the control processes until the config group's leader accepts the call. After a call
   * without an answer the outcome is unknown; the operator resends the change under the same change
   * id and gets the recorded result.
   */
  async #callConfigLeader (method: string, params: unknown): Promise<unknown> {
    let lastError = new IbisError('no-leader', 'the settings list no control process')
    let isAmbiguous = false
    for (const control of this.#getControlsInOrder()) {
      try {
        const result = await this.#options.rpc.call(control, method, params, CONFIG_CALL_TIMEOUT_MS)
        this.#lastConfigLeader = control.node
        return result
      } catch (err) {
        const error = IbisError.from(err)
        const isNotLeader = error.kind === 'not-leader' || error.kind === 'no-leader'
        const isUndelivered = error.details?.reason === 'connect'
        if (!isNotLeader && !isUndelivered && error.kind !== 'unreachable') throw error
        if (!isNotLeader && !isUndelivered) isAmbiguous = true
        lastError = error
      }
    }
    if (!isAmbiguous) throw lastError
    throw new IbisError('timeout', `no leader of the config group answered in time: ${lastError.message}`, { cause: lastError })
  }

  #getControlsInOrder (): ControlTarget[] {
    const leader = this.#lastConfigLeader
    return [...this.#options.controls].sort((a, b) => Number(b.node === leader) - Number(a.node === leader))
  }

  async #getStatus (): Promise<object> {
    const { controls, rpc, cache, readStatus } = this.#options
    const answers = await Promise.all(controls.map(async (control) => {
      try {
        return { node: control.node, domain: control.domain, reachable: true, ...await rpc.call<object>(control, 'control.status', {}, CONTROL_CALL_TIMEOUT_MS) }
      } catch (err) {
        return { node: control.node, domain: control.domain, reachable: false, detail: IbisError.from(err).message }
      }
    }))
    return { configVersion: cache.version, entry: readStatus(), controls: answers }
  }
}
