import { parseArgs } from 'node:util'
import { VERSION } from './constants.ts'
import { UsageError } from './errors.ts'

export interface OptionSpec {
  readonly type: 'string' | 'boolean'
  /** Short help text. */
  readonly help: string
  /** Placeholder for the value in the help text, for example `FILE`. */
  readonly value?: string
  readonly multiple?: boolean
}

export interface CommandSpec {
  /** Name of the binary, shown in help and error messages. */
  readonly name: string
  readonly summary: string
  /** Usage lines without the name of the binary, for example `[options] FILE...`. */
  readonly usage?: readonly string[]
  readonly options?: Readonly<Record<string, OptionSpec>>
  /** Lines of the help text after the options. */
  readonly notes?: readonly string[]
  /** Adds the required option `--settings FILE` and the option `--check`. */
  readonly daemon?: boolean
  readonly minPositionals?: number
  readonly maxPositionals?: number
}

const COMMON_OPTIONS: Readonly<Record<string, OptionSpec>> = {
  help: { type: 'boolean', help: 'print this text and exit' },
  version: { type: 'boolean', help: 'print the version and exit' }
}

const DAEMON_OPTIONS: Readonly<Record<string, OptionSpec>> = {
  settings: { type: 'string', value: 'FILE', help: 'settings of this process (YAML)' },
  check: { type: 'boolean', help: 'validate the settings and exit' }
}

type OptionValue = string | boolean | ReadonlyArray<string | boolean> | undefined

/** Parsed command line. Callers may only ask for options that the `CommandSpec` declares; the getters do not check this. */
export class CommandLine {
  readonly #values: Readonly<Record<string, OptionValue>>

  constructor (values: Readonly<Record<string, OptionValue>>, readonly positionals: readonly string[]) {
    this.#values = values
  }

  getString (name: string): string | undefined {
    const value = this.#values[name]
    return typeof value === 'string' ? value : undefined
  }

  getStrings (name: string): readonly string[] {
    const value = this.#values[name]
    return Array.isArray(value) ? value.filter((item) => typeof item === 'string') : []
  }

  getFlag (name: string): boolean {
    return this.#values[name] === true
  }

  getRequired (name: string): string {
    const value = this.getString(name)
    if (value === undefined) throw new UsageError(`--${name} is required`)
    return value
  }

  getInteger (name: string, min: number, max: number): number | undefined {
    const text = this.getString(name)
    return text === undefined ? undefined : parseInteger(text, `--${name}`, min, max)
  }

  getNumber (name: string, min: number, max: number): number | undefined {
    const text = this.getString(name)
    return text === undefined ? undefined : parseNumber(text, `--${name}`, min, max)
  }

  getChoice<T extends string>(name: string, choices: readonly T[], fallback: T): T {
    const value = this.getString(name)
    return value === undefined ? fallback : parseChoice(value, `--${name}`, choices)
  }

