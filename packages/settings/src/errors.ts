import { IbisError } from '@ibisstair/common'
import VError from 'verror'
import { EXIT_DATA_DAMAGED, EXIT_FAILURE, EXIT_SETTINGS, EXIT_USAGE } from './constants.ts'

/** Invalid command line; exit code 2. */
export class UsageError extends VError {
  constructor (message: string) {
    super({ name: 'UsageError' }, '%s', message)
  }
}

/** Invalid settings file, or invalid file that the settings refer to; exit code 3. */
export class SettingsError extends VError {
  constructor (message: string) {
    super({ name: 'SettingsError' }, '%s', message)
  }
}

/** Returns the exit code of a process that ends with this error. */
export const exitCodeOf = (err: unknown): number => {
  if (err instanceof UsageError) return EXIT_USAGE
  if (err instanceof SettingsError) return EXIT_SETTINGS
  if (err instanceof IbisError && err.kind === 'data-damaged') return EXIT_DATA_DAMAGED
  return EXIT_FAILURE
}
