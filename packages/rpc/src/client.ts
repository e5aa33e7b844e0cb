import { Agent, type ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import { checkValue, IbisError, isErrorKind, type ErrorBody } from '@ibisstair/common'
import type { TimerService } from '@ibisstair/timers'
import { createJSONRPCRequest } from 'json-rpc-2.0'
import * as v from 'valibot'
import { DEADLINE_HEADER, DEFAULT_CALL_TIMEOUT_MS, DEPLOYMENT_HEADER, MAX_IDLE_CONNECTION_MS, MAX_CONNECTIONS_PER_TARGET, MAX_RPC_BODY_BYTES, NODE_HEADER } from './constants.ts'
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

/** Creates a keep-alive connection pool for one target; `limitIdleTime` adds the limit on idle connections. */
export const createPool = (): Agent =>
  new Agent({ keepAlive: true, maxSockets: MAX_CONNECTIONS_PER_TARGET, maxFreeSockets: 8, timeout: 0, scheduling: 'lifo' })

/**
 * Closes each pooled connection that has been idle for `MAX_IDLE_CONNECTION_MS`. This time is
 * shorter than the server's keep-alive timeout, so that the server does not close a connection
 * while a call is being written to it.
 */
export const limitIdleTime = (pool: Agent): Agent => {
  const watched = new WeakSet<Socket>()
  pool.on('free', (socket: Socket) => {
    if (!watched.has(socket)) socket.on('timeout', () => socket.destroy())
    watched.add(socket)
    socket.setTimeout(MAX_IDLE_CONNECTION_MS)
  })
  const reuseSocket = pool.reuseSocket.bind(pool)
  pool.reuseSocket = (socket: Socket, req: ClientRequest): void => {
    socket.setTimeout(0)
    reuseSocket(socket, req)
  }
  return pool
}

/** Destroys the idle connections of a pool after a call on one of its connections timed out; returns their number. */
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

/** Calls methods of other processes of the deployment. Rejects with an `IbisError` of the kind that the callee reported. */
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

  async call<T>(target: Target, method: string, params: unknown, timeoutMs = DEFAULT_CALL_TIMEOUT_MS): Promise<T> {
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
      if (err instanceof IbisError && err.details?.reason === 'timeout') this.#handleTimeout(pool)
      throw err
    }
  }

  close (): void {
    for (const pool of this.#pools.values()) pool.destroy()
    this.#pools.clear()
  }

  #handleTimeout (pool: Agent): void {
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
    const existing = this.#pools.get(name)
    if (existing) return existing
    const pool = limitIdleTime(createPool())
    this.#pools.set(name, pool)
    return pool
  }

  static #parseReply<T>(body: Buffer, callName: string): T {
    const value = RpcClient.#readReply(() => parseJson(body, callName))
    const errorAnswer = v.safeParse(ErrorAnswerSchema, value)
    if (errorAnswer.success) throw RpcClient.#fromAnswer(errorAnswer.output.error as unknown as ErrorBody)
    const response = RpcClient.#readReply(() => checkValue(ResponseSchema, value, callName))
    if (response.error) throw RpcClient.#toIbisError(response.error, callName)
    return response.result as T
  }

  /** An answer that can't be read says nothing about the call, which may have been carried out. */
  static #readReply<T>(read: () => T): T {
    try {
      return read()
    } catch (err) {
      const cause = IbisError.from(err)
      throw new IbisError('unreachable', cause.message, { cause, info: { reason: 'unreadable', isUndelivered: false } })
    }
  }

  /** A callee that did not reach a third process was reached itself. */
  static #fromAnswer (body: ErrorBody): IbisError {
    return IbisError.fromBody(body.kind === 'unreachable' ? { ...body, info: { ...body.info, isUndelivered: false } } : body)
  }

  static #toIbisError (error: { readonly code: number, readonly message: string, readonly data?: unknown }, callName: string): IbisError {
    const parsed = v.safeParse(ErrorAnswerSchema, { error: error.data })
    if (parsed.success) return RpcClient.#fromAnswer(parsed.output.error as unknown as ErrorBody)
    return new IbisError('internal', `${callName}: ${error.message} (code ${error.code})`)
  }
}
