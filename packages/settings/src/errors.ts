import { IbisError } from '@ibisstair/common'
import VError from 'verror'
import { EXIT_DATA_DAMAGED, EXIT_FAILURE, EXIT_SETTINGS, EXIT_USAGE } from './constants.ts'

/** The command line is wrong; exit code 2. */
export class UsageError extends VError {
  constructor (message: string) {
    super({ name: 'UsageError' }, '%s', message)
  }
}

/** A settings file or a file that it names is wrong; exit code 3. */
export class SettingsError extends VError {
  constructor (message: string) {
    super({ name: 'SettingsError' }, '%s', message)
  }
}

export const exitCodeOf = (err: unknown): number => {
  if (err instanceof UsageError) return EXIT_USAGE
  if (err instanceof SettingsError) return EXIT_SETTINGS
  if (err instanceof IbisError && err.kind === 'data-damaged') return EXIT_DATA_DAMAGED
  return EXIT_FAILURE
}
