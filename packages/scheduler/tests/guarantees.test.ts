import { asId } from '@ibisstair/common'
import type { EndpointId, JobId } from '@ibisstair/common'
import fc from 'fast-check'
import t from 'tap'
import { CHECKPOINT_GRACE_MS, Scheduler, withoutRules } from '../src/index.ts'
import { Harness, customer, share, shape } from './support.ts'

const RECLAIM_BOUND_MS = 5500
const RESERVATION_MS = 500
const gang = shape(2, 8, 'rack')
const guarantees = [{ shape: gang, count: 1 }]
const customers = [customer('owner', { guarantees }), customer('a'), customer('b')]

const createFull = (fields: Parameters<Harness['submit']>[0], count: number, scheduler = new Scheduler()): { h: Harness, running: JobId[] } => {
  const h = new Harness(scheduler, customers)
  h.up('r1-1', 'r1-2', 'r1-3')
  const running = Array.from({ length: count }, () => h.submit(fields))
  for (const id of running) h.start(id)
  return { h, running }
}

/** Stops preempted jobs after their grace period, except those that `silent` selects. */
const runUntilPlaced = (h: Harness, jobId: JobId, silent: (job: JobId) => boolean = () => false): number => {
  const stopped = new Set<JobId>()
  const fromMs = h.nowMs
  while (!h.lastPlace(jobId) && h.nowMs - fromMs < 60_000) {
    h.advance(100)
    for (const { jobId: victim } of h.find('preempt')) {
      const since = h.scheduler.explain(victim).steps.findLast((step) => step.rule === 'preempted')!.atMs
      if (stopped.has(victim) || silent(victim) || h.nowMs - since < CHECKPOINT_GRACE_MS) continue
      stopped.add(victim)
      h.finish(victim, 'preempted')
    }
  }
  return h.nowMs - fromMs
}

t.test('a guaranteed gang reclaims its capacity from borrowed work that fills the whole domain', async (t) => {
  const { h } = createFull({ customer: 'a' }, 24)
  const guaranteed = h.submit({ customer: 'owner', shape: gang })
  const tookMs = runUntilPlaced(h, guaranteed)
  t.ok(tookMs + RESERVATION_MS <= RECLAIM_BOUND_MS, `${tookMs} ms`)
  t.equal(h.find('preempt').length, 16, 'preempts no more than the shape needs')
  t.match(h.find('preempt')[0], { beneficiary: guaranteed, rule: 'reclaim-guarantee' })
})

t.test('without the rule the guaranteed gang waits for the borrowed work to end', async (t) => {
  const { h } = createFull({ customer: 'a' }, 24, new Scheduler(withoutRules('guarantees')))
  const guaranteed = h.submit({ customer: 'owner', shape: gang })
  t.equal(runUntilPlaced(h, guaranteed), 60_000)
})

t.test('a victim that does not leave is replaced within the bound', async (t) => {
  const h = new Harness(new Scheduler(), [customer('owner', { guarantees: [{ shape: shape(1, 1), count: 1 }] }), customer('a')])
  h.up('r1-1')
  for (let i = 0; i < 8; i++) h.start(h.submit({ customer: 'a' }))
  const guaranteed = h.submit({ customer: 'owner' })
  let firstVictim: JobId | undefined
  const tookMs = runUntilPlaced(h, guaranteed, (victim) => victim === (firstVictim ??= victim))
  t.ok(tookMs + RESERVATION_MS <= RECLAIM_BOUND_MS, `${tookMs} ms`)
  t.equal(h.find('preempt').length, 2)
})

t.test('the victim with the least lost work is chosen, non-idempotent work last', async (t) => {
  const h = new Harness(new Scheduler(), [customer('owner', { guarantees: [{ shape: shape(1, 2), count: 1 }] }), customer('a')])
  h.up('r1-1')
  const once = h.submit({ customer: 'a', shape: shape(1, 2), idempotent: false })
  const old = h.submit({ customer: 'a', shape: shape(1, 4) })
  h.start(old)
  h.advance(60_000)
  const young = h.submit({ customer: 'a', shape: shape(1, 2) })
  h.start(once)
  h.start(young)
  h.advance(100)
  h.submit({ customer: 'owner', shape: shape(1, 2) })
  h.advance(300)
  t.same(h.find('preempt').map(({ jobId }) => jobId), [young])
})

