import type { IncomingMessage, ServerResponse } from 'node:http'
import { asId, IbisError, type NodeId } from '@ibisstair/common'
import { createJSONRPCErrorResponse, isJSONRPCRequest, JSONRPCErrorCode, JSONRPCErrorException, JSONRPCServer, type JSONRPCResponse } from 'json-rpc-2.0'
import { DEADLINE_HEADER, DEPLOYMENT_HEADER, DEFAULT_CALL_TIMEOUT_MS, MAX_RPC_BODY_BYTES, NODE_HEADER } from './constants.ts'
import { DrainingServer } from './draining-server.ts'
import { checkBearer, parseJson, readBody, sendError, sendJson } from './http.ts'
import type { CallContext, Handler, Identity, Target } from './types.ts'

/** The JSON-RPC error code of all application errors; `data` contains the error kind. */
const APPLICATION_ERROR_CODE = -32000

const toJsonRpcError = (err: unknown): JSONRPCErrorException => {
  const error = IbisError.from(err)
  return new JSONRPCErrorException(error.message, APPLICATION_ERROR_CODE, error.toBody())
}

/**
 * Serves calls between the processes of a deployment as JSON-RPC 2.0 over HTTP. Every call must
 * carry the shared secret and the name of the deployment.
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
        throw toJsonRpcError(err)
      }
    })
  }

  async listen (target: Target): Promise<Target> {
    return await this.#http.listen(target)
  }

  /** Stops accepting connections and resolves once every call in progress has been answered. */
  async close (): Promise<void> {
    await this.#http.close()
  }

  /** Stops accepting connections and closes the open ones at once, also during an answer. */
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
    throw new IbisError('wrong-deployment', `this process belongs to deployment ${this.#identity.deployment}; the call is for deployment ${String(given)}`)
  }

  #getContext (req: IncomingMessage): CallContext {
    const deadline = Number(req.headers[DEADLINE_HEADER])
    return {
      from: asId<NodeId>(String(req.headers[NODE_HEADER] ?? '')),
      remainingMs: Number.isFinite(deadline) && deadline > 0 ? deadline : DEFAULT_CALL_TIMEOUT_MS
    }
  }
}
