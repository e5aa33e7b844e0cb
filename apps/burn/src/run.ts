import { EXIT_FAILURE, EXIT_OK, type CommandLine } from '@ibisstair/settings'
import { BURN_THRESHOLD } from '@ibisstair/telemetry'
import type { TimerService } from '@ibisstair/timers'
import { createFleetBurn, formatFleetBurn, isBurning } from './report.ts'
import { readBodies } from './sources.ts'

const MIN_THRESHOLD = 0.001
const MAX_THRESHOLD = 1_000_000

export interface BurnEnvironment {
  readonly timers: TimerService
  readonly write: (text: string) => void
}

/** Writes the report. Returns the exit code. */
export const runBurn = async (command: CommandLine, { timers, write }: BurnEnvironment): Promise<number> => {
  const format = command.getChoice('format', ['text', 'json'], 'text')
  const threshold = command.getNumber('threshold', MIN_THRESHOLD, MAX_THRESHOLD) ?? BURN_THRESHOLD
  const burn = createFleetBurn(await readBodies(command, timers), threshold)
  write(format === 'json' ? `${JSON.stringify(burn, null, 2)}\n` : formatFleetBurn(burn))
  return command.getFlag('fail-on-burn') && isBurning(burn) ? EXIT_FAILURE : EXIT_OK
}
