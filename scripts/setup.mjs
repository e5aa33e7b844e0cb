// Installs the dependencies when they are missing or older than the lock file.
import { spawnSync } from 'node:child_process'
import { existsSync, statSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('..', import.meta.url))
const marker = `${root}node_modules/.package-lock.json`
const lock = `${root}package-lock.json`

const isCurrent = existsSync(marker) && statSync(marker).mtimeMs >= statSync(lock).mtimeMs
const run = (command, ...args) => {
  const { status } = spawnSync(command, args, { cwd: root, stdio: 'inherit' })
  if (status !== 0) process.exit(status ?? 1)
}

if (!isCurrent) run('npm', 'ci', '--prefer-offline')

// Without this the first test run after an installation loads tap's own TypeScript plugin and
// fails with TS5011, because tap changes its set of plugins only for the following run.
const pluginMarker = `${root}node_modules/.tap-plugins-built`
if (!isCurrent || !existsSync(pluginMarker)) {
  run(`${root}node_modules/.bin/tap`, 'build', '--plugin=!@tapjs/typescript')
  writeFileSync(pluginMarker, '')
}
