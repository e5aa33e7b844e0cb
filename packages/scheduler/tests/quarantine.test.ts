import { asId } from '@ibisstair/common'
import type { EndpointId, JobId } from '@ibisstair/common'
import t from 'tap'
import { Scheduler, withoutRules } from '../src/index.ts'
import { OutlierDetector } from '../src/outliers.ts'
import { Harness, shape } from './support.ts'

const WORKERS = ['r1-1', 'r1-2', 'r1-3', 'r1-4', 'r1-5', 'r1-6']

/** Ends all started jobs: every job on a worker in `bad` fails, and jobs in `badJobs` fail on every worker. */
const finishStarted = (h: Harness, bad: ReadonlySet<string>, badJobs: ReadonlySet<JobId> = new Set()): string[] => {
  const used: string[] = []
  for (const { jobId } of h.find('place')) {
    if (h.scheduler.explain(jobId).state !== 'starting') continue
    const endpointId = h.lastPlace(jobId)!.assignments[0]!.endpointId
    used.push(endpointId)
    h.start(jobId)
    h.nowMs += 10
    h.finish(jobId, bad.has(endpointId) || badJobs.has(jobId) ? 'failed' : 'ok')
  }
  return used
}

const runRounds = (h: Harness, rounds: number, bad: ReadonlySet<string>): string[] => {
  const used: string[] = []
  for (let i = 0; i < rounds; i++) {
    for (let j = 0; j < 12; j++) h.submit({ shape: shape(1, 4) })
    used.push(...finishStarted(h, bad))
  }
  return used
}

// A worker that fails within 50 ms is always free and so attracts the most work unless it is quarantined.
t.test('a worker that fails work which others finish is quarantined and then probed with one task at a time', async (t) => {
  const h = new Harness()
  h.up(...WORKERS)
  const bad = new Set(['r1-2'])
  runRounds(h, 10, bad)
  t.equal(h.scheduler.getStats().quarantined, 1)
  t.same(runRounds(h, 3, bad).filter((id) => id === 'r1-2'), [], 'gets no work at first')
  h.advance(6000)
  for (let i = 0; i < 6; i++) h.submit({ shape: shape(1, 1), urgency: 'bulk' })
  const onBad = (): number => h.find('place').filter(({ rule }) => rule === 'probe').length
  h.advance(100)
  t.equal(onBad(), 1)
  h.advance(100)
  t.equal(onBad(), 1, 'one task at a time')
})

t.test('a worker that recovered is released after its probes', async (t) => {
  const h = new Harness()
  h.up(...WORKERS)
  runRounds(h, 10, new Set(['r1-2']))
  t.equal(h.scheduler.getStats().quarantined, 1)
  for (let i = 0; i < 20; i++) {
    h.nowMs += 30_000
    runRounds(h, 1, new Set())
  }
  t.equal(h.scheduler.getStats().quarantined, 0)
})

t.test('without the rule a failing worker keeps getting work', async (t) => {
  const h = new Harness(new Scheduler(withoutRules('quarantine', 'retry-budget')))
  h.up(...WORKERS)
  t.ok(runRounds(h, 13, new Set(['r1-2'])).filter((id) => id === 'r1-2').length > 10)
})

t.test('a job that fails on several workers is refused and no worker is quarantined', async (t) => {
  const h = new Harness()
  h.up(...WORKERS)
  runRounds(h, 3, new Set())
  const badJobs = new Set(Array.from({ length: 4 }, () => h.submit({ shape: shape(1, 8) })))
  for (let i = 0; i < 30; i++) {
    finishStarted(h, new Set(), badJobs)
    for (let j = 0; j < 4; j++) h.submit()
    h.advance(100)
  }
  t.same(new Set(h.find('refuse').map(({ jobId }) => jobId)), badJobs)
  t.ok(h.find('refuse').every(({ kind }) => kind === 'job-suspect'))
  t.equal(h.scheduler.getStats().quarantined, 0)
})

t.test('when many workers become suspect at once, none is quarantined', async (t) => {
  const h = new Harness()
  h.up(...WORKERS)
  runRounds(h, 3, new Set())
  const bad = new Set(WORKERS.slice(0, 4))
  for (let i = 0; i < 6; i++) runRounds(h, 1, bad)
  t.ok(h.scheduler.getStats().massSuspicions! > 0)
  t.ok(h.scheduler.getStats().quarantined < 3)
})

t.test('a restarted endpoint is no longer quarantined', async (t) => {
  const h = new Harness()
  h.up(...WORKERS)
  runRounds(h, 10, new Set(['r1-2']))
  h.send({ type: 'endpoint-down', endpointId: asId<EndpointId>('r1-2') })
  h.up('r1-2')
  t.equal(h.scheduler.getStats().totalAccelerators, 48)
})

t.test('a worker slower than the others is an outlier until it is as fast again', async (t) => {
  const outliers = new OutlierDetector()
  const record = (slow: number): void => {
    for (const id of WORKERS) outliers.record(asId<EndpointId>(id), id === 'r1-3' ? slow : 1)
  }
  for (let i = 0; i < 20; i++) record(3)
  t.same(WORKERS.filter((id) => outliers.isOutlier(asId<EndpointId>(id))), ['r1-3'])
  for (let i = 0; i < 40; i++) record(1)
  t.same(WORKERS.filter((id) => outliers.isOutlier(asId<EndpointId>(id))), [])
})

t.test('retries of lost work stop when the budget is spent', async (t) => {
  const h = new Harness()
  h.up(...WORKERS)
  const job = h.submit()
  for (let i = 0; i < 19; i++) {
    h.start(job)
    h.finish(job, 'lost')
  }
  t.ok(h.lastPlace(job)!.attempt <= 20)
  const others = Array.from({ length: 48 }, () => h.submit())
  for (const id of others) {
    h.start(id)
    h.finish(id, 'lost')
  }
  t.ok(h.find('refuse').some(({ kind, detail }) => kind === 'outcome-unknown' && /budget/.test(detail)))
})
