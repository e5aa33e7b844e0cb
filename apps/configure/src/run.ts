import { IbisError } from '@ibisstair/common'
import { type Config, EMPTY_CONFIG, parseConfig } from '@ibisstair/model'
import { buildChange, buildConfig, findNotes, formatYaml, parseQuestionnaire } from '@ibisstair/questionnaire'
import { type CommandLine, loadSettings, SettingsError, UsageError } from '@ibisstair/settings'
import * as v from 'valibot'

const OUTPUTS = ['config', 'changes'] as const

export interface ConfigureOutput {
  readonly write: (text: string) => void
  /** Remarks that are no part of the result. */
  readonly note: (text: string) => void
  readonly writeFile: (file: string, text: string) => void
}

/** A refused answer is an invalid settings file to this program, with its exit code. */
const asSettings = <T>(fn: () => T): T => {
  try {
    return fn()
  } catch (err) {
    if (err instanceof IbisError) throw new SettingsError(err.message)
    throw err
  }
}

const readExisting = (file: string | undefined): Config => {
  if (file === undefined) return EMPTY_CONFIG
  const input = loadSettings(file, v.unknown())
  return asSettings(() => parseConfig(input, file))
}

const countItems = ({ customers, kinds, fleet }: Config): string =>
  `${customers.length} customers, ${kinds.length} kinds of work, ${fleet.domains.length} failure domains`

const formatResult = (existing: Config, wanted: Config, print: typeof OUTPUTS[number]): string | undefined => {
  if (print === 'config') return formatYaml(wanted)
  const change = asSettings(() => buildChange(existing, wanted))
  return change && formatYaml(change)
}

export const runConfigure = (command: CommandLine, output: ConfigureOutput): void => {
  const file = command.positionals[0]!
  const against = command.getString('against')
  const print = command.getChoice('print', OUTPUTS, against === undefined ? 'config' : 'changes')
  if (print === 'changes' && against === undefined) throw new UsageError('--print changes needs --against')
  const input = loadSettings(file, v.unknown())
  const questionnaire = asSettings(() => parseQuestionnaire(input, file))
  const existing = readExisting(against)
  const wanted = asSettings(() => buildConfig(questionnaire, existing, { replace: command.getFlag('replace') }, file))
  for (const note of findNotes(questionnaire)) output.note(`${file}: note: ${note}\n`)
  if (command.getFlag('check')) {
    output.write(`${file}: valid; the configuration has ${countItems(wanted)}, and all guaranteed shapes fit at once\n`)
    return
  }
  const text = formatResult(existing, wanted, print)
  if (text === undefined) {
    output.note(`${file}: note: the configuration has all answers already; there is nothing to change\n`)
    return
  }
  const out = command.getString('out')
  if (out === undefined) output.write(text)
  else output.writeFile(out, text)
}
