import { chmodSync, writeFileSync } from 'node:fs'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { join } from 'node:path'
import t, { type Test } from 'tap'
import { runMain, type MainProcess } from '@ibisstair/settings'
import { SystemTimerService } from '@ibisstair/timers'
import { runBurn } from '../src/run.ts'
import { BURN_SPEC } from '../src/spec.ts'

const SECRET = '0123456789abcdef'
const T0 = 1_800_000_000_000
const MINUTE_MS = 60_000

type Bucket = readonly [number, number, number]

const createBody = (node: string, buckets: readonly Bucket[], atMs = T0) => ({
  node,
  atMs,
  objectives: [{ kind: 'splash-check', startWithinMs: 100, target: 0.9, buckets }],
  counters: { 'requests.accepted': 5 }
})

const openEntry = async (t: Test, status: number, body: unknown): Promise<string> => {
  const server = createServer((req, res) => {
    const isExpected = req.url === '/v1/metrics' && req.headers.authorization === `Bearer ${SECRET}`
    res.writeHead(isExpected ? status : 401).end(JSON.stringify(body))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
}

const writeFiles = (t: Test, ...bodies: unknown[]): string[] => {
  const folder = t.testdir()
  return bodies.map((body, i) => {
    const file = join(folder, `body-${i}.json`)
    writeFileSync(file, typeof body === 'string' ? body : JSON.stringify(body))
    return file
  })
}

const writeSecret = (t: Test): string => {
  // The test has called testdir() before; a second call would remove its files.
  const file = join(t.testdirName, 'secret')
  writeFileSync(file, SECRET)
  chmodSync(file, 0o600)
  return file
}

const run = async (...argv: string[]) => {
  const result = { out: '', err: '', code: -1 }
  const io: MainProcess = {
    argv,
    stdout: { write: (text) => { result.out += text } },
    stderr: { write: (text) => { result.err += text } },
    finish: (code) => { result.code = code }
  }
  const write = (text: string): void => { result.out += text }
  await runMain(BURN_SPEC, (command) => runBurn(command, { timers: new SystemTimerService(), write }), io)
  return result
}

const BURNING: readonly Bucket[] = [[T0 - 30 * MINUTE_MS, 10, 20], [T0 - MINUTE_MS, 10, 20]]

t.test('the counts of several files are merged into one report', async (t) => {
  const files = writeFiles(t, createBody('entry-1', [[T0 - MINUTE_MS, 90, 100]]), createBody('entry-2', [[T0 - MINUTE_MS, 95, 100], [T0 - 30 * MINUTE_MS, 100, 100]]))
  const { out, code } = await run('--format', 'json', ...files)
  const report = JSON.parse(out)
  t.equal(code, 0)
  t.same(report.nodes, ['entry-1', 'entry-2'])
  t.same(report.counters, { 'requests.accepted': 10 })
  t.match(report.kinds, [{ kind: 'splash-check', short: { good: 185, total: 200 }, long: { good: 285, total: 300 }, verdict: 'ok' }])
  t.ok(Math.abs(report.kinds[0].short.burnRate - 0.75) < 1e-9)
  t.ok(Math.abs(report.kinds[0].budgetRemaining - 0.5) < 1e-9)
})

t.test('a burning kind of work gives exit code 0, or 1 with --fail-on-burn', async (t) => {
  const [file] = writeFiles(t, createBody('entry-1', BURNING))
  const plain = await run(file!)
  t.equal(plain.code, 0)
  t.match(plain.out, /splash-check +90 % within 100 ms +5\.00 \(10 of 20 late\) +5\.00 \(20 of 40 late\) +-400 % +burning/)
  t.equal((await run('--fail-on-burn', file!)).code, 1)
  t.equal((await run('--fail-on-burn', '--threshold', '6', file!)).code, 0)
})

t.test('entries are read with the secret, and one that fails is listed as missing', async (t) => {
  const good = await openEntry(t, 200, createBody('entry-1', BURNING))
  const malformed = await openEntry(t, 200, { node: 'entry-2' })
  const failing = await openEntry(t, 503, { error: { kind: 'shutting-down', detail: 'leaving', execution: 'not-run', resendSafe: true, advice: 'x' } })
  t.testdir()
  const secret = writeSecret(t)
  const { out, code } = await run('--entry', good, '--entry', malformed, '--entry', failing, '--secret-file', secret, '--format', 'json')
  const report = JSON.parse(out)
  t.equal(code, 0)
  t.same(report.nodes, ['entry-1'])
  t.match(report.missing, [{ source: malformed, detail: /atMs/ }, { source: failing, detail: /leaving/ }])
  t.match((await run('--entry', good, '--entry', failing, '--secret-file', secret)).out, `missing: ${failing}`)
})

t.test('the command fails and names each source when none can be read', async (t) => {
  const [broken] = writeFiles(t, '{"node":')
  const failing = await openEntry(t, 500, 'failed')
  const { err, code, out } = await run('--entry', failing, '--secret-file', writeSecret(t), broken!)
  t.equal(code, 1)
  t.equal(out, '')
  t.match(err, `${broken}: `)
  t.match(err, /JSON/)
  t.match(err, failing)
})

t.test('a warning is printed when the reports are from different times', async (t) => {
  const files = writeFiles(t, createBody('entry-1', [], T0), createBody('entry-2', [], T0 - 10 * MINUTE_MS))
  t.match((await run(...files)).out, 'the reports are up to 600 s apart')
})

t.test('a wrong command line gives exit code 2', async (t) => {
  for (const argv of [[], ['--entry', 'http://127.0.0.1:1'], ['--entry', 'entry.example', '--secret-file', 'x'], ['--format', 'xml', 'f'], ['--threshold', '-1', 'f']]) {
    t.equal((await run(...argv)).code, 2, argv.join(' '))
  }
})