t.test('work inside its own guarantee is never preempted, whatever other customers submit', async (t) => {
  const h = new Harness(new Scheduler(), [customer('owner', { guarantees }), customer('b', { guarantees: [{ shape: shape(1, 8, 'worker'), count: 1 }] })])
  h.up('r1-1', 'r1-2', 'r1-3')
  const own = h.submit({ customer: 'owner', shape: gang })
  const other = h.submit({ customer: 'b', shape: shape(1, 8, 'worker') })
  h.start(own)
  h.start(other)
  for (let i = 0; i < 20; i++) h.submit({ customer: 'b', urgency: 'urgent', shape: shape(1, 8, 'worker') })
  h.advance(10_000)
  t.same(h.find('preempt'), [])
})

t.test('a lost worker moves the guarantee to the remaining ones', async (t) => {
  const { h } = createFull({ customer: 'a' }, 24)
  h.send({ type: 'endpoint-down', endpointId: asId<EndpointId>('r1-1') })
  const guaranteed = h.submit({ customer: 'owner', shape: gang })
  t.ok(runUntilPlaced(h, guaranteed) + RESERVATION_MS <= RECLAIM_BOUND_MS)
})

t.test('a cancelled job releases its nominated capacity', async (t) => {
  const { h, running } = createFull({ customer: 'a' }, 24)
  const guaranteed = h.submit({ customer: 'owner', shape: gang })
  h.advance(300)
  h.send({ type: 'cancel', jobId: guaranteed })
  for (const id of running) h.finish(id, 'preempted')
  t.match(h.scheduler.getStats(), { queued: 0, running: 24, freeAccelerators: 0 })
})

t.test('a new configuration counts running work against the new guarantees', async (t) => {
  const { h } = createFull({ customer: 'a' }, 24)
  h.send({ type: 'config', share: share([customer('owner'), customer('a', { guarantees: [{ shape: gang, count: 1 }] })]) })
  h.send({ type: 'config', share: share([customer('owner', { guarantees }), customer('a', { guarantees: [{ shape: shape(1, 8, 'worker'), count: 1 }] })]) })
  const guaranteed = h.submit({ customer: 'owner', shape: gang })
  t.ok(runUntilPlaced(h, guaranteed) + RESERVATION_MS <= RECLAIM_BOUND_MS)
})

t.test('work of a customer that lost its guarantee can be preempted for others', async (t) => {
  const h = new Harness(new Scheduler(), [customer('owner'), customer('a', { guarantees: [{ shape: gang, count: 1 }] })])
  h.up('r1-1', 'r1-2')
  h.start(h.submit({ customer: 'a', shape: gang }))
  h.send({ type: 'config', share: share([customer('owner', { guarantees }), customer('a')]) })
  const guaranteed = h.submit({ customer: 'owner', shape: gang })
  t.ok(runUntilPlaced(h, guaranteed) + RESERVATION_MS <= RECLAIM_BOUND_MS)
})

t.test('any guaranteed shape is reclaimed in the bound from any mix of borrowed work (seed 11)', async () => {
  const borrowed = fc.record({ customer: fc.constantFrom('a', 'b'), shape: fc.constantFrom(shape(1, 1), shape(1, 3), shape(1, 8, 'worker'), shape(2, 4, 'rack'), shape(4, 1)), idempotent: fc.boolean() })
  fc.assert(fc.property(fc.array(borrowed, { minLength: 5, maxLength: 40 }), fc.nat(2000), (jobs, ageMs) => {
    const h = new Harness(new Scheduler(), customers)
    h.up('r1-1', 'r1-2', 'r1-3', 'r2-1')
    for (const id of jobs.map((job) => h.submit(job))) h.start(id)
    h.advance(ageMs)
    const guaranteed = h.submit({ customer: 'owner', shape: gang })
    const tookMs = runUntilPlaced(h, guaranteed)
    if (tookMs + RESERVATION_MS > RECLAIM_BOUND_MS) throw new Error(`reclaim took ${tookMs} ms`)
  }), { seed: 11, numRuns: 100 })
})
