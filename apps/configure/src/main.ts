import { IbisError } from '@ibisstair/common'
import { runMain } from '@ibisstair/settings'
import { writeFileSync } from 'node:fs'
import { runConfigure } from './run.ts'
import { CONFIGURE_SPEC } from './spec.ts'

const writeFile = (file: string, text: string): void => {
  try {
    writeFileSync(file, text)
  } catch (err) {
    throw new IbisError('internal', `cannot write ${file}`, { cause: err as Error })
  }
}

await runMain(CONFIGURE_SPEC, (command) => runConfigure(command, {
  write: (text) => { process.stdout.write(text) },
  writeErr: (text) => { process.stderr.write(text) },
  writeFile
}))
