import type { IncomingMessage, ServerResponse } from 'node:http'
import { asId, IbisError, type NodeId } from '@ibisstair/common'
import { createJSONRPCErrorResponse, isJSONRPCRequest, JSONRPCErrorCode, JSONRPCErrorException, JSONRPCServer, type JSONRPCResponse } from 'json-rpc-2.0'
import { DEADLINE_HEADER, DEPLOYMENT_HEADER, DEFAULT_CALL_MS, MAX_RPC_BODY_BYTES, NODE_HEADER } from './constants.ts'
import { DrainingServer } from './draining-server.ts'
import { checkBearer, parseJson, readBody, sendError, sendJson } from './http.ts'
import type { CallContext, Handler, Identity, Target } from './types.ts'

/** Application errors use one code; the error kind is in `data`. */
const APPLICATION_ERROR_CODE = -32000

const toException = (err: unknown): JSONRPCErrorException => {
  const known = IbisError.from(err)
  return new JSONRPCErrorException(known.message, APPLICATION_ERROR_CODE, known.toBody())
}

/**
 * JSON-RPC 2.0 over HTTP for calls between our processes. Every call must carry the shared secret
 * and the name of the deployment.
 */
export class RpcServer {
  readonly #identity: Identity
  readonly #rpc = new JSONRPCServer<CallContext>({ errorListener: () => {} })
  readonly #http: DrainingServer

  constructor (identity: Identity) {
    this.#identity = identity
    this.#http = new DrainingServer((req, res) => { this.#handle(req, res).catch((err) => sendError(res, IbisError.from(err))) })
  }

  register (method: string, handler: Handler): void {
    this.#rpc.addMethod(method, async (params: unknown, ctx: CallContext) => {
      try {
        return await handler(params, ctx) ?? null
      } catch (err) {
        throw toException(err)
      }
    })
  }

  async listen (target: Target): Promise<Target> {
    return await this.#http.listen(target)
  }

  /** Stops accepting connections and waits until the calls in progress have been answered. */
  async close (): Promise<void> {
    await this.#http.close()
  }

  /** Cuts the connections that are still open. */
  destroy (): void {
    this.#http.destroy()
  }

  async #handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (req.method !== 'POST' || req.url !== '/rpc') throw new IbisError('invalid-request', `no such call: ${req.method} ${req.url}`)
    checkBearer(req, this.#identity.secret)
    this.#checkDeployment(req)
    const message = parseJson(await readBody(req, MAX_RPC_BODY_BYTES), 'call')
    if (!isJSONRPCRequest(message)) {
      sendJson(res, 200, createJSONRPCErrorResponse(null, JSONRPCErrorCode.InvalidRequest, 'not a JSON-RPC 2.0 request'))
      return
    }
    const answer: JSONRPCResponse | null = await this.#rpc.receive(message, this.#getContext(req))
    sendJson(res, 200, answer ?? {})
  }

  #checkDeployment (req: IncomingMessage): void {
    const given = req.headers[DEPLOYMENT_HEADER]
    if (given === this.#identity.deployment) return
    throw new IbisError('wrong-deployment', `this process belongs to deployment ${this.#identity.deployment}, the call to ${String(given)}`)
  }

  #getContext (req: IncomingMessage): CallContext {
    const deadline = Number(req.headers[DEADLINE_HEADER])
    return {
      from: asId<NodeId>(String(req.headers[NODE_HEADER] ?? '')),
      remainingMs: Number.isFinite(deadline) && deadline > 0 ? deadline : DEFAULT_CALL_MS
    }
  }
}
