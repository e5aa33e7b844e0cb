// Runs every test file with tap, or those named on the command line. A file listed in
// KNOWN-RED.txt runs too, and its failure is printed but does not change the exit code.
import { spawn } from 'node:child_process'
import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('..', import.meta.url))

const findTests = (dir) => {
  if (!existsSync(root + dir)) return []
  return readdirSync(root + dir, { recursive: true })
    .map((name) => `${dir}/${name}`)
    .filter((name) => name.endsWith('.test.ts') && !name.includes('node_modules'))
    .sort()
}

const readKnownRed = () => {
  const file = `${root}KNOWN-RED.txt`
  if (!existsSync(file)) return []
  return readFileSync(file, 'utf8').split('\n')
    .map((line) => /^test: (\S+)/.exec(line)?.[1])
    .filter(Boolean)
}

const requested = process.argv.slice(2)
const knownRed = readKnownRed()
// Each end-to-end test starts about ten processes and checks durations, so these run one at a time.
const isEndToEnd = (name) => name.startsWith('tests/') || name.includes('end-to-end')
const files = requested.length > 0 ? requested : [...findTests('packages'), ...findTests('apps'), ...findTests('platform'), ...findTests('tests')]

const passed = []
const failed = []

const run = async (names, jobs) => {
  if (names.length === 0) return
  const tap = spawn(`${root}node_modules/.bin/tap`, [
    '--plugin=!@tapjs/typescript', '--node-arg=--import=tsx', '--disable-coverage', '--allow-empty-coverage',
    '--reporter=tap', `--jobs=${jobs}`, '--timeout=150', ...names
  ], { cwd: root, stdio: ['ignore', 'pipe', 'inherit'] })
  const recent = []
  for await (const line of createInterface({ input: tap.stdout })) {
    const top = /^(not )?ok \d+ - (\S+\.test\.ts)/.exec(line)
    recent.push(line)
    if (!top) continue
    const ok = !top[1]
    const list = ok ? passed : failed
    list.push(top[2])
    console.log(`${ok ? 'pass' : 'FAIL'} ${top[2]}`)
    if (!ok) console.log(recent.filter((l) => !/^\s*(ok|#)/.test(l)).slice(-200).join('\n'))
    recent.length = 0
  }
}

await run(files.filter((name) => !isEndToEnd(name)), 4)
await run(files.filter(isEndToEnd), 1)

const isKnown = (name) => knownRed.some((known) => name.endsWith(known))
for (const name of failed.filter(isKnown)) console.log(`known red: ${name}`)
const unexpected = failed.filter((name) => !isKnown(name))
const unreported = files.length - passed.length - failed.length
console.log(`${passed.length} passed, ${unexpected.length + unreported} failed`)
process.exit(unexpected.length + unreported > 0 || passed.length === 0 ? 1 : 0)
