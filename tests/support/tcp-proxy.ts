import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net'

interface Pair {
  readonly near: Socket
  readonly far: Socket
}

/** A TCP proxy whose open connections can be made silent: they stay open and pass no more bytes. */
export class TcpProxy {
  readonly #server: Server
  readonly #pairs = new Set<Pair>()
  readonly #silenced = new Set<Pair>()
  #targetPort = 0
  #isSilentForNew = false
  accepted = 0

  private constructor () {
    this.#server = createServer((near) => this.#handle(near))
  }

  static async start (): Promise<TcpProxy> {
    const proxy = new TcpProxy()
    await new Promise<void>((resolve) => { proxy.#server.listen(0, '127.0.0.1', resolve) })
    return proxy
  }

  get port (): number {
    return (this.#server.address() as AddressInfo).port
  }

  get silencedCount (): number {
    return this.#silenced.size
  }

  setTarget (port: number): void {
    this.#targetPort = port
  }

  /** Silences every open connection for good; new ones work. Returns how many it silenced. */
  silenceOpen (): number {
    const open = [...this.#pairs].filter((pair) => !this.#silenced.has(pair))
    for (const pair of open) this.#silence(pair)
    return open.length
  }

  /** Silences the open connections and every new one until `restore`. */
  partition (): void {
    this.#isSilentForNew = true
    this.silenceOpen()
  }

  /** New connections work again; silenced ones stay silent. */
  restore (): void {
    this.#isSilentForNew = false
  }

  close (): void {
    this.#server.close()
    for (const { near, far } of this.#pairs) {
      near.destroy()
      far.destroy()
    }
  }

  #silence (pair: Pair): void {
    this.#silenced.add(pair)
    for (const socket of [pair.near, pair.far]) {
      socket.removeAllListeners('data')
      socket.pause()
    }
  }

  #handle (near: Socket): void {
    this.accepted += 1
    const far = connect(this.#targetPort, '127.0.0.1')
    const pair = { near, far }
    this.#pairs.add(pair)
    near.on('data', (data) => far.write(data))
    far.on('data', (data) => near.write(data))
    const handleEnd = (other: Socket) => (): void => {
      this.#pairs.delete(pair)
      // A silent path passes no end of the connection either.
      if (!this.#silenced.has(pair)) other.destroy()
    }
    near.on('close', handleEnd(far))
    far.on('close', handleEnd(near))
    near.on('error', () => {})
    far.on('error', () => {})
    if (this.#isSilentForNew) this.#silence(pair)
  }
}
