import { write, writev } from 'node:fs'
import { Writable } from 'node:stream'

/** Text that waits for the pipe; further lines are left out until there is room again. */
const MAX_WAITING_BYTES = 256 * 1024

const STANDARD_OUTPUT = 1

interface Waiting {
  readonly chunk: Buffer
}

/**
 * Writes lines to the standard output without ever waiting for its reader. Node.js writes to a pipe
 * synchronously, so that a reader that stands still would stop the process.
 */
export class LineOutput extends Writable {
  readonly #fd: number
  #left = 0
  #total = 0

  constructor (fd = STANDARD_OUTPUT) {
    super({ highWaterMark: MAX_WAITING_BYTES, decodeStrings: true })
    this.#fd = fd
    this.on('error', () => { /* A closed pipe loses the lines; the process goes on. */ })
  }

  /** Lines that were left out since the start. */
  get droppedLines (): number {
    return this.#total
  }

  /** Takes one line, or leaves it out when too much text waits. */
  writeLine (line: string): void {
    if (this.destroyed) return
    if (this.writableLength >= MAX_WAITING_BYTES) {
      this.#left += 1
      this.#total += 1
      return
    }
    if (this.#left > 0) this.write(`{"level":"warn","message":"log lines were left out","fields":{"lines":${this.#left}}}\n`)
    this.#left = 0
    this.write(line)
  }

  override _write (chunk: Buffer, _encoding: BufferEncoding, done: (err?: Error | null) => void): void {
    write(this.#fd, chunk, (err) => done(err))
  }

  override _writev (chunks: Waiting[], done: (err?: Error | null) => void): void {
    writev(this.#fd, chunks.map(({ chunk }) => chunk), (err) => done(err))
  }
}
