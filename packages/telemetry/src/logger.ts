import { createConsola, type ConsolaReporter } from 'consola/basic'
import type { LogFields, Logger, LogLevel } from './types.ts'

const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 }

export interface LineSink {
  write (line: string): unknown
  readonly isTTY?: boolean
}

export interface LoggerOptions {
  readonly level: LogLevel
  readonly node: string
  /** Whether to write JSON lines. Defaults to true when the output is not a terminal. */
  readonly json?: boolean
  /** Defaults to the standard output. */
  readonly output?: LineSink
}

/** Returns the JSON text of the value; a value that JSON cannot represent, such as a cyclic one, becomes `String(value)`. */
export const toSafeJson = (value: unknown): string => {
  try {
    return JSON.stringify(value) ?? String(value)
  } catch {
    return String(value)
  }
}

const flattenValue = (value: unknown): string | number | boolean | null => {
  if (value === null || value === undefined) return null
  if (typeof value === 'string' || typeof value === 'boolean') return value
  if (typeof value === 'number') return Number.isFinite(value) ? value : String(value)
  if (value instanceof Error) return value.message
  return toSafeJson(value)
}

const flattenFields = (fields: LogFields): Record<string, unknown> =>
  Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, flattenValue(value)]))

const formatFields = (fields: LogFields | undefined): string =>
  Object.entries(fields ?? {}).map(([name, value]) => ` ${name}=${toSafeJson(value)}`).join('')

const createReporter = (node: string, json: boolean, output: LineSink): ConsolaReporter => ({
  log: ({ date, type, args: [message, fields] }) => {
    const time = date.toISOString()
    const line = json
      ? toSafeJson({ time, level: type, node, message, ...(fields && { fields }) })
      : `${time} ${type} ${node} ${message}${formatFields(fields)}`
    output.write(`${line}\n`)
  }
})

/** Creates a logger for state changes. Events that occur at the rate of requests are counted with `Metrics` instead. */
export const createLogger = (options: LoggerOptions): Logger => {
  const output = options.output ?? process.stdout
  const json = options.json ?? output.isTTY !== true
  const consola = createConsola({
    level: CONSOLA_LEVELS[options.level],
    reporters: [createReporter(options.node, json, output)],
    // Throttling would delay repeated lines with a timer, which would keep the process alive.
    throttle: 0
  })
  const write = (level: LogLevel) => (message: string, fields?: LogFields): void => {
    // `raw` prevents consola from interpreting fields such as `message` as its own options.
    consola[level].raw(message, ...(fields ? [flattenFields(fields)] : []))
  }
  return { error: write('error'), warn: write('warn'), info: write('info'), debug: write('debug') }
}
