import t from 'tap'
import { Scheduler, withoutRules } from '../src/index.ts'
import { Harness, customer, shape } from './support.ts'

const SLOTS = 8

const submitMany = (h: Harness, count: number, fields: Parameters<Harness['submit']>[0]): ReturnType<Harness['submit']>[] =>
  Array.from({ length: count }, () => h.submit(fields))

const finishOldest = (h: Harness, running: ReturnType<Harness['submit']>[]): void => {
  const id = running.find((job) => h.scheduler.explain(job).state === 'starting' || h.scheduler.explain(job).state === 'running')!
  h.start(id)
  h.nowMs += 10
  h.finish(id)
}

t.test('a customer that floods the queue does not keep another one from its share', async (t) => {
  const h = new Harness()
  h.up('r1-1')
  const flood = submitMany(h, 100, { customer: 'a' })
  const small = submitMany(h, 4, { customer: 'b' })
  for (let i = 0; i < 4; i++) finishOldest(h, flood)
  t.equal(h.placedCount(small), 4)
})

t.test('a customer of priority 3 holds three times as much as one of priority 1', async (t) => {
  const h = new Harness(new Scheduler(), [customer('a', { priority: 3 }), customer('b')])
  const jobs = { a: submitMany(h, 50, { customer: 'a' }), b: submitMany(h, 50, { customer: 'b' }) }
  h.up('r1-1')
  t.equal(h.placedCount(jobs.a), SLOTS * 3 / 4)
  t.equal(h.placedCount(jobs.b), SLOTS / 4)
})

t.test('a caller that asks 50 times as often as another of its customer does not delay it', async (t) => {
  const run = (scheduler: Scheduler): boolean => {
    const h = new Harness(scheduler)
    h.up('r1-1')
    const heavy = submitMany(h, 50, { caller: 'heavy' })
    const small = h.submit({ caller: 'small' })
    finishOldest(h, heavy)
    return h.placedCount([small]) === 1
  }
  t.equal(run(new Scheduler()), true)
  t.equal(run(new Scheduler(withoutRules('caller-fairness'))), false)
})

t.test('urgent work of a customer starts before its bulk work', async (t) => {
  const h = new Harness()
  h.up('r1-1')
  const bulk = submitMany(h, 30, { urgency: 'bulk' })
  const urgent = h.submit({ urgency: 'urgent' })
  finishOldest(h, bulk)
  t.equal(h.placedCount([urgent]), 1)
})

t.test('bulk work starts within its ageing time although urgent work never ends', async (t) => {
  const run = (scheduler: Scheduler): boolean => {
    const h = new Harness(scheduler)
    h.up('r1-1')
    const urgent = submitMany(h, 2000, { urgency: 'urgent' })
    const bulk = h.submit({ urgency: 'bulk' })
    for (let i = 0; i < 1010; i++) finishOldest(h, urgent)
    return h.placedCount([bulk]) === 1
  }
  t.equal(run(new Scheduler()), true)
  t.equal(run(new Scheduler(withoutRules('ageing'))), false)
})

t.test('a small job passes a gang that does not fit', async (t) => {
  const h = new Harness()
  h.up('r1-1')
  h.submit({ shape: shape(1, 4) })
  const gang = h.submit({ shape: shape(2, 8, 'rack') })
  const small = h.submit()
  t.equal(h.placedCount([gang]), 0)
  t.equal(h.placedCount([small]), 1)
})

t.test('placement keeps whole workers for large shapes', async (t) => {
  const h = new Harness()
  h.up('r1-1', 'r1-2', 'r1-3')
  submitMany(h, 3, { shape: shape(1, 2) })
  const large = submitMany(h, 2, { shape: shape(1, 8, 'worker') })
  t.equal(h.placedCount(large), 2)
})
