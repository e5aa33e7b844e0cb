import { once } from 'node:events'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import t, { type Test } from 'tap'
import { asId, type ChangeId, type ErrorKind, IbisError, type NodeId } from '@ibisstair/common'
import { EMPTY_CONFIG, type ConfigChange } from '@ibisstair/model'
import { SystemTimerService } from '@ibisstair/timers'
import { asCustomerId, type EntryTarget, formatEntryTarget, OperatorClient, parseEntryTarget } from '../src/index.ts'

const SECRET = '0123456789abcdef'
const timers = new SystemTimerService()
const CHANGE: ConfigChange = {
  changeId: asId<ChangeId>('change-1'),
  expectedVersion: 4,
  delta: [{ op: 'remove-customer', id: asCustomerId('diver') }]
}

type Reply = (req: IncomingMessage, res: ServerResponse) => void

const json = (status: number, value: unknown): Reply => (_, res) => res.writeHead(status).end(JSON.stringify(value))
const reject = (kind: ErrorKind): Reply => json(new IbisError(kind, 'refused').status, { error: new IbisError(kind, 'refused').toBody() })
const dropConnection: Reply = (_, res) => res.destroy()
const neverRespond: Reply = () => {}

/** Starts a fake entry that sends the replies in order and repeats the last one. */
const openEntry = async (t: Test, ...replies: Reply[]) => {
  const calls: Array<{ path: string | undefined, method: string | undefined, secret: string | undefined, body: string }> = []
  const server = createServer((req, res) => {
    let body = ''
    req.on('data', (chunk: Buffer) => { body += chunk.toString() })
    req.on('end', () => {
      const reply = replies[Math.min(calls.length, replies.length - 1)]!
      calls.push({ path: req.url, method: req.method, secret: req.headers.authorization, body })
      reply(req, res)
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  const target: EntryTarget = { address: '127.0.0.1', port: (server.address() as AddressInfo).port }
  return { calls, target }
}

const openClosedPort = async (): Promise<EntryTarget> => {
  const server = createServer()
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return { address: '127.0.0.1', port }
}

const createClient = (entries: readonly EntryTarget[], options: { timeoutMs?: number, rounds?: number } = {}): OperatorClient =>
  new OperatorClient({ entries, secret: SECRET, timers, rounds: 1, ...options })

const captureError = async (promise: Promise<unknown>): Promise<IbisError> => {
  try {
    await promise
  } catch (err) {
    if (err instanceof IbisError) return err
    throw err
  }
  throw new Error('the call succeeded')
}

t.test('each call uses the documented method, path and secret', async (t) => {
  const { calls, target } = await openEntry(t,
    json(200, { version: 5, changeId: 'change-1' }), json(200, { version: 9 }), json(200, EMPTY_CONFIG), json(200, { a: 1 }), json(200, { b: 2 }),
    json(200, { node: 'entry-1', atMs: 1, objectives: [], counters: {} }))
  const client = createClient([target])
  t.same(await client.proposeChange(CHANGE), { version: 5, changeId: 'change-1' })
  t.equal(await client.importConfig({ ...EMPTY_CONFIG, version: 9 }), 9)
  t.same(await client.getConfig(), EMPTY_CONFIG)
  t.same(await client.getStatus(), { a: 1 })
  t.same(await client.explain('diver', 'a/b c'), { b: 2 })
  t.equal((await client.getMetrics()).node, asId<NodeId>('entry-1'))
  t.same(calls.map(({ method, path }) => `${method} ${path}`), [
    'POST /v1/config/changes', 'POST /v1/config/import', 'GET /v1/config', 'GET /v1/status',
    'GET /v1/requests/diver/a%2Fb%20c/explain', 'GET /v1/metrics'
  ])
  t.ok(calls.every(({ secret }) => secret === `Bearer ${SECRET}`))
  t.same(JSON.parse(calls[0]!.body), CHANGE)
  t.same(JSON.parse(calls[1]!.body), { config: { ...EMPTY_CONFIG, version: 9 } })
})

t.test('a retry at the next entry sends the same bytes, and the entry that responded is tried first afterwards', async (t) => {
  const first = await openEntry(t, dropConnection)
  const second = await openEntry(t, reject('no-leader'))
  const third = await openEntry(t, json(200, { version: 5 }))
  const client = createClient([first.target, await openClosedPort(), second.target, third.target])
  t.equal((await client.proposeChange(CHANGE)).version, 5)
  t.equal(first.calls[0]!.body, third.calls[0]!.body)
  await client.proposeChange(CHANGE)
  t.equal(first.calls.length, 1)
  t.equal(third.calls.length, 2)
})

t.test('the next entry is tried after the timeout when an entry accepts the connection but does not respond', async (t) => {
  const first = await openEntry(t, neverRespond)
  const second = await openEntry(t, json(200, { version: 5 }))
  t.equal((await createClient([first.target, second.target], { timeoutMs: 50 }).proposeChange(CHANGE)).version, 5)
})

t.test('a change whose response was lost is retried with the same change id', async (t) => {
  const { calls, target } = await openEntry(t, dropConnection, json(200, { version: 5 }))
  t.equal((await createClient([target], { rounds: 2 }).proposeChange(CHANGE)).version, 5)
  t.equal(calls[0]!.body, calls[1]!.body)
})

t.test('a rejection is not retried and keeps its kind and detail', async (t) => {
  const first = await openEntry(t, json(409, new IbisError('version-conflict', 'version 7 is in force', { info: { version: 7 } }).toBody()))
  const second = await openEntry(t, json(200, { version: 5 }))
  const err = await captureError(createClient([first.target, second.target]).proposeChange(CHANGE))
  t.match(err, { kind: 'version-conflict', message: 'version 7 is in force', execution: 'not-run', details: { version: 7 } })
  t.equal(second.calls.length, 0)
})

t.test('the outcome of a change is reported as unknown only when an attempt may have taken effect', async (t) => {
  const closed = await openClosedPort()
  const refused = await captureError(createClient([closed]).proposeChange(CHANGE))
  t.match(refused, { kind: 'unreachable', execution: 'not-run' })
  const { target: droppingEntry } = await openEntry(t, dropConnection)
  const lost = await captureError(createClient([droppingEntry, closed]).proposeChange(CHANGE))
  t.match(lost, { kind: 'unreachable', execution: 'unknown' })
  t.match(lost.message, formatEntryTarget(droppingEntry))
  const { target: unauthorized } = await openEntry(t, reject('unauthorized'))
  const unauthorizedError = await captureError(createClient([droppingEntry, unauthorized]).proposeChange(CHANGE))
  t.match(unauthorizedError, { kind: 'unauthorized', execution: 'unknown' })
  const { target: conflict } = await openEntry(t, reject('version-conflict'))
  t.match(await captureError(createClient([droppingEntry, conflict]).proposeChange(CHANGE)), { execution: 'not-run' }, 'the config register knows the change id')
  t.match(await captureError(createClient([droppingEntry, conflict]).importConfig(EMPTY_CONFIG)), { execution: 'unknown' }, 'an import has no change id')
})

t.test('a malformed response is reported as an internal error that quotes its beginning', async (t) => {
  const { target } = await openEntry(t, (_, res) => res.writeHead(502).end('<html>bad gateway</html>'), json(200, { version: 'five' }), json(500, { error: { kind: 'new-kind' } }))
  const client = createClient([target])
  t.match(await captureError(client.proposeChange(CHANGE)), { kind: 'internal', message: /HTTP status 502: <html>bad gateway/ })
  t.match(await captureError(client.proposeChange(CHANGE)), { kind: 'internal', message: /field version: got "five"/ })
  t.match(await captureError(client.proposeChange(CHANGE)), { kind: 'internal', message: /new-kind/ })
})

t.test('an entry URL consists of an IP address and a port', async (t) => {
  t.same(parseEntryTarget('http://127.0.0.1:7003'), { address: '127.0.0.1', port: 7003 })
  t.same(parseEntryTarget('http://[::1]:7003/'), { address: '::1', port: 7003 })
  t.equal(formatEntryTarget(parseEntryTarget('http://[::1]:7003')), 'http://[::1]:7003')
  for (const text of ['127.0.0.1:7003', 'https://127.0.0.1:7003', 'http://entry.example:7003', 'http://127.0.0.1', 'http://127.0.0.1:0', 'http://127.0.0.1:99999', 'http://[127.0.0.1]:1', 'http://1.2.3.4:5/path']) {
    t.throws(() => parseEntryTarget(text), { message: /accepted is http:\/\/IP:PORT/ }, text)
  }
})
