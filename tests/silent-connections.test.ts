import t from 'tap'
import type { Settings } from '../scripts/deployment.ts'
import { waitUntil } from './support/http.ts'
import { startProcesses } from './support/processes.ts'
import { TcpProxy } from './support/tcp-proxy.ts'

const DOMAIN = 'cr-sj'
/** A long poll of an accepted request, its grace, and a few calls that find other dead connections. */
const NOTICED_MS = 14_000

t.test('connections between entry and control that go silent for good while new ones work', async (t) => {
  const proxies = await Promise.all([1, 2, 3, 4].map(() => TcpProxy.start()))
  t.teardown(() => { for (const proxy of proxies) proxy.close() })
  const adjust = (node: string, settings: Settings): Settings => {
    if (node !== 'cr-sj-entry-1') return settings
    const controls = settings.controls.map((control: { port: number }, i: number) => {
      proxies[i]!.setTarget(control.port)
      return { ...control, port: proxies[i]!.port }
    })
    return { ...settings, controls }
  }
  const processes = await startProcesses(t, { domains: [DOMAIN, 'cr-al'], adjust })
  await processes.configure()
  for (const domain of processes.domains) {
    await processes.addEndpoint(domain)
    await processes.addEndpoint(domain)
    await processes.waitForEndpoints(domain, 2)
  }
  const entry = processes.entry('cr-sj-entry-1')
  const warm = await Promise.all(Array.from({ length: 8 }, (_, i) => processes.submit(entry, `warm-${i}`, 20)))
  for (const { status } of warm) t.equal(status, 200)

  const keys = ['waiting', 'waiting-once', 'waiting-once-more']
  const kinds = ['splash-check', 'pickup', 'pickup']
  const waiting = keys.map((key, i) => processes.submit(entry, key, 1_500, { kind: kinds[i], homeDomain: DOMAIN }))
  await waitUntil('the requests run', () => keys.every((key) => processes.records.some((record) => record.key === key)))
  const silenced = proxies.reduce((sum, proxy) => sum + proxy.silenceOpen(), 0)
  t.ok(silenced >= keys.length, `${silenced} open connections are silent`)

  const began = performance.now()
  const fresh = await processes.submit(entry, 'fresh', 20, { kind: 'pickup', homeDomain: DOMAIN, deadlineMs: 20_000 })
  t.match(fresh, { status: 200 }, JSON.stringify(fresh.body))
  t.comment(`a new request was answered after ${Math.round(performance.now() - began)} ms`)
  for (const [i, reply] of (await Promise.all(waiting)).entries()) {
    t.match(reply, { status: 200, body: { answer: [{ index: 0, body: { key: keys[i], index: 0 } }] } }, JSON.stringify(reply.body))
  }
  const took = performance.now() - began
  t.comment(`the requests on silent connections were answered after ${Math.round(took)} ms`)
  t.ok(took < NOTICED_MS)
  // Idempotent work may be started in another domain after a submission without an answer.
  for (const key of ['waiting-once', 'waiting-once-more', 'fresh']) t.equal(processes.records.filter((record) => record.key === key).length, 1, `${key} ran once`)

  const later = performance.now()
  const after = await Promise.all(Array.from({ length: 20 }, (_, i) => processes.submit(entry, `after-${i}`, 20)))
  for (const { status } of after) t.equal(status, 200)
  t.ok(performance.now() - later < 5_000, 'no silent connection is left in the pool')
})

t.test('connections between control and endpoint that go silent for good while new ones work', async (t) => {
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

  // The result is reported on a connection that is silent by then, and the leases have to go on.
  const running = submit('running', 2_000)
  await waitUntil('the request runs', () => endpoint.records.some(({ key }) => key === 'running'))
  t.ok(proxy.silenceOpen() > 0)
  const began = performance.now()
  const [reply, next] = await Promise.all([running, submit('next', 20)])
  t.comment(`both were answered after ${Math.round(performance.now() - began)} ms`)
  t.match(reply, { status: 200, body: { answer: [{ index: 0, body: { key: 'running' } }] } }, JSON.stringify(reply.body))
  t.match(next, { status: 200, body: { answer: [{ index: 0, body: { key: 'next' } }] } }, JSON.stringify(next.body))
  t.same(endpoint.records.map(({ key, end }) => `${key} ${end}`), ['warm done', 'running done', 'next done'], 'every task ran once, and none was cut')
  t.ok(performance.now() - began < NOTICED_MS)
  t.equal((await submit('after', 20)).status, 200)
})
