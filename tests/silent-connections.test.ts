import t from 'tap'
import type { Settings } from '../scripts/deployment.ts'
import { waitUntil } from './support/http.ts'
import { startProcesses } from './support/processes.ts'
import { TcpProxy } from './support/tcp-proxy.ts'

const DOMAIN = 'cr-sj'
/** Time for the long poll of an accepted request, its grace period and a few calls that hit other silent connections. */
const ANSWER_LIMIT_MS = 14_000

// Guards against calls that wait without end on an open connection that passes no more bytes.
t.test('requests are answered and run once when open connections between entry and control go silent and new ones work', async (t) => {
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
  const tookMs = performance.now() - began
  t.comment(`the requests on silent connections were answered after ${Math.round(tookMs)} ms`)
  t.ok(tookMs < ANSWER_LIMIT_MS)
  // Only non-idempotent work is checked: idempotent work may start again in another domain when a submission gets no answer.
  for (const key of ['waiting-once', 'waiting-once-more', 'fresh']) t.equal(processes.records.filter((record) => record.key === key).length, 1, `${key} ran once`)

  const later = performance.now()
  const after = await Promise.all(Array.from({ length: 20 }, (_, i) => processes.submit(entry, `after-${i}`, 20)))
  for (const { status } of after) t.equal(status, 200)
  t.ok(performance.now() - later < 5_000, 'no silent connection remains in the pool')
})
