import { assertNever, checkValue, IbisError, type ChangeId } from '@ibisstair/common'
import { ChangeIdSchema, type ConfigChange } from '@ibisstair/model'
import { type ConfigEdit, generateChangeId, type EntryTarget, OperatorClient, parseEntryTarget, submitChange } from '@ibisstair/operator-client'
import { EXIT_FAILURE, EXIT_OK, loadSecret, UsageError, type CommandLine } from '@ibisstair/settings'
import type { RandomSource, TimerService } from '@ibisstair/timers'
import { SUBCOMMANDS, type Printed, type Subcommand } from './commands.ts'
import { CHANGE_OPTIONS, CONNECTION_OPTIONS } from './spec.ts'

export interface CtlEnvironment {
  readonly timers: TimerService
  readonly random: RandomSource
  /** Standard output: the result. */
  readonly write: (text: string) => void
  /** Standard error output: what is of use when the result is lost. */
  readonly note: (text: string) => void
}

interface Invocation {
  readonly subcommand: Subcommand
  readonly args: readonly string[]
}

const asUsage = <T>(run: () => T): T => {
  try {
    return run()
  } catch (err) {
    throw err instanceof IbisError ? new UsageError(err.message) : err
  }
}

const findInvocation = ({ positionals }: CommandLine): Invocation => {
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
  const targets = asUsage(() => command.getStrings('entry').map(parseEntryTarget))
  if (targets.length === 0) throw new UsageError('--entry is required')
  return targets
}

const readChangeId = (command: CommandLine, { timers, random }: CtlEnvironment): ChangeId => {
  const given = command.getString('change-id')
  return given === undefined ? generateChangeId(timers, random) : asUsage(() => checkValue(ChangeIdSchema, given, '--change-id'))
}

const describeSend = ({ changeId, expectedVersion }: ConfigChange): string =>
  `sending change: --change-id ${changeId} --expect-version ${expectedVersion}\n`

const runChange = async (client: OperatorClient, edit: ConfigEdit, command: CommandLine, env: CtlEnvironment): Promise<Printed> => {
  const result = await submitChange(client, edit, {
    changeId: readChangeId(command, env),
    expectedVersion: command.getInteger('expect-version', 0, Number.MAX_SAFE_INTEGER),
    onSend: (change) => env.note(describeSend(change))
  })
  if (!result) return { text: 'no change: the configuration in force is as wanted\n', value: { changed: false } }
  return { text: `accepted: version ${result.version}, change id ${result.changeId}\n`, value: { changed: true, ...result } }
}

const runSubcommand = ({ subcommand, args }: Invocation, command: CommandLine, env: CtlEnvironment, client: OperatorClient): Promise<Printed> => {
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

/** Returns the exit code. A refused or failed call is printed in the chosen format. */
export const runCtl = async (command: CommandLine, env: CtlEnvironment): Promise<number> => {
  const invocation = findInvocation(command)
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
    else env.note(describeFailure(err, invocation))
    return EXIT_FAILURE
  }
}
