import { runMain } from '@ibisstair/settings'
import { SystemTimerService } from '@ibisstair/timers'
import { runBurn } from './run.ts'
import { BURN_SPEC } from './spec.ts'

await runMain(BURN_SPEC, (command) => runBurn(command, {
  timers: new SystemTimerService(),
  write: (text) => { process.stdout.write(text) }
}))