  /** Names of the options present on the command line. */
  get optionNames (): readonly string[] {
    return Object.keys(this.#values)
  }

  /** Path of the settings file of a daemon. */
  get settingsFile (): string {
    return this.getRequired('settings')
  }

  /** Whether a daemon only validates its settings. */
  get isCheck (): boolean {
    return this.getFlag('check')
  }
}

/** Parses a whole number from `min` to `max`, both included. Throws `UsageError` otherwise; `label` names the value in the message. */
export const parseInteger = (text: string, label: string, min: number, max: number): number => {
  const value = /^-?\d{1,15}$/.test(text) ? Number(text) : NaN
  if (value >= min && value <= max) return value
  throw new UsageError(`${label}: got ${text}, accepted is a whole number from ${min} to ${max}`)
}

/** Parses a decimal number from `min` to `max`, both included. Throws `UsageError` otherwise; `label` names the value in the message. */
export const parseNumber = (text: string, label: string, min: number, max: number): number => {
  const value = /^-?\d{1,15}(\.\d{1,15})?$/.test(text) ? Number(text) : NaN
  if (value >= min && value <= max) return value
  throw new UsageError(`${label}: got ${text}, accepted is a number from ${min} to ${max}`)
}

/** Returns the choice that equals `text`. Throws `UsageError` when there is none. */
export const parseChoice = <T extends string>(text: string, label: string, choices: readonly T[]): T => {
  const choice = choices.find((item) => item === text)
  if (choice !== undefined) return choice
  throw new UsageError(`${label}: got ${text}, accepted is ${choices.join(', ')}`)
}

const collectOptions = ({ options, daemon }: CommandSpec): Record<string, OptionSpec> =>
  ({ ...options, ...(daemon && DAEMON_OPTIONS), ...COMMON_OPTIONS })

const formatOptions = (options: Readonly<Record<string, OptionSpec>>): string[] => {
  const rows = Object.entries(options).map(([name, { value, help }]) => [value ? `--${name} ${value}` : `--${name}`, help] as const)
  const width = Math.max(...rows.map(([usageColumn]) => usageColumn.length))
  return rows.map(([usageColumn, help]) => `  ${usageColumn.padEnd(width)}  ${help}`)
}

export const formatHelp = (spec: CommandSpec): string => {
  const usage = spec.usage ?? [spec.daemon ? '--settings FILE [options]' : '[options]']
  return [
    spec.summary,
    '',
    'Usage:',
    ...usage.map((line) => `  ${spec.name} ${line}`),
    '',
    'Options:',
    ...formatOptions(collectOptions(spec)),
    ...(spec.notes ? ['', ...spec.notes] : []),
    ''
  ].join('\n')
}

export type ParsedCommandLine =
  | { readonly action: 'print', readonly text: string }
  | { readonly action: 'run', readonly command: CommandLine }

const getErrorMessage = (err: unknown): string => (err instanceof Error ? err.message : String(err))

const parseTokens = (argv: readonly string[], options: Readonly<Record<string, OptionSpec>>) => {
  const config = Object.fromEntries(Object.entries(options).map(([name, { type, multiple }]) => [name, { type, multiple: multiple ?? false }]))
  try {
    return parseArgs({ args: [...argv], options: config, allowPositionals: true, strict: true, tokens: true })
  } catch (err) {
    throw new UsageError(getErrorMessage(err))
  }
}

const rejectRepeatedOptions = (tokens: ReadonlyArray<{ readonly kind: string, readonly name?: string }>, options: Readonly<Record<string, OptionSpec>>): void => {
  const seen = new Set<string>()
  for (const { kind, name } of tokens) {
    if (kind !== 'option' || name === undefined || options[name]?.multiple) continue
    // parseArgs silently keeps only the last value.
    if (seen.has(name)) throw new UsageError(`--${name} is given more than once`)
    seen.add(name)
  }
}

const checkPositionals = ({ minPositionals = 0, maxPositionals = 0 }: CommandSpec, positionals: readonly string[]): void => {
  if (positionals.length < minPositionals) throw new UsageError(`got ${positionals.length} arguments, accepted are at least ${minPositionals}`)
  if (positionals.length > maxPositionals) throw new UsageError(`unexpected argument ${positionals[maxPositionals]}`)
}

/**
 * Parses the command line of a binary. Throws `UsageError` when it is invalid. `--help` and `--version`
 * take precedence over repeated options, wrong arguments and a missing `--settings`.
 */
export const parseCommandLine = (spec: CommandSpec, argv: readonly string[] = process.argv.slice(2)): ParsedCommandLine => {
  const options = collectOptions(spec)
  const { values, positionals, tokens } = parseTokens(argv, options)
  const command = new CommandLine(values, positionals)
  if (command.getFlag('help')) return { action: 'print', text: formatHelp(spec) }
  if (command.getFlag('version')) return { action: 'print', text: `${spec.name} ${VERSION}\n` }
  rejectRepeatedOptions(tokens, options)
  checkPositionals(spec, positionals)
  if (spec.daemon) command.getRequired('settings')
  return { action: 'run', command }
}
