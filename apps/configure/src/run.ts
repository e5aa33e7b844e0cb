import { IbisError } from '@ibisstair/common'
import { type Config, EMPTY_CONFIG, parseConfig } from '@ibisstair/model'
import { buildChange, buildConfig, findNotes, formatYaml, parseQuestionnaire } from '@ibisstair/questionnaire'
import { type CommandLine, loadSettings, SettingsError, UsageError } from '@ibisstair/settings'
import * as v from 'valibot'

const OUTPUTS = ['config', 'changes'] as const

export interface ConfigureOutput {
  readonly write: (text: string) => void
  /** Writes to standard error: notes that are not part of the result. */
  readonly writeErr: (text: string) => void
  readonly writeFile: (file: string, text: string) => void
}

/** Rethrows an invalid questionnaire or configuration as a `SettingsError`, which has the exit code of an invalid settings file. */
const rethrowAsSettingsError = <T>(parse: () => T): T => {
  try {
    return parse()
  } catch (err) {
    if (err instanceof IbisError) throw new SettingsError(err.message)
    throw err
  }
}

const readExisting = (file: string | undefined): Config => {
  if (file === undefined) return EMPTY_CONFIG
  const input = loadSettings(file, v.unknown())
  return rethrowAsSettingsError(() => parseConfig(input, file))
}

const countItems = ({ customers, kinds, fleet }: Config): string =>
  `${customers.length} customers, ${kinds.length} kinds of work, ${fleet.domains.length} failure domains`

const formatResult = (existing: Config, desired: Config, print: typeof OUTPUTS[number]): string | undefined => {
  if (print === 'config') return formatYaml(desired)
  const change = rethrowAsSettingsError(() => buildChange(existing, desired))
  return change && formatYaml(change)
}

/** Converts a questionnaire to a configuration or to a change of an existing one. */
export const runConfigure = (command: CommandLine, output: ConfigureOutput): void => {
  const file = command.positionals[0]!
  const against = command.getString('against')
  const print = command.getChoice('print', OUTPUTS, against === undefined ? 'config' : 'changes')
  if (print === 'changes' && against === undefined) throw new UsageError('--print changes needs --against')
  const input = loadSettings(file, v.unknown())
  const questionnaire = rethrowAsSettingsError(() => parseQuestionnaire(input, file))
  const existing = readExisting(against)
  const desired = rethrowAsSettingsError(() => buildConfig(questionnaire, existing, { replace: command.getFlag('replace') }, file))
  for (const note of findNotes(questionnaire)) output.writeErr(`${file}: note: ${note}\n`)
  if (command.getFlag('check')) {
    output.write(`${file}: valid; the configuration has ${countItems(desired)}, and all guaranteed shapes fit at once\n`)
    return
  }
  const text = formatResult(existing, desired, print)
  if (text === undefined) {
    output.writeErr(`${file}: note: the configuration already contains all answers; nothing to change\n`)
    return
  }
  const out = command.getString('out')
  if (out === undefined) output.write(text)
  else output.writeFile(out, text)
}
