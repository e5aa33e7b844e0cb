import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Target } from './types.ts'

/** Longer than callers keep an idle connection, so that they do not write to one that is being closed. */
const KEEP_ALIVE_MS = 10_000

/** An HTTP server whose shutdown cuts no answer and is not held up by connections that stay open. */
export class DrainingServer {
  readonly #server: Server
  readonly #answers = new Set<ServerResponse>()
  #isClosing = false

  constructor (handler: (req: IncomingMessage, res: ServerResponse) => void) {
    this.#server = createServer((req, res) => {
      this.#handle(res)
      handler(req, res)
    })
    this.#server.keepAliveTimeout = KEEP_ALIVE_MS
    const closeIdle = this.#server.closeIdleConnections.bind(this.#server)
    // Node.js counts an answer as idle once it is written, even while a slow reader has not taken it.
    this.#server.closeIdleConnections = () => {
      if (![...this.#answers].some(({ writableEnded }) => writableEnded)) closeIdle()
    }
  }

  get inProgress (): number {
    return this.#answers.size
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
    for (const res of this.#answers) this.#endConnection(res)
    const closed = new Promise<void>((resolve) => { this.#server.close(() => resolve()) })
    this.#closeRest()
    await closed
  }

  /** Cuts the connections that are still open. */
  destroy (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #handle (res: ServerResponse): void {
    this.#answers.add(res)
    if (this.#isClosing) this.#endConnection(res)
    res.once('close', () => {
      this.#answers.delete(res)
      if (this.#isClosing) this.#closeRest()
    })
  }

  /** A connection on which requests keep coming would otherwise never become idle. */
  #endConnection (res: ServerResponse): void {
    if (!res.headersSent) res.setHeader('connection', 'close')
  }

  #closeRest (): void {
    // Connections that never carried a request are not idle to Node.js.
    if (this.#answers.size === 0) this.#server.closeAllConnections()
    else this.#server.closeIdleConnections()
  }
}
