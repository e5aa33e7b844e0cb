import { Agent, type ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import { checkValue, IbisError, isErrorKind, type ErrorBody } from '@ibisstair/common'
import type { TimerService } from '@ibisstair/timers'
import { createJSONRPCRequest } from 'json-rpc-2.0'
import * as v from 'valibot'
import { DEADLINE_HEADER, DEFAULT_CALL_MS, DEPLOYMENT_HEADER, IDLE_CONNECTION_MS, MAX_CONNECTIONS_PER_TARGET, MAX_RPC_BODY_BYTES, NODE_HEADER } from './constants.ts'
import { parseJson, sendHttp } from './http.ts'
import type { Identity, Target, TransportCounters } from './types.ts'

const ResponseSchema = v.looseObject({
  jsonrpc: v.literal('2.0'),
  result: v.optional(v.unknown()),
  error: v.optional(v.looseObject({ code: v.number(), message: v.string(), data: v.optional(v.unknown()) }))
})

const ErrorAnswerSchema = v.looseObject({
  error: v.looseObject({ kind: v.custom<ErrorBody['kind']>(isErrorKind, 'a known error kind'), detail: v.string(), execution: v.picklist(['not-run', 'ran', 'unknown']) })
})

/** A keep-alive pool for one target that never reuses a connection which was idle for long. */
export const createPool = (): Agent =>
  new Agent({ keepAlive: true, maxSockets: MAX_CONNECTIONS_PER_TARGET, maxFreeSockets: 8, timeout: 0, scheduling: 'lifo' })

/**
 * Closes a pooled connection at the end of its idle time. The time is shorter than the server's
 * keep-alive, so that the server does not close a connection while a call is being written to it.
 */
export const limitIdleTime = (pool: Agent): Agent => {
  const watched = new WeakSet<Socket>()
  pool.on('free', (socket: Socket) => {
    if (!watched.has(socket)) socket.on('timeout', () => socket.destroy())
    watched.add(socket)
    socket.setTimeout(IDLE_CONNECTION_MS)
  })
  const reuse = pool.reuseSocket.bind(pool)
  pool.reuseSocket = (socket: Socket, req: ClientRequest): void => {
    socket.setTimeout(0)
    reuse(socket, req)
  }
  return pool
}

/** Destroys the idle connections of a pool, after one of its connections was found silent. */
export const dropIdleConnections = (pool: Agent): number => {
  let dropped = 0
  for (const sockets of Object.values(pool.freeSockets)) {
    for (const socket of sockets ?? []) {
      socket.destroy()
      dropped += 1
    }
  }
  return dropped
}

/** Calls other processes of the deployment. Errors keep the kind that the callee gave. */
export class RpcClient {
  readonly #identity: Identity
  readonly #timers: TimerService
  readonly #pools = new Map<string, Agent>()
  #nextId = 1
  readonly counters: TransportCounters = {
    calls: 0, timeouts: 0, connectionsDropped: 0, messagesDropped: 0, bytesSent: 0, bytesReceived: 0
  }

  constructor (identity: Identity, timers: TimerService) {
    this.#identity = identity
    this.#timers = timers
  }

  async call<T>(target: Target, method: string, params: unknown, timeoutMs = DEFAULT_CALL_MS): Promise<T> {
    const pool = this.#getPool(target)
    const body = JSON.stringify(createJSONRPCRequest(this.#nextId++, method, params as object))
    this.counters.calls += 1
    this.counters.bytesSent += body.length
    try {
      const reply = await sendHttp({
        ...target,
        method: 'POST',
        path: '/rpc',
        body,
        timeoutMs,
        maxBytes: MAX_RPC_BODY_BYTES,
        agent: pool,
        headers: this.#getHeaders(timeoutMs)
      }, this.#timers)
      this.counters.bytesReceived += reply.body.length
      return RpcClient.#parseReply<T>(reply.body, `${method} at ${target.address}:${target.port}`)
    } catch (err) {
      if (err instanceof IbisError && err.details?.reason === 'timeout') this.#handleSilence(pool)
      throw err
    }
  }

  close (): void {
    for (const pool of this.#pools.values()) pool.destroy()
    this.#pools.clear()
  }

  #handleSilence (pool: Agent): void {
    this.counters.timeouts += 1
    this.counters.connectionsDropped += 1 + dropIdleConnections(pool)
  }

  #getHeaders (timeoutMs: number): Record<string, string> {
    return {
      authorization: `Bearer ${this.#identity.secret}`,
      [DEPLOYMENT_HEADER]: this.#identity.deployment,
      [NODE_HEADER]: this.#identity.node,
      [DEADLINE_HEADER]: String(Math.round(timeoutMs))
    }
  }

  #getPool (target: Target): Agent {
    const name = `${target.address}:${target.port}`
    const known = this.#pools.get(name)
    if (known) return known
    const pool = limitIdleTime(createPool())
    this.#pools.set(name, pool)
    return pool
  }

  static #parseReply<T>(body: Buffer, what: string): T {
    const value = parseJson(body, what)
    const refusal = v.safeParse(ErrorAnswerSchema, value)
    if (refusal.success) throw IbisError.fromBody(refusal.output.error as unknown as ErrorBody)
    const answer = checkValue(ResponseSchema, value, what)
    if (answer.error) throw RpcClient.#toError(answer.error, what)
    return answer.result as T
  }

  static #toError (error: { readonly code: number, readonly message: string, readonly data?: unknown }, what: string): IbisError {
    const parsed = v.safeParse(ErrorAnswerSchema, { error: error.data })
    if (parsed.success) return IbisError.fromBody(parsed.output.error as unknown as ErrorBody)
    return new IbisError('internal', `${what}: ${error.message} (code ${error.code})`)
  }
}
