import type { IncomingMessage, ServerResponse } from 'node:http'
import { IbisError } from '@ibisstair/common'
import { DrainingServer, sendError, type Target } from '@ibisstair/rpc'

export interface HttpCallContext {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly url: URL
  /** Decoded parts of the path, for example `['v1', 'requests', 'customer', 'key']`. */
  readonly parts: readonly string[]
}

export type HttpHandler = (call: HttpCallContext) => Promise<void> | void

const parsePath = (url: URL): string[] => {
  try {
    return url.pathname.split('/').filter(Boolean).map(decodeURIComponent)
  } catch {
    throw new IbisError('invalid-request', `the path is not validly percent-encoded: ${url.pathname}`)
  }
}

/** An HTTP listener that sends errors of its handler to the client as error answers. */
export class HttpListener {
  readonly #server: DrainingServer

  constructor (handler: HttpHandler) {
    this.#server = new DrainingServer((req, res) => { this.#handle(handler, req, res).catch(() => res.destroy()) })
  }

  get inProgress (): number {
    return this.#server.inProgress
  }

  async listen (target: Target): Promise<Target> {
    return await this.#server.listen(target)
  }

  /** Stops accepting connections and resolves once every request in progress has been answered. */
  async close (): Promise<void> {
    await this.#server.close()
  }

  async #handle (handler: HttpHandler, req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      const url = new URL(req.url ?? '/', 'http://entry.invalid')
      await handler({ req, res, url, parts: parsePath(url) })
    } catch (err) {
      sendError(res, IbisError.from(err))
    }
  }
}
