import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Target } from './types.ts'

/** Longer than clients keep an idle connection, so that they do not write to a connection that the server is closing. */
const KEEP_ALIVE_TIMEOUT_MS = 10_000

/** An HTTP server whose shutdown lets answers in progress finish and does not wait for idle connections. */
export class DrainingServer {
  readonly #server: Server
  readonly #openAnswers = new Set<ServerResponse>()
  #isClosing = false

  constructor (handler: (req: IncomingMessage, res: ServerResponse) => void) {
    this.#server = createServer((req, res) => {
      this.#trackAnswer(res)
      handler(req, res)
    })
    this.#server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS
    const closeIdle = this.#server.closeIdleConnections.bind(this.#server)
    // Node.js treats a connection as idle once its answer is written, even if a slow client has not received all of it.
    this.#server.closeIdleConnections = () => {
      if (![...this.#openAnswers].some(({ writableEnded }) => writableEnded)) closeIdle()
    }
  }

  get inProgress (): number {
    return this.#openAnswers.size
  }

  async listen (target: Target): Promise<Target> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(target.port, target.address, resolve)
    })
    const { address, port } = this.#server.address() as AddressInfo
    return { address, port }
  }

  /** Stops accepting connections and resolves once every request in progress has been answered. */
  async close (): Promise<void> {
    this.#isClosing = true
    for (const res of this.#openAnswers) this.#disableKeepAlive(res)
    const closed = new Promise<void>((resolve) => { this.#server.close(() => resolve()) })
    this.#closeUnusedConnections()
    await closed
  }

  /** Stops accepting connections and closes the open ones at once, also during an answer. */
  destroy (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #trackAnswer (res: ServerResponse): void {
    this.#openAnswers.add(res)
    if (this.#isClosing) this.#disableKeepAlive(res)
    res.once('close', () => {
      this.#openAnswers.delete(res)
      if (this.#isClosing) this.#closeUnusedConnections()
    })
  }

  /** Makes the client close the connection after this answer: under continuous requests it would never become idle. */
  #disableKeepAlive (res: ServerResponse): void {
    if (!res.headersSent) res.setHeader('connection', 'close')
  }

  #closeUnusedConnections (): void {
    // Node.js does not treat a connection that has carried no request as idle, so closeIdleConnections would leave it open.
    if (this.#openAnswers.size === 0) this.#server.closeAllConnections()
    else this.#server.closeIdleConnections()
  }
}
