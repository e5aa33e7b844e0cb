import { timingSafeEqual, createHash } from 'node:crypto'
import { request as httpRequest, type Agent, type IncomingMessage, type ServerResponse } from 'node:http'
import { IbisError } from '@ibisstair/common'
import type { TimerService } from '@ibisstair/timers'
import type { ByteBudget } from './byte-budget.ts'
import { BODY_BUDGET_RETRY_AFTER_MS } from './constants.ts'

export interface HttpReply {
  readonly status: number
  readonly body: Buffer
}

export interface HttpCall {
  readonly address: string
  readonly port: number
  readonly method: string
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
  readonly timeoutMs: number
  readonly maxBytes: number
  readonly agent: Agent
}

/**
 * Sends one request and reads the whole answer. Rejects with `unreachable` on a transport error, on
 * a truncated or too large answer and on a timeout. In these cases the socket is destroyed, so that
 * an unresponsive connection does not return to the pool. `isUndelivered` tells whether the error
 * proves that no byte of the request was sent.
 */
export const sendHttp = (call: HttpCall, timers: TimerService): Promise<HttpReply> =>
  new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let size = 0
    let isSettled = false
    let hasConnection = false
    const settle = (fn: () => void): void => {
      if (isSettled) return
      isSettled = true
      cancelTimeout()
      fn()
    }
    const fail = (detail: string, reason: string, cause?: Error): void => settle(() => {
      req.destroy()
      reject(new IbisError('unreachable', `${call.address}:${call.port}${call.path}: ${detail}`, { ...(cause && { cause }), info: { reason, isUndelivered: !hasConnection, ...(cause && { code: (cause as NodeJS.ErrnoException).code }) } }))
    })
    const req = httpRequest({
      host: call.address,
      port: call.port,
      method: call.method,
      path: call.path,
      agent: call.agent,
      headers: {
        ...call.headers,
        ...(call.body !== undefined && { 'content-type': 'application/json', 'content-length': Buffer.byteLength(call.body) })
      }
    })
    req.on('socket', (socket) => {
      // Node.js buffers a request until its connection is established, and discards the buffer when the socket is destroyed before.
      if (socket.connecting) socket.once('connect', () => { hasConnection = true })
      else hasConnection = true
    })
    const cancelTimeout = timers.subscribe(call.timeoutMs, () => fail(`no answer within ${Math.round(call.timeoutMs)} ms`, 'timeout'))
    req.on('error', (err) => fail(err.message, isConnectError(err) ? 'connect' : 'connection', err))
    req.on('response', (res) => {
      res.on('data', (chunk: Buffer) => {
        size += chunk.length
        if (size > call.maxBytes) return fail(`answer exceeds ${call.maxBytes} bytes`, 'too-large')
        chunks.push(chunk)
      })
      res.on('error', (err) => fail(err.message, 'connection', err))
      res.on('aborted', () => fail('answer was truncated', 'connection'))
      res.on('end', () => {
        if (!res.complete) return fail('answer was truncated', 'connection')
        settle(() => resolve({ status: res.statusCode ?? 0, body: Buffer.concat(chunks, size) }))
      })
    })
    req.end(call.body)
  })

/**
 * Whether a call failed before its request was sent: no connection was established, or none was free in the pool.
 * A timeout alone does not tell: a request on an open connection may still be carried out.
 */
export const isUndelivered = (err: IbisError): boolean =>
  err.kind === 'unreachable' && (err.details?.isUndelivered ?? err.details?.reason === 'connect') === true

const isConnectError = (err: Error): boolean => {
  const { code, syscall } = err as NodeJS.ErrnoException
  return syscall === 'connect' || code === 'ECONNREFUSED'
}

/**
 * Reads a request body of at most `maxBytes`; rejects a larger one with `body-too-large` and does not buffer it.
 * `budget` is shared with other requests; rejects with `overloaded` once all bodies together exceed it.
 */
export const readBody = (req: IncomingMessage, maxBytes: number, budget: ByteBudget | null = null): Promise<Buffer> => {
  const chunks: Buffer[] = []
  let size = 0
  const read = new Promise<Buffer>((resolve, reject) => {
    let isRejected = false
    const discard = (err: IbisError): void => {
      isRejected = true
      chunks.length = 0
      reject(err)
    }
    const tooLarge = (): IbisError => new IbisError('body-too-large', `the request body exceeds ${maxBytes} bytes`, { info: { maxBytes } })
    if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
      req.resume()
      discard(tooLarge())
      return
    }
    req.on('data', (chunk: Buffer) => {
      if (isRejected) return
      if (size + chunk.length > maxBytes) return discard(tooLarge())
      // An earlier copy of the request may have run, whatever becomes of this one.
      if (budget?.tryTake(chunk.length) === false) return discard(new IbisError('overloaded', `this process is already reading ${budget.usedBytes} bytes of request bodies`, { retryAfterMs: BODY_BUDGET_RETRY_AFTER_MS, execution: 'unknown' }))
      size += chunk.length
      chunks.push(chunk)
    })
    req.on('end', () => resolve(Buffer.concat(chunks, size)))
    req.on('error', (err) => discard(new IbisError('invalid-request', 'the request body was truncated', { cause: err })))
    req.on('aborted', () => discard(new IbisError('invalid-request', 'the request body was truncated')))
  })
  return budget ? read.finally(() => budget.give(size)) : read
}

/** Throws `invalid-request` if the body is not JSON; `bodyName` names it in the message. */
export const parseJson = (body: Buffer, bodyName: string): unknown => {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch (err) {
    throw new IbisError('invalid-request', `${bodyName}: not valid JSON: ${(err as Error).message}`)
  }
}

export const sendJson = (res: ServerResponse, status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): void =>
  sendJsonText(res, status, JSON.stringify(value), headers)

/** Sends a value that is already JSON text. */
export const sendJsonText = (res: ServerResponse, status: number, text: string, headers: Readonly<Record<string, string>> = {}): void => {
  if (res.writableEnded || res.destroyed) return
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers })
  res.end(text)
}

/** Sends the error's HTTP status and body, with a `retry-after` header in seconds if it has a retry time. */
export const sendError = (res: ServerResponse, err: IbisError): void => {
  const headers = err.retryAfterMs === undefined ? {} : { 'retry-after': String(Math.ceil(err.retryAfterMs / 1000)) }
  sendJson(res, err.status, { error: err.toBody() }, headers)
}

/** Compares two secrets in constant time; hashing makes their lengths equal. */
export const isSecretEqual = (given: string, expected: string): boolean => {
  const digest = (text: string): Buffer => createHash('sha256').update(text).digest()
  return timingSafeEqual(digest(given), digest(expected))
}

const BEARER_PREFIX = 'Bearer '

/** Throws `unauthorized` unless the request carries the shared secret as a bearer token. */
export const checkBearer = (req: IncomingMessage, secret: string): void => {
  const header = req.headers.authorization ?? ''
  const given = header.startsWith(BEARER_PREFIX) ? header.slice(BEARER_PREFIX.length) : ''
  if (isSecretEqual(given, secret)) return
  throw new IbisError('unauthorized', 'the shared secret is missing or wrong')
}
