import type { JobId } from '@ibisstair/common'
import t from 'tap'
import { Scheduler, withoutRules } from '../src/index.ts'
import { Harness, customer, shape } from './support.ts'

const RUN_MS = 1000
const gang = shape(2, 8, 'rack')

/** A domain in which small jobs of 1 s arrive faster than they run; returns the time at which the gang was placed. */
const runUnderLoad = (scheduler: Scheduler, untilMs: number): { h: Harness, placedAtMs: number, gangId: JobId } => {
  const h = new Harness(scheduler, [customer('a'), customer('b')])
  h.up('r1-1', 'r1-2', 'r1-3')
  const endAt = new Map<JobId, number>()
  let seen = 0
  let gangId: JobId | undefined
  while (h.nowMs < untilMs) {
    for (let i = 0; i < 4; i++) h.submit({ customer: 'b', expectedRunMs: RUN_MS })
    if (h.nowMs === 5000) gangId = h.submit({ customer: 'a', shape: gang })
    for (; seen < h.decisions.length; seen++) {
      const decision = h.decisions[seen]!
      if (decision.type === 'place' && decision.jobId !== gangId) {
        h.start(decision.jobId)
        endAt.set(decision.jobId, h.nowMs + RUN_MS)
      }
      if (decision.type === 'preempt') endAt.set(decision.jobId, h.nowMs + 2000)
    }
    if (gangId && h.lastPlace(gangId)) return { h, placedAtMs: h.nowMs, gangId }
    h.advance(100)
    for (const [id, at] of [...endAt]) {
      if (at > h.nowMs) continue
      endAt.delete(id)
      h.finish(id, 'ok', RUN_MS)
    }
  }
  return { h, placedAtMs: Infinity, gangId: gangId! }
}

t.test('a large gang starts although small work never stops', async (t) => {
  const { placedAtMs, h, gangId } = runUnderLoad(new Scheduler(), 30_000)
  t.ok(placedAtMs < 5000 + 5000 + 3 * RUN_MS, `${placedAtMs}`)
  t.ok(h.scheduler.explain(gangId).steps.some(({ rule }) => rule === 'planned-start'))
  t.equal(runUnderLoad(new Scheduler(withoutRules('planned-starts')), 30_000).placedAtMs, Infinity)
})

const createPlan = (backfill: boolean): { h: Harness, blocker: JobId, gangId: JobId, short: JobId, long: JobId } => {
  const scheduler = new Scheduler(backfill ? undefined : withoutRules('backfill'))
  const h = new Harness(scheduler, [customer('a'), customer('b')])
  h.up('r1-1', 'r1-2')
  for (let i = 0; i < 10; i++) h.finish(h.submit({ customer: 'b', kind: 'short' }), 'ok', 500)
  for (let i = 0; i < 10; i++) h.finish(h.submit({ customer: 'b', kind: 'long' }), 'ok', 100_000)
  const blocker = h.submit({ customer: 'b', shape: shape(1, 8, 'worker'), expectedRunMs: 20_000 })
  h.start(blocker)
  const gangId = h.submit({ customer: 'a', shape: gang })
  h.advance(5500)
  const short = h.submit({ customer: 'b', kind: 'short' })
  const long = h.submit({ customer: 'b', kind: 'long' })
  return { h, blocker, gangId, short, long }
}

t.test('work that ends before a planned start runs on its capacity, longer work does not', async (t) => {
  const { h, short, long } = createPlan(true)
  t.equal(h.lastPlace(short)?.rule, 'backfill')
  t.equal(h.lastPlace(long), undefined)
  t.equal(createPlan(false).h.lastPlace(short), undefined)
})

t.test('backfilled work that overruns is preempted, so that the planned start is not delayed', async (t) => {
  const { h, blocker, gangId, short } = createPlan(true)
  h.start(short)
  h.advance(11_000)
  h.finish(blocker)
  t.equal(h.lastPlace(gangId), undefined)
  h.advance(4000)
  t.match(h.find('preempt'), [{ jobId: short, beneficiary: gangId, rule: 'planned-start' }])
  h.finish(short, 'preempted')
  t.ok(h.lastPlace(gangId))
})

t.test('a cancelled planned start releases its capacity', async (t) => {
  const { h, gangId, long } = createPlan(true)
  h.send({ type: 'cancel', jobId: gangId })
  t.ok(h.lastPlace(long))
})
