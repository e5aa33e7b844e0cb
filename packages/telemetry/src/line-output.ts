import { write, writev } from 'node:fs'
import { Writable } from 'node:stream'

/** Limit for text that is not yet written; further lines are dropped until the buffer is below it. */
const MAX_BUFFERED_BYTES = 256 * 1024

const STDOUT_FD = 1

interface BufferedChunk {
  readonly chunk: Buffer
}

/**
 * Writes lines to the standard output without blocking when its reader is slow. `process.stdout` writes
 * to a pipe synchronously, so a reader that stops reading would block the process.
 */
export class LineOutput extends Writable {
  readonly #fd: number
  #droppedSinceWarning = 0
  #droppedTotal = 0

  constructor (fd = STDOUT_FD) {
    super({ highWaterMark: MAX_BUFFERED_BYTES, decodeStrings: true })
    this.#fd = fd
    this.on('error', () => { /* When the pipe is closed, lines are lost and the process keeps running. */ })
  }

  /** Number of lines dropped since the start. */
  get droppedLines (): number {
    return this.#droppedTotal
  }

  /** Writes one line, or drops it when too much text is buffered. */
  writeLine (line: string): void {
    if (this.destroyed) return
    if (this.writableLength >= MAX_BUFFERED_BYTES) {
      this.#droppedSinceWarning += 1
      this.#droppedTotal += 1
      return
    }
    if (this.#droppedSinceWarning > 0) this.write(`{"level":"warn","message":"log lines dropped because the output buffer was full","fields":{"lines":${this.#droppedSinceWarning}}}\n`)
    this.#droppedSinceWarning = 0
    this.write(line)
  }

  override _write (chunk: Buffer, _encoding: BufferEncoding, callback: (err?: Error | null) => void): void {
    write(this.#fd, chunk, (err) => callback(err))
  }

  override _writev (chunks: BufferedChunk[], callback: (err?: Error | null) => void): void {
    writev(this.#fd, chunks.map(({ chunk }) => chunk), (err) => callback(err))
  }
}
