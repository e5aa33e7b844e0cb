import { connect, createServer, type Server, type Socket } from 'node:net'

export interface LinkOptions {
  readonly listen: { readonly address: string, readonly port: number }
  readonly target: { readonly address: string, readonly port: number }
}

/** A link to one target, as a proxy that a partition cuts: it refuses connections, or passes requests and no answers. */
export class Link {
  readonly #options: LinkOptions
  readonly #sockets = new Set<Socket>()
  #server: Server | null = null
  #dropsAnswers = false
  /** What is sent and held up until `release`; null while nothing is held up. */
  #held: Array<() => void> | null = null

  constructor (options: LinkOptions) {
    this.#options = options
  }

  get target (): LinkOptions['target'] {
    return this.#options.target
  }

  get address (): string {
    const { address, port } = this.#options.listen
    return `${address}:${port}`
  }

  async open (): Promise<void> {
    const { listen, target } = this.#options
    this.#server = createServer((near) => {
      if (this.#dropsAnswers) return this.#hang(near)
      const far = connect(target.port, target.address)
      for (const socket of [near, far]) this.#track(socket)
      near.on('data', (data) => this.#pass(() => far.write(data)))
      far.on('data', (data) => { if (!this.#dropsAnswers) near.write(data) })
      near.on('close', () => this.#pass(() => far.end()))
      far.on('close', () => { if (!this.#dropsAnswers) near.destroy() })
    })
    await new Promise<void>((resolve, reject) => {
      this.#server!.once('error', reject)
      this.#server!.listen(listen.port, listen.address, resolve)
    })
  }

  /** Resets the open connections and refuses new ones until `open`. */
  refuse (): void {
    this.#server?.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  /** Open connections pass requests and no answers; new ones can't be established. */
  dropAnswers (): void {
    this.#dropsAnswers = true
  }

  /** Holds up what is sent until `release`. */
  holdUp (): void {
    this.#held = []
  }

  /** Delivers what was held up, also on connections that their sender has closed since. */
  release (): void {
    const held = this.#held ?? []
    this.#held = null
    for (const deliver of held) deliver()
  }

  close (): void {
    this.#server?.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  /** Nothing comes back on the connection, and nothing is passed on. */
  #hang (near: Socket): void {
    this.#track(near)
    near.pause()
  }

  #pass (deliver: () => void): void {
    if (this.#held === null) deliver()
    else this.#held.push(deliver)
  }

  #track (socket: Socket): void {
    this.#sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => this.#sockets.delete(socket))
  }
}
