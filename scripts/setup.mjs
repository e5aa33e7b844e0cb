// Installs the dependencies when they are missing or older than the lock file.
import { spawnSync } from 'node:child_process'
import { existsSync, statSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('..', import.meta.url))
const marker = `${root}node_modules/.package-lock.json`
const lock = `${root}package-lock.json`

const isCurrent = existsSync(marker) && statSync(marker).mtimeMs >= statSync(lock).mtimeMs
if (!isCurrent) {
  const { status } = spawnSync('npm', ['ci', '--prefer-offline'], { cwd: root, stdio: 'inherit' })
  process.exit(status ?? 1)
}
