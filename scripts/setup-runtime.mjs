// Installs the dependencies where the programs are only built. The setup of the test tools is not needed there.
import { spawnSync } from 'node:child_process'
import { existsSync, statSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('..', import.meta.url))
const marker = `${root}node_modules/.package-lock.json`
const isCurrent = existsSync(marker) && statSync(marker).mtimeMs >= statSync(`${root}package-lock.json`).mtimeMs
if (!isCurrent) process.exit(spawnSync('npm', ['ci', '--prefer-offline', '--silent'], { cwd: root, stdio: 'inherit' }).status ?? 1)
