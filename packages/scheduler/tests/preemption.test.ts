import { asId } from '@ibisstair/common'
import type { EndpointId } from '@ibisstair/common'
import t from 'tap'
import { Scheduler, withoutRules } from '../src/index.ts'
import { Harness, customer, shape } from './support.ts'

const HOUR_MS = 3_600_000

const createBusy = (scheduler = new Scheduler(), expectedRunMs = HOUR_MS): Harness => {
  const h = new Harness(scheduler, [customer('a'), customer('b')])
  h.up('r1-1', 'r1-2')
  for (let i = 0; i < 16; i++) {
    h.start(h.submit({ customer: 'a', urgency: 'bulk', expectedRunMs, kind: 'archive' }))
    h.advance(100)
  }
  return h
}

t.test('urgent work does not wait for long bulk work of its own customer', async (t) => {
  const h = createBusy()
  const urgent = h.submit({ customer: 'a', urgency: 'urgent' })
  h.advance(400)
  t.same(h.find('preempt'), [])
  h.advance(200)
  t.equal(h.find('preempt').length, 1)
  h.finish(h.find('preempt')[0]!.jobId, 'preempted')
  t.ok(h.lastPlace(urgent))
  const without = createBusy(new Scheduler(withoutRules('urgent-preemption')))
  without.submit({ customer: 'a', urgency: 'urgent' })
  without.advance(60_000)
  t.same(without.find('preempt'), [])
})

t.test('the newest bulk work is preempted, because it loses the least', async (t) => {
  const h = createBusy()
  h.submit({ customer: 'b', urgency: 'urgent' })
  h.advance(600)
  t.match(h.find('preempt'), [{ jobId: 'j15', rule: 'urgent-preemption' }])
})

t.test('work that ends soon by itself is not preempted', async (t) => {
  const h = createBusy(new Scheduler(), 3000)
  h.submit({ customer: 'a', urgency: 'urgent' })
  h.advance(600)
  t.same(h.find('preempt'), [])
})

t.test('a tick completes when preemption dequeues the only job of another shape', async (t) => {
  const h = createBusy()
  h.submit({ customer: 'a', urgency: 'bulk', shape: shape(1, 2) })
  h.submit({ customer: 'a', urgency: 'urgent', shape: shape(1, 1) })
  h.advance(600)
  t.equal(h.find('preempt').length, 1)
})

t.test('normal work preempts nothing', async (t) => {
  const h = createBusy()
  h.submit({ customer: 'b', urgency: 'normal' })
  h.advance(10_000)
  t.same(h.find('preempt'), [])
})

t.test('bulk work on an overused worker is throttled while it shares the worker with urgent work', async (t) => {
  const h = new Harness()
  h.up('r1-1')
  const bulk = h.submit({ urgency: 'bulk' })
  const urgent = h.submit({ urgency: 'urgent' })
  h.start(bulk)
  h.start(urgent)
  const usage = (acceleratorsBusy: number): void => { h.send({ type: 'usage', endpointId: asId<EndpointId>('r1-1'), acceleratorsBusy, lagMs: 500 }) }
  usage(8)
  t.same(h.find('throttle'), [])
  usage(16)
  t.match(h.find('throttle'), [{ jobId: bulk, fraction: 0.5 }])
  h.finish(urgent)
  usage(4)
  t.match(h.find('throttle').at(-1), { jobId: bulk, fraction: 1 })
  t.same(h.find('preempt'), [])
})

t.test('bulk work that is alone on a worker is not throttled', async (t) => {
  const h = new Harness()
  h.up('r1-1')
  h.start(h.submit({ urgency: 'bulk', shape: shape(1, 4) }))
  h.send({ type: 'usage', endpointId: asId<EndpointId>('r1-1'), acceleratorsBusy: 40, lagMs: 500 })
  t.same(h.find('throttle'), [])
})
