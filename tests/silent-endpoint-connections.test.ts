import t from 'tap'
import { waitUntil } from './support/http.ts'
import { startProcesses } from './support/processes.ts'
import { TcpProxy } from './support/tcp-proxy.ts'

const DOMAIN = 'cr-sj'
/** Time for the failed calls until the endpoint counts as unreachable, a probe and a repeated start. */
const ANSWER_LIMIT_MS = 14_000

// Guards against calls that wait without end on an open connection that passes no more bytes.
t.test('tasks run once to their end when open connections between control and endpoint go silent and new ones work', async (t) => {
  const proxy = await TcpProxy.start()
  t.teardown(() => proxy.close())
  const processes = await startProcesses(t, { domains: [DOMAIN, 'cr-al'] })
  await processes.configure()
  const endpoint = await processes.addEndpoint(DOMAIN, { announcedPort: proxy.port })
  proxy.setTarget(endpoint.port)
  await processes.waitForEndpoints(DOMAIN, 1)
  const entry = processes.entry('cr-sj-entry-1')
  const submit = (key: string, runMs: number): ReturnType<typeof processes.submit> =>
    processes.submit(entry, key, runMs, { kind: 'pickup', homeDomain: DOMAIN, deadlineMs: 20_000 })
  t.equal((await submit('warm', 20)).status, 200)

  // The result is reported on a connection that is silent by then, and the leases must still be renewed.
  const running = submit('running', 2_000)
  await waitUntil('the request runs', () => endpoint.records.some(({ key }) => key === 'running'))
  t.ok(proxy.silenceOpen() > 0)
  const began = performance.now()
  const [reply, next] = await Promise.all([running, submit('next', 20)])
  t.comment(`both were answered after ${Math.round(performance.now() - began)} ms`)
  t.match(reply, { status: 200, body: { answer: [{ index: 0, body: { key: 'running' } }] } }, JSON.stringify(reply.body))
  t.match(next, { status: 200, body: { answer: [{ index: 0, body: { key: 'next' } }] } }, JSON.stringify(next.body))
  t.same(endpoint.records.map(({ key, end }) => `${key} ${end}`), ['warm done', 'running done', 'next done'], 'every task ran once, and none was stopped')
  t.ok(performance.now() - began < ANSWER_LIMIT_MS)
  t.equal((await submit('after', 20)).status, 200)
})
