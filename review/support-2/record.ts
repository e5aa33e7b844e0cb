import { appendFileSync, writeFileSync } from 'node:fs'

export interface Event {
  /** Milliseconds since the record began. */
  readonly atMs: number
  readonly who: string
  readonly what: string
  readonly [field: string]: unknown
}

/** What was sent, answered and run, as the stand-ins saw it; also written to a file, one JSON line an event. */
export class Record {
  readonly events: Event[] = []
  readonly #file: string
  readonly #beganAtMs = Date.now()

  constructor (file: string) {
    this.#file = file
    writeFileSync(file, '')
  }

  add (who: string, what: string, fields: Readonly<{ [field: string]: unknown }> = {}): Event {
    const event: Event = { atMs: Date.now() - this.#beganAtMs, who, what, ...fields }
    this.events.push(event)
    appendFileSync(this.#file, `${JSON.stringify(event)}\n`)
    return event
  }

  list (what: string, fields: Readonly<{ [field: string]: unknown }> = {}): Event[] {
    return this.events.filter((event) => event.what === what && Object.entries(fields).every(([name, value]) => event[name] === value))
  }
}
