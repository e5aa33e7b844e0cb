import { resolve } from 'node:path'
import { Deployment } from './deployment.ts'
import { Record } from './record.ts'

export interface CaseContext {
  readonly record: Record
  readonly deployment: Deployment
  /** False in the run without the disruption. */
  readonly hasTrouble: boolean
}

const EXIT_HELD = 0
const EXIT_BROKEN = 1
const EXIT_NOT_RUN = 2
/** A script runs for 120 seconds at most. */
const TIME_LIMIT_MS = 110_000

/** Runs a case and exits: 1 if it returns how the rule was broken, 0 if it returns null, 2 if it throws. */
export const runCase = async (number: number, play: (context: CaseContext) => Promise<string | null>): Promise<void> => {
  const record = new Record(resolve(process.cwd(), `review/${number}/record.txt`))
  const deployment = new Deployment(record)
  const hasTrouble = process.env.TROUBLE !== '0'
  let exitCode = EXIT_NOT_RUN
  const finish = (verdict: string, code: number): void => {
    exitCode = code
    record.add('script', 'verdict', { verdict, exitCode })
    console.log(verdict)
  }
  const timer = setTimeout(() => {
    finish('could not run: out of time', EXIT_NOT_RUN)
    deployment.stop()
    process.exit(EXIT_NOT_RUN)
  }, TIME_LIMIT_MS)
  try {
    record.add('script', 'begins', { hasTrouble })
    const breach = await play({ record, deployment, hasTrouble })
    if (breach === null) finish('the rule held', EXIT_HELD)
    else finish(`the rule was broken: ${breach}`, EXIT_BROKEN)
  } catch (err) {
    finish(`could not run: ${String(err)}`, EXIT_NOT_RUN)
  }
  clearTimeout(timer)
  deployment.stop()
  process.exit(exitCode)
}
