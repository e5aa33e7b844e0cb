import { runMain } from '@ibisstair/settings'
import { RandomSource, SystemTimerService } from '@ibisstair/timers'
import { SUBCOMMAND_USAGE } from './commands.ts'
import { runCtl } from './run.ts'
import { createCtlSpec } from './spec.ts'

await runMain(createCtlSpec(SUBCOMMAND_USAGE), (command) => runCtl(command, {
  timers: new SystemTimerService(),
  random: RandomSource.fromEntropy(),
  write: (text) => { process.stdout.write(text) },
  writeErr: (text) => { process.stderr.write(text) }
}))
