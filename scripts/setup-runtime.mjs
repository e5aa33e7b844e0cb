// Installs the dependencies where the programs are built; the tests' tools are not needed beyond that.
import { spawnSync } from 'node:child_process'
import { existsSync, statSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('..', import.meta.url))
const marker = `${root}node_modules/.package-lock.json`
const isCurrent = existsSync(marker) && statSync(marker).mtimeMs >= statSync(`${root}package-lock.json`).mtimeMs
if (!isCurrent) process.exit(spawnSync('npm', ['ci', '--prefer-offline', '--silent'], { cwd: root, stdio: 'inherit' }).status ?? 1)
