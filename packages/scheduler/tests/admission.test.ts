import { asId } from '@ibisstair/common'
import t from 'tap'
import { Harness, customer, shape } from './support.ts'
import { Scheduler } from '../src/index.ts'

const discovered = (h = new Harness()): Harness => {
  h.up('r1-1', 'r1-2')
  h.advance(6000)
  return h
}

t.test('a shape that no worker or rack could hold is refused at once, one that only waits is not', async (t) => {
  const h = discovered()
  h.submit({ shape: shape(1, 9) }, 'wide')
  h.submit({ shape: shape(3, 8, 'rack') }, 'long')
  h.submit({ shape: shape(2, 8, 'rack') }, 'fits')
  t.match(h.find('refuse').map(({ jobId, kind }) => [jobId, kind]), [['wide', 'never-fits'], ['long', 'never-fits']])
})

t.test('a lost worker does not make its shape impossible', async (t) => {
  const h = discovered()
  h.send({ type: 'endpoint-down', endpointId: asId('r1-1') })
  const waiting = h.submit({ shape: shape(2, 8, 'rack') })
  t.same(h.find('refuse'), [])
  h.up('r1-1')
  t.ok(h.lastPlace(waiting))
})

t.test('a deadline that the backlog cannot meet is refused, and the retry time is long enough', async (t) => {
  const h = discovered()
  // Learned: each job runs for 1 s; 16 run at a time.
  for (let i = 0; i < 10; i++) h.finish(h.submit({ shape: shape(1, 1) }))
  for (let i = 0; i < 16 + 160; i++) h.submit({ caller: `c${i % 4}` })
  const late = h.submit({ deadlineMs: 2000, caller: 'c0' })
  const [refusal] = h.find('refuse', late)
  t.equal(refusal?.kind, 'deadline-unreachable')
  t.ok(refusal!.retryAfterMs! > 1000 && refusal!.retryAfterMs! < 12_000, `${refusal!.retryAfterMs}`)
  const patient = h.submit({ deadlineMs: 60_000, caller: 'c0' })
  t.same(h.find('refuse', patient), [])
})

t.test('a job that did not start before its deadline is refused as not run, a started one is not', async (t) => {
  const h = discovered()
  const running = h.submit({ shape: shape(2, 8, 'rack'), deadlineMs: 1000 })
  h.start(running)
  const waiting = h.submit({ shape: shape(2, 8, 'rack'), deadlineMs: 1000 })
  h.advance(900)
  t.same(h.find('refuse'), [])
  h.advance(300)
  t.match(h.find('refuse'), [{ jobId: waiting, kind: 'deadline-passed' }])
  h.finish(running, 'lost')
  t.same(h.find('refuse', running), [], 'work that had started is not late')
})

t.test('a full queue refuses with a retry time, and one caller cannot fill it alone', async (t) => {
  const h = discovered(new Harness(new Scheduler(), [customer('a', { maxQueued: 10 })]))
  for (let i = 0; i < 16; i++) h.submit({ caller: 'heavy' })
  for (let i = 0; i < 20; i++) h.submit({ caller: 'heavy' })
  t.equal(h.scheduler.getStats().queued, 5)
  const small = h.submit({ caller: 'small' })
  t.same(h.find('refuse', small), [])
  const [refusal] = h.find('refuse')
  t.match(refusal, { kind: 'queue-full' })
  t.ok(refusal!.retryAfterMs! >= 100)
})

t.test('explain gives the rule and its numbers', async (t) => {
  const h = discovered()
  const id = h.submit({ shape: shape(1, 9) })
  t.match(h.scheduler.explain(id), { state: 'finished', steps: [{ rule: 'never-fits', numbers: { detail: /9a/ } }] })
  const placed = h.submit()
  t.match(h.scheduler.explain(placed).steps.map(({ rule }) => rule), ['admitted', 'dominant-resource-fairness'])
  t.equal(h.scheduler.explain(asId('nobody')).state, 'unknown')
})
