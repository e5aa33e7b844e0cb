// Runs the randomised soak tests one after the other, each for an equal share of the time.
//   npm run soak -- --minutes 3 --seed 7
import { spawnSync } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { parseArgs } from 'node:util'

const { values } = parseArgs({ options: { minutes: { type: 'string', default: '2' }, seed: { type: 'string' } } })
const scripts = ['soak-gang.ts', 'soak-consensus.ts'].map((name) => fileURLToPath(new URL(name, import.meta.url)))
const seed = values.seed === undefined ? [] : ['--seed', values.seed]

let failed = 0
for (const script of scripts) {
  const minutes = String(Number(values.minutes) / scripts.length)
  const { status } = spawnSync(process.execPath, ['--import=tsx', script, '--minutes', minutes, ...seed], { stdio: 'inherit' })
  if (status !== 0) failed += 1
}
process.exit(failed > 0 ? 1 : 0)
