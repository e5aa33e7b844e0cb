import { request as httpRequest, type IncomingMessage } from 'node:http'
import t, { type Test } from 'tap'
import type { EntryAddress } from '../scripts/deployment.ts'
import { waitUntil } from './support/http.ts'
import { single, startProcesses, type Processes, type Reply } from './support/processes.ts'

const RUN_MS = 2_500
const LARGE_ANSWER_BYTES = 60 * 1024

const waitUntilRunning = async (processes: Processes, keys: readonly string[]): Promise<void> =>
  await waitUntil('the requests run', () => {
    const running = new Set(processes.records.filter(({ end }) => end === undefined).map(({ key }) => key))
    return keys.every((key) => running.has(key))
  })

const isRefused = async (entry: EntryAddress): Promise<boolean> =>
  await fetch(`http://${entry.callers.address}:${entry.callers.port}/livez`, { headers: { connection: 'close' } }).then(() => false, () => true)

const checkAnswered = (t: Test, replies: readonly Reply[], keys: readonly string[]): void => {
  for (const [i, { status, body }] of replies.entries()) {
    t.match({ status, answer: body.answer }, { status: 200, answer: [{ index: 0, body: { key: keys[i], index: 0 } }] }, `${keys[i]}: ${JSON.stringify(body.error ?? body.state)}`)
  }
}

t.test('shutdown of an entry', async (t) => {
  const processes = await startProcesses(t, { domains: ['cr-sj', 'cr-al'], entriesPerDomain: 2 })
  const { deployment } = processes
  await processes.configure()
  for (const domain of processes.domains) {
    await processes.addEndpoint(domain)
    await processes.addEndpoint(domain)
    await processes.waitForEndpoints(domain, 2)
  }

  t.test('requests in progress are answered, including those forwarded to another domain', async (t) => {
    const leaving = processes.entry('cr-sj-entry-1')
    const other = processes.entry('cr-sj-entry-2')
    const keys = ['own', 'own-once', 'forwarded', 'forwarded-once', 'fetched']
    const more = [{}, { kind: 'pickup', homeDomain: 'cr-sj' }, { homeDomain: 'cr-al' }, { kind: 'pickup', homeDomain: 'cr-al' }, {}]
    const replies = Promise.all(keys.map((key, i) => processes.submit(leaving, key, RUN_MS, more[i], key === 'fetched' ? '?wait=0' : '').then(async (reply) => {
      if (key !== 'fetched') return reply
      const res = await fetch(`http://${leaving.callers.address}:${leaving.callers.port}/v1/requests/clinics/fetched?waitMs=10000`)
      return { status: res.status, body: await res.json() }
    })))
    await waitUntilRunning(processes, keys)
    const forwarded = processes.endpoints.slice(2).flatMap(({ records }) => records).map(({ key }) => key).sort()
    t.same(forwarded, ['forwarded', 'forwarded-once'], 'two of the requests run in the other domain')

    const ended = deployment.terminate(leaving.node)
    await waitUntil('the entry is no longer ready', async () => !(await processes.isReady(leaving)))
    t.notOk(await isRefused(leaving), 'the entry is not ready before its listener closes, so that the load balancer can react')
    const late = await processes.submit(leaving, 'late', 5)
    checkAnswered(t, [late], ['late'])
    await waitUntil('new connections are refused', () => isRefused(leaving))
    t.equal(processes.records.filter(({ key, end }) => keys.includes(key) && end === undefined).length, keys.length, 'all requests are still in progress when new ones are refused')
    checkAnswered(t, [await processes.submit(other, 'elsewhere', 5)], ['elsewhere'])
    checkAnswered(t, await replies, keys)
    t.equal(await ended, 0)
    t.equal(processes.records.filter(({ key }) => keys.includes(key)).length, keys.length, 'every task started once')
  })

  t.test('an answer that the caller reads slowly is not truncated', async (t) => {
    const leaving = processes.entry('cr-sj-entry-2')
    const answer = 'x'.repeat(LARGE_ANSWER_BYTES)
    const shape = { ...single, tasks: 16 }
    const slowRead = new Promise<{ res: IncomingMessage, size: () => number, ended: Promise<boolean> }>((resolve, reject) => {
      const body = JSON.stringify({ key: 'slow-reader', customer: 'clinics', caller: 'nurse-1', kind: 'splash-check', shape, payload: { runMs: 500, answer } })
      const req = httpRequest({ host: leaving.callers.address, port: leaving.callers.port, method: 'POST', path: '/v1/requests', headers: { 'content-type': 'application/json' } }, (res) => {
        let size = 0
        const ended = new Promise<boolean>((resolve) => { res.once('close', () => resolve(res.complete)) })
        res.pause()
        resolve({ res, size: () => size, ended })
        res.on('data', (chunk: Buffer) => { size += chunk.length })
        res.pause()
      })
      req.on('error', reject)
      req.end(body)
    })
    await waitUntilRunning(processes, ['slow-reader'])
    const ended = deployment.terminate(leaving.node)
    const { res, size, ended: closed } = await slowRead
    await waitUntil('new connections are refused', () => isRefused(leaving))
    res.resume()
    t.ok(await closed, 'the answer is complete')
    t.ok(size() > 16 * LARGE_ANSWER_BYTES)
    t.equal(await ended, 0)
  })
})

t.test('shutdown of the control process that schedules', async (t) => {
  const processes = await startProcesses(t, { domains: ['cr-sj', 'cr-al'] })
  const { deployment } = processes
  await processes.configure()
  for (const domain of processes.domains) {
    await processes.addEndpoint(domain)
    await processes.addEndpoint(domain)
    await processes.waitForEndpoints(domain, 2)
  }
  const entry = processes.entry('cr-sj-entry-1')

  t.test('running work continues under the next leader, queued work starts once, and the process exits with code 0', async (t) => {
    const leader = await processes.findScheduler('cr-sj')
    const running = ['run', 'run-once', 'gang']
    const gang = { tasks: 4, acceleratorsPerTask: 3, slotsPerTask: 1, adjacency: 'rack' }
    const more = [{ homeDomain: 'cr-sj' }, { homeDomain: 'cr-sj', kind: 'pickup' }, { homeDomain: 'cr-sj', shape: gang }]
    const replies = running.map((key, i) => processes.submit(entry, key, 5_000, more[i]))
    await waitUntilRunning(processes, running)
    const queued = ['queued', 'queued-once']
    const queuedReplies = queued.map((key, i) => processes.submit(entry, key, 50, { homeDomain: 'cr-sj', deadlineMs: 20_000, shape: { ...single, acceleratorsPerTask: 6 }, ...(i === 1 && { kind: 'pickup' }) }))
    const began = performance.now()
    t.equal(await deployment.terminate(leader), 0)
    t.comment(`the control process ended after ${Math.round(performance.now() - began)} ms`)
    const [run, runOnce, gangReply] = await Promise.all(replies)
    checkAnswered(t, [run!, runOnce!], running)
    t.match(gangReply, { status: 200 }, JSON.stringify(gangReply!.body.error))
    t.equal(gangReply!.body.answer?.length, 4)
    checkAnswered(t, await Promise.all(queuedReplies), queued)
    for (const record of processes.records) t.equal(record.end, 'done', `${record.key}: no task was stopped`)
    t.equal(processes.records.length, 8, 'every task started once')
    t.not(await processes.findScheduler('cr-sj'), leader)
    checkAnswered(t, [await processes.submit(entry, 'next', 5, { homeDomain: 'cr-sj', kind: 'pickup' })], ['next'])
  })
})
