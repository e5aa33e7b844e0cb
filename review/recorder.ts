import { appendFileSync, writeFileSync } from 'node:fs'

/** Writes what was sent, answered and run to the record of a case, one line an event, with the seconds since its start. */
export class Recorder {
  readonly #file: string
  readonly #startedAtMs = Date.now()
  #isClosed = false

  constructor (file: string) {
    this.#file = file
    writeFileSync(file, '')
  }

  close (): void {
    this.#isClosed = true
  }

  write (text: string): void {
    if (this.#isClosed) return
    const line = `${((Date.now() - this.#startedAtMs) / 1_000).toFixed(3).padStart(8)}  ${text}`
    appendFileSync(this.#file, `${line}\n`)
    console.log(line)
  }
}
