import { asId } from '@ibisstair/common'
import type { EndpointId, JobId, TaskId } from '@ibisstair/common'
import t from 'tap'
import { Harness, endpoint, metadata, shape } from './support.ts'

t.test('a job is placed whole, started, and frees its slots when it ends', async (t) => {
  const h = new Harness()
  h.up('r1-1', 'r1-2')
  const gang = h.submit({ shape: shape(2, 8, 'rack') })
  t.equal(h.lastPlace(gang)?.assignments.length, 2)
  t.equal(h.scheduler.getStats().freeAccelerators, 0)
  h.start(gang)
  t.equal(h.scheduler.explain(gang).state, 'running')
  h.finish(gang)
  t.equal(h.scheduler.getStats().freeAccelerators, 16)
  t.equal(h.scheduler.explain(gang).state, 'finished')
})

t.test('a cancelled queued job is refused as not run, a running one is stopped once', async (t) => {
  const h = new Harness()
  h.up('r1-1')
  const running = h.submit({ shape: shape(1, 8) })
  const queued = h.submit({ shape: shape(1, 8) })
  h.start(running)
  h.send({ type: 'cancel', jobId: queued })
  t.match(h.find('refuse', queued), [{ kind: 'cancelled' }])
  h.send({ type: 'cancel', jobId: running })
  h.send({ type: 'cancel', jobId: running })
  t.equal(h.find('stop', running).length, 1)
  h.finish(running, 'cancelled')
  t.match(h.scheduler.getStats(), { queued: 0, running: 0, freeAccelerators: 8 })
})

t.test('a gang that was not started whole is queued again and placed with a new attempt', async (t) => {
  const h = new Harness()
  h.up('r1-1')
  const job = h.submit()
  h.send({ type: 'start-failed', jobId: job, refusedBy: [] })
  t.equal(h.lastPlace(job)?.attempt, 2)
})

t.test('an endpoint that refuses starts is not asked again until its reservations have expired', async (t) => {
  const h = new Harness()
  h.up('r1-1')
  const job = h.submit()
  h.send({ type: 'start-failed', jobId: job, refusedBy: [asId<EndpointId>('r1-1')] })
  h.advance(1900)
  t.equal(h.lastPlace(job)?.attempt, 1)
  h.advance(100)
  t.equal(h.lastPlace(job)?.attempt, 2)
  h.send({ type: 'start-failed', jobId: job, refusedBy: [asId<EndpointId>('r1-1')] })
  h.up('r1-2')
  t.equal(h.lastPlace(job)?.assignments[0]?.endpointId, 'r1-2')
})

t.test('lost idempotent work is queued again, lost non-idempotent work is never started twice', async (t) => {
  const h = new Harness()
  h.up('r1-1')
  const safe = h.submit({ idempotent: true })
  const once = h.submit({ idempotent: false })
  h.start(safe)
  h.start(once)
  h.finish(safe, 'lost')
  h.finish(once, 'lost')
  t.equal(h.find('place', safe).length, 2)
  t.equal(h.find('place', once).length, 1)
  t.match(h.find('refuse', once), [{ kind: 'outcome-unknown' }])
})

t.test('an adopted gang holds its slots; a second gang on the same slots is stopped', async (t) => {
  const h = new Harness()
  h.up('r1-1')
  const assignments = [{ index: 0, taskId: asId<TaskId>('t'), endpointId: asId<EndpointId>('r1-1'), incarnation: 1 }]
  h.send({ type: 'adopt', jobId: asId<JobId>('x'), job: metadata({ shape: shape(1, 8) }), assignments })
  h.send({ type: 'adopt', jobId: asId<JobId>('y'), job: metadata({ shape: shape(1, 8) }), assignments })
  t.equal(h.scheduler.getStats().freeAccelerators, 0)
  t.match(h.find('stop'), [{ jobId: 'y', rule: 'adoption-conflict' }])
})

t.test('a restarted endpoint offers its full capacity, a downed one offers none', async (t) => {
  const h = new Harness()
  h.up('r1-1')
  const job = h.submit({ shape: shape(1, 8) })
  h.start(job)
  h.send({ type: 'endpoint-down', endpointId: asId<EndpointId>('r1-1') })
  const waiting = h.submit({ shape: shape(1, 8) })
  t.equal(h.lastPlace(waiting), undefined)
  h.finish(job, 'cancelled')
  h.up('r1-1')
  t.ok(h.lastPlace(waiting))
})

t.test('an old incarnation does not come back after the newer one went down', async (t) => {
  const h = new Harness()
  h.up('r1-1')
  // Its task may still hold the slots of the old incarnation.
  h.start(h.submit({ shape: shape(1, 8) }))
  const id = asId<EndpointId>('r1-1')
  h.send({ type: 'endpoint-up', endpoint: endpoint('r1-1', { incarnation: 2 }) })
  h.send({ type: 'endpoint-down', endpointId: id })
  h.send({ type: 'endpoint-up', endpoint: endpoint('r1-1', { incarnation: 1 }) })
  t.equal(h.scheduler.getStats().totalAccelerators, 0)
  h.send({ type: 'endpoint-up', endpoint: endpoint('r1-1', { incarnation: 3 }) })
  t.equal(h.scheduler.getStats().freeAccelerators, 8)
})
