import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { IbisError } from '@ibisstair/common'
import { sendError, type Target } from '@ibisstair/rpc'

export interface HttpCallContext {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly url: URL
  /** Decoded parts of the path after the version, for example `['requests', 'customer', 'key']`. */
  readonly parts: readonly string[]
}

export type HttpHandler = (call: HttpCallContext) => Promise<void> | void

const parsePath = (url: URL): string[] => {
  try {
    return url.pathname.split('/').filter(Boolean).map(decodeURIComponent)
  } catch {
    throw new IbisError('invalid-request', `the path is not valid: ${url.pathname}`)
  }
}

/** One HTTP listener that counts the requests in progress, so that a shutdown can wait for them. */
export class HttpListener {
  readonly #server: Server
  #inProgress = 0
  #isClosing = false
  #onIdle: (() => void) | null = null

  constructor (handler: HttpHandler) {
    this.#server = createServer((req, res) => { this.#handle(handler, req, res).catch(() => res.destroy()) })
    this.#server.keepAliveTimeout = 10_000
  }

  get inProgress (): number {
    return this.#inProgress
  }

  async listen (target: Target): Promise<Target> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(target.port, target.address, resolve)
    })
    const { address, port } = this.#server.address() as AddressInfo
    return { address, port }
  }

  /** Accepts no new connection and resolves when every request in progress has been answered. */
  async close (): Promise<void> {
    this.#isClosing = true
    const closed = new Promise<void>((resolve) => { this.#server.close(() => resolve()) })
    if (this.#inProgress > 0) await new Promise<void>((resolve) => { this.#onIdle = resolve })
    this.#server.closeIdleConnections()
    await closed
  }

  async #handle (handler: HttpHandler, req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.#inProgress += 1
    res.once('close', () => this.#handleDone())
    if (this.#isClosing) res.setHeader('connection', 'close')
    try {
      const url = new URL(req.url ?? '/', 'http://entry.invalid')
      await handler({ req, res, url, parts: parsePath(url) })
    } catch (err) {
      sendError(res, IbisError.from(err))
    }
  }

  #handleDone (): void {
    this.#inProgress -= 1
    if (this.#isClosing) this.#server.closeIdleConnections()
    if (this.#inProgress === 0) this.#onIdle?.()
  }
}
