import { assertNever, checkValue, IbisError, type ChangeId } from '@ibisstair/common'
import { ChangeIdSchema, type ConfigChange } from '@ibisstair/model'
import { type ConfigEdit, DomainClient, generateChangeId, type EntryTarget, OperatorClient, parseEntryTarget, submitChange } from '@ibisstair/operator-client'
import { EXIT_FAILURE, EXIT_OK, loadSecret, UsageError, type CommandLine } from '@ibisstair/settings'
import type { RandomSource, TimerService } from '@ibisstair/timers'
import { SUBCOMMANDS, type CommandOutput, type Subcommand } from './commands.ts'
import { CHANGE_OPTIONS, COMMON_OPTIONS, CONTROL_OPTIONS, ENTRY_OPTIONS } from './spec.ts'

export interface CtlEnvironment {
  readonly timers: TimerService
  readonly random: RandomSource
  /** Writes to standard output: the result. */
  readonly write: (text: string) => void
  /** Writes to standard error: failures, and the change id that is needed to retry a change whose result is lost. */
  readonly writeErr: (text: string) => void
}

interface Invocation {
  readonly subcommand: Subcommand
  readonly args: readonly string[]
}

/** Name of the deployment that runs the platform's control processes. */
const DEFAULT_DEPLOYMENT = 'platform'

const rethrowAsUsageError = <T>(run: () => T): T => {
  try {
    return run()
  } catch (err) {
    throw err instanceof IbisError ? new UsageError(err.message) : err
  }
}

const parseInvocation = ({ positionals }: CommandLine): Invocation => {
  const subcommand = SUBCOMMANDS.find(({ words }) => words.every((word, i) => positionals[i] === word))
  if (!subcommand) throw new UsageError(positionals.length === 0 ? 'a command is required' : `unknown command ${positionals.slice(0, 2).join(' ')}`)
  const args = positionals.slice(subcommand.words.length)
  if (args.length === subcommand.args.length) return { subcommand, args }
  const accepted = subcommand.args.join(' ') || 'no arguments'
  throw new UsageError(`${subcommand.words.join(' ')}: got ${args.length} arguments, accepted is ${accepted}`)
}

const listTypeOptions = (type: Subcommand['type']): string[] => {
  switch (type) {
    case 'change': return Object.keys({ ...ENTRY_OPTIONS, ...CHANGE_OPTIONS })
    case 'call': return Object.keys(ENTRY_OPTIONS)
    case 'control-call': return Object.keys(CONTROL_OPTIONS)
    default: return assertNever(type)
  }
}

const checkOptions = ({ optionNames }: CommandLine, { words, options = [], type }: Subcommand): void => {
  const accepted = new Set<string>([...Object.keys(COMMON_OPTIONS), ...options, ...listTypeOptions(type)])
  const unknown = optionNames.find((name) => !accepted.has(name))
  if (unknown !== undefined) throw new UsageError(`${words.join(' ')} does not take --${unknown}`)
}

const readTargets = (command: CommandLine, option: 'entry' | 'control'): EntryTarget[] => {
  const targets = rethrowAsUsageError(() => command.getStrings(option).map(parseEntryTarget))
  if (targets.length === 0) throw new UsageError(`--${option} is required`)
  return targets
}

const readChangeId = (command: CommandLine, { timers, random }: CtlEnvironment): ChangeId => {
  const given = command.getString('change-id')
  return given === undefined ? generateChangeId(timers, random) : rethrowAsUsageError(() => checkValue(ChangeIdSchema, given, '--change-id'))
}

const formatSendNotice = ({ changeId, expectedVersion }: ConfigChange): string =>
  `sending change: --change-id ${changeId} --expect-version ${expectedVersion}\n`

const runChange = async (client: OperatorClient, edit: ConfigEdit, command: CommandLine, env: CtlEnvironment): Promise<CommandOutput> => {
  const result = await submitChange(client, edit, {
    changeId: readChangeId(command, env),
    expectedVersion: command.getInteger('expect-version', 0, Number.MAX_SAFE_INTEGER),
    onSend: (change) => env.writeErr(formatSendNotice(change))
  })
  if (!result) return { text: 'no change: the configuration in force already has this content\n', value: { changed: false } }
  return { text: `accepted: version ${result.version}, change id ${result.changeId}\n`, value: { changed: true, ...result } }
}

const createOperatorClient = (command: CommandLine, { timers }: CtlEnvironment): OperatorClient =>
  new OperatorClient({ entries: readTargets(command, 'entry'), secret: readSecret(command), timers })

const createDomainClient = (command: CommandLine, { timers }: CtlEnvironment): DomainClient => new DomainClient({
  controls: readTargets(command, 'control'),
  deployment: command.getString('deployment') ?? DEFAULT_DEPLOYMENT,
  secret: readSecret(command),
  timers
})

const readSecret = (command: CommandLine): string => loadSecret(command.getRequired('secret-file'))

/** Reads the options of the connection at once, so that wrong ones are reported before a call is made. */
const prepareSubcommand = ({ subcommand, args }: Invocation, command: CommandLine, env: CtlEnvironment): () => Promise<CommandOutput> => {
  switch (subcommand.type) {
    case 'change': {
      const client = createOperatorClient(command, env)
      return () => runChange(client, subcommand.edit(args, command), command, env)
    }
    case 'call': {
      const client = createOperatorClient(command, env)
      return () => subcommand.run(client, args)
    }
    case 'control-call': {
      const client = createDomainClient(command, env)
      return () => subcommand.run(client, args).finally(() => client.close())
    }
    default: return assertNever(subcommand)
  }
}

const describeFailure = (err: IbisError, { subcommand }: Invocation): string => {
  const { execution, advice, kind, detail } = err.toBody()
  const outcome = subcommand.type === 'change' ? `outcome of the change: ${execution}\n` : ''
  return `${kind}: ${detail}\n${outcome}${advice}\n`
}

/** Runs one subcommand. Prints a rejected or failed call in the chosen format. Returns the exit code. */
export const runCtl = async (command: CommandLine, env: CtlEnvironment): Promise<number> => {
  const invocation = parseInvocation(command)
  checkOptions(command, invocation.subcommand)
  const format = command.getChoice('format', ['text', 'json'], 'text')
  const run = prepareSubcommand(invocation, command, env)
  try {
    const { text, value } = await run()
    env.write(format === 'json' ? `${JSON.stringify(value, null, 2)}\n` : text)
    return EXIT_OK
  } catch (err) {
    if (!(err instanceof IbisError)) throw err
    if (format === 'json') env.write(`${JSON.stringify({ error: err.toBody() }, null, 2)}\n`)
    else env.writeErr(describeFailure(err, invocation))
    return EXIT_FAILURE
  }
}
