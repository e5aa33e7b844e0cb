import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net'

interface Pair {
  readonly near: Socket
  readonly far: Socket
  /** Node that opened the connection; empty until its first bytes name it. */
  source: string
  isSilent: boolean
}

interface Listener {
  readonly address: string
  readonly port: number
}

export type Direction = 'requests' | 'answers'

const ANY_PORT: Listener = { address: '127.0.0.1', port: 0 }

/** Header in which calls between processes name their sender. */
const SOURCE_HEADER = /x-ibisstair-node: (\S+)/i

/**
 * A TCP proxy with faults. Open connections can be made silent (they stay open and pass no more
 * bytes) or be reset; bytes can be delayed; and the requests or the answers of one process can be dropped.
 */
export class TcpProxy {
  readonly #server: Server
  readonly #listener: Listener
  readonly #pairs = new Set<Pair>()
  readonly #dropped = new Set<string>()
  #target: Listener = { address: '127.0.0.1', port: 0 }
  #isSilentForNew = false
  accepted = 0
  delayMs = 0

  private constructor (listener: Listener) {
    this.#listener = listener
    this.#server = createServer((near) => this.#handle(near))
  }

  static async start (listener: Listener = ANY_PORT): Promise<TcpProxy> {
    const proxy = new TcpProxy(listener)
    await proxy.#listen()
    return proxy
  }

  async #listen (): Promise<void> {
    const { address, port } = this.#listener
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, address, () => {
        this.#server.off('error', reject)
        resolve()
      })
    })
  }

  get port (): number {
    return (this.#server.address() as AddressInfo).port
  }

  get silencedCount (): number {
    return [...this.#pairs].filter(({ isSilent }) => isSilent).length
  }

  setTarget (port: number, address = '127.0.0.1'): void {
    this.#target = { address, port }
  }

  /** Silences every open connection permanently; new ones work. Returns the number of connections silenced. */
  silenceOpen (): number {
    const open = [...this.#pairs].filter(({ isSilent }) => !isSilent)
    for (const pair of open) this.#silence(pair)
    return open.length
  }

  /** Silences the open connections and every new one until `restore`. */
  partition (): void {
    this.#isSilentForNew = true
    this.silenceOpen()
  }

  /** Resets the open connections and refuses new ones until `accept`. Needs a proxy with a fixed port. */
  refuse (): void {
    this.#server.close()
    this.reset()
  }

  /** Ends a `refuse`. */
  async accept (): Promise<void> {
    if (!this.#server.listening) await this.#listen()
  }

  /** New connections work again; silenced ones stay silent. */
  restore (): void {
    this.#isSilentForNew = false
    this.#dropped.clear()
  }

  /** Drops the requests of the process or the answers to it until `join` or `restore`. Dropped bytes are never delivered. */
  cut (source: string, direction: Direction): void {
    this.#dropped.add(`${source} ${direction}`)
  }

  /** Ends a `cut` and closes the connections of the process, as a byte stream with a gap can't be read further. */
  join (source: string, direction: Direction): void {
    this.#dropped.delete(`${source} ${direction}`)
    for (const pair of this.#pairs) if (pair.source === source) destroyPair(pair)
  }

  /** Resets the open connections. */
  reset (): void {
    for (const { near, far } of this.#pairs) {
      near.resetAndDestroy()
      far.resetAndDestroy()
    }
  }

  close (): void {
    this.#server.close()
    for (const pair of this.#pairs) destroyPair(pair)
  }

  #silence (pair: Pair): void {
    pair.isSilent = true
    for (const socket of [pair.near, pair.far]) {
      socket.removeAllListeners('data')
      socket.pause()
    }
  }

  #handle (near: Socket): void {
    this.accepted += 1
    const far = connect(this.#target.port, this.#target.address)
    const pair: Pair = { near, far, source: '', isSilent: false }
    this.#pairs.add(pair)
    near.on('data', (data) => {
      if (pair.source === '') pair.source = SOURCE_HEADER.exec(data.toString('latin1'))?.[1] ?? ''
      this.#forward(pair, far, data, 'requests')
    })
    far.on('data', (data) => this.#forward(pair, near, data, 'answers'))
    const handleEnd = (other: Socket) => (): void => {
      this.#pairs.delete(pair)
      // A silent connection does not pass on the end of the connection either.
      if (!pair.isSilent) other.destroy()
    }
    near.on('close', handleEnd(far))
    far.on('close', handleEnd(near))
    near.on('error', () => {})
    far.on('error', () => {})
    if (this.#isSilentForNew) this.#silence(pair)
  }

  #forward (pair: Pair, to: Socket, data: Buffer, direction: Direction): void {
    if (this.#dropped.has(`${pair.source} ${direction}`)) return
    if (this.delayMs === 0) {
      to.write(data)
      return
    }
    setTimeout(() => { if (!pair.isSilent && !to.destroyed) to.write(data) }, this.delayMs)
  }
}

const destroyPair = ({ near, far }: Pair): void => {
  near.destroy()
  far.destroy()
}
