import { Deployment, SetupError } from './deployment.ts'
import { Recorder } from './recorder.ts'

export interface CaseContext {
  readonly deployment: Deployment
  readonly record: Recorder
  /** Whether the disruption happens. */
  readonly isDisturbed: boolean
}

const TIME_LIMIT_MS = 115_000

/**
 * Runs a case, which writes its record to the folder named on the command line, and ends the process: with 1 if the case returns what broke the rule, with 0 if it returns null,
 * and with 2 if it could not run.
 */
export const runCase = async (play: (context: CaseContext) => Promise<string | null>): Promise<never> => {
  const folder = process.argv[2]!
  const isDisturbed = process.env.TROUBLE !== '0'
  const record = new Recorder(`${folder}/record.txt`)
  record.write(isDisturbed ? 'with the disruption' : 'without the disruption')
  const deployment = new Deployment(record)
  let exitCode = 2
  const finish = (code: number): never => {
    deployment.stop()
    process.exit(code)
  }
  for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => finish(2))
  process.once('uncaughtException', (err) => {
    record.write(`the case could not run: ${String(err.stack)}`)
    finish(2)
  })
  setTimeout(() => finish(2), TIME_LIMIT_MS)
  try {
    const violation = await play({ deployment, record, isDisturbed })
    record.write(violation === null ? 'the rule held' : `the rule was broken: ${violation}`)
    exitCode = violation === null ? 0 : 1
  } catch (err) {
    record.write(`the case could not run: ${err instanceof SetupError ? err.message : String((err as Error).stack)}`)
  }
  return finish(exitCode)
}
