import { assertNever, checkValue, IbisError, type ChangeId } from '@ibisstair/common'
import { ChangeIdSchema, type ConfigChange } from '@ibisstair/model'
import { type ConfigEdit, generateChangeId, type EntryTarget, OperatorClient, parseEntryTarget, submitChange } from '@ibisstair/operator-client'
import { EXIT_FAILURE, EXIT_OK, loadSecret, UsageError, type CommandLine } from '@ibisstair/settings'
import type { RandomSource, TimerService } from '@ibisstair/timers'
import { SUBCOMMANDS, type CommandOutput, type Subcommand } from './commands.ts'
import { CHANGE_OPTIONS, CONNECTION_OPTIONS } from './spec.ts'

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

const checkOptions = ({ optionNames }: CommandLine, { words, options = [], type }: Subcommand): void => {
  const accepted = new Set<string>([...Object.keys(CONNECTION_OPTIONS), ...options, ...(type === 'change' ? Object.keys(CHANGE_OPTIONS) : [])])
  const unknown = optionNames.find((name) => !accepted.has(name))
  if (unknown !== undefined) throw new UsageError(`${words.join(' ')} does not take --${unknown}`)
}

const readTargets = (command: CommandLine): EntryTarget[] => {
  const targets = rethrowAsUsageError(() => command.getStrings('entry').map(parseEntryTarget))
  if (targets.length === 0) throw new UsageError('--entry is required')
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

const runSubcommand = ({ subcommand, args }: Invocation, command: CommandLine, env: CtlEnvironment, client: OperatorClient): Promise<CommandOutput> => {
  switch (subcommand.type) {
    case 'change': return runChange(client, subcommand.edit(args, command), command, env)
    case 'call': return subcommand.run(client, args)
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
  const entries = readTargets(command)
  const secret = loadSecret(command.getRequired('secret-file'))
  const client = new OperatorClient({ entries, secret, timers: env.timers })
  try {
    const { text, value } = await runSubcommand(invocation, command, env, client)
    env.write(format === 'json' ? `${JSON.stringify(value, null, 2)}\n` : text)
    return EXIT_OK
  } catch (err) {
    if (!(err instanceof IbisError)) throw err
    if (format === 'json') env.write(`${JSON.stringify({ error: err.toBody() }, null, 2)}\n`)
    else env.writeErr(describeFailure(err, invocation))
    return EXIT_FAILURE
  }
}
