import { asId, type EndpointId, type JobId } from '@ibisstair/common'
import t from 'tap'
import { endpoint, Harness, shape } from './support.ts'

const WORKERS = Array.from({ length: 30 }, (_, i) => `r1-${i}`)

/** Crashes the endpoint of a started job, which returns after three seconds. */
const crashUnder = (h: Harness, job: JobId, incarnation: number): void => {
  const { endpointId } = h.lastPlace(job)!.assignments[0]!
  const type = 'endpoint-down' as const
  h.send({ type, endpointId })
  h.advance(3_000)
  h.send({ type: 'endpoint-restarted', endpointId })
  h.finish(job, 'lost')
  h.send({ type: 'endpoint-up', endpoint: endpoint(endpointId, { incarnation }) })
  h.advance(100)
}

const isPlaced = (h: Harness, job: JobId): boolean => h.scheduler.explain(job).state === 'starting'

t.test('a job that crashes every endpoint that starts it is refused', async (t) => {
  // Its attempts were limited only by the number that a start may be refused.
  const h = new Harness()
  h.up(...WORKERS)
  const job = h.submit({ shape: shape(1, 8) })
  let crashes = 0
  while (isPlaced(h, job) && crashes < 10) {
    h.start(job)
    crashUnder(h, job, ++crashes + 1)
  }
  t.equal(crashes, 3)
  t.match(h.find('refuse', job), [{ kind: 'job-suspect', detail: 'endpoint after endpoint crashed while it ran there' }])
  t.ok(h.scheduler.explain(job).steps.some(({ rule }) => rule === 'endpoint-crashed'))
})

t.test('a job whose endpoints were only out of reach is queued again', async (t) => {
  const h = new Harness()
  h.up(...WORKERS)
  const job = h.submit({ shape: shape(1, 8) })
  for (let i = 0; i < 5; i++) {
    h.start(job)
    const { endpointId } = h.lastPlace(job)!.assignments[0]!
    h.send({ type: 'endpoint-down', endpointId })
    h.advance(8_000)
    h.finish(job, 'lost')
    h.send({ type: 'endpoint-up', endpoint: endpoint(endpointId) })
    h.advance(100)
  }
  t.same(h.find('refuse'), [])
  t.ok(isPlaced(h, job))
})

t.test('a job is not blamed for endpoints that crash together', async (t) => {
  const h = new Harness()
  h.up(...WORKERS)
  const jobs = Array.from({ length: 6 }, () => h.submit({ shape: shape(1, 8) }))
  for (let round = 1; round <= 4; round++) {
    for (const job of jobs) h.start(job)
    const lost = jobs.map((job) => h.lastPlace(job)!.assignments[0]!.endpointId)
    for (const endpointId of lost) h.send({ type: 'endpoint-down', endpointId })
    h.advance(3_000)
    for (const id of new Set<EndpointId>(lost)) {
      h.send({ type: 'endpoint-restarted', endpointId: asId(id) })
    }
    for (const job of jobs) h.finish(job, 'lost')
    for (const id of new Set(lost)) h.send({ type: 'endpoint-up', endpoint: endpoint(id, { incarnation: round + 1 }) })
    h.advance(100)
  }
  t.same(h.find('refuse'), [])
})
