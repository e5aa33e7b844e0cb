import { ERROR_TABLE, IbisError } from '@ibisstair/common'
import { parseCommandLine, type CommandLine, type CommandSpec } from './command-line.ts'
import { EXIT_OK } from './constants.ts'
import { exitCodeOf, SettingsError, UsageError } from './errors.ts'

export interface MainProcess {
  readonly argv: readonly string[]
  readonly stdout: { write (text: string): unknown }
  readonly stderr: { write (text: string): unknown }
  /** Called once with the exit code. `immediately` requests the exit without waiting for open handles. */
  finish (code: number, immediately: boolean): void
}

const createMainProcess = (): MainProcess => ({
  argv: process.argv.slice(2),
  stdout: process.stdout,
  stderr: process.stderr,
  finish: (code, immediately) => {
    process.exitCode = code
    if (immediately) process.exit()
  }
})

const formatError = (err: unknown): string => {
  if (err instanceof UsageError || err instanceof SettingsError) return err.message
  if (err instanceof IbisError) return `${err.kind}: ${err.message}\n${ERROR_TABLE[err.kind].advice}`
  return err instanceof Error ? (err.stack ?? err.message) : String(err)
}

const ignoreClosedPipe = (): void => {
  // A reader such as `head` may close the pipe early, which is not a failure of this process.
  process.stdout.on('error', (err: NodeJS.ErrnoException) => { if (err.code !== 'EPIPE') throw err })
}

/**
 * Runs a binary: parses the command line, calls `main` and maps its result or error to the exit code.
 * Without an error, the process ends once no handle is open; after an error, it exits immediately.
 */
export const runMain = async (
  spec: CommandSpec,
  main: (command: CommandLine) => Promise<number | void> | number | void,
  io: MainProcess = createMainProcess()
): Promise<void> => {
  if (io.stdout === process.stdout) ignoreClosedPipe()
  try {
    const parsed = parseCommandLine(spec, io.argv)
    if (parsed.action === 'print') {
      io.stdout.write(parsed.text)
      io.finish(EXIT_OK, false)
      return
    }
    io.finish((await main(parsed.command)) ?? EXIT_OK, false)
  } catch (err) {
    const hint = err instanceof UsageError ? `\nRun ${spec.name} --help for the accepted command lines.` : ''
    io.stderr.write(`${spec.name}: ${formatError(err)}${hint}\n`)
    io.finish(exitCodeOf(err), true)
  }
}
