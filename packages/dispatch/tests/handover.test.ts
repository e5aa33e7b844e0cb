import { asId, IbisError, type TaskId } from '@ibisstair/common'
import { ManualTimerService } from '@ibisstair/timers'
import t from 'tap'
import { createEndpoint } from '../../jobs/tests/support/samples.ts'
import { Handover } from '../src/handover.ts'
import type { EndpointPort, EndpointReport, OrderResult, RenewResult } from '../src/index.ts'

const TASK = asId<TaskId>('a1.0.0.0')
const RUN = { task: TASK, run: 1 }
const LEASE_MAX_MS = 6_000

const createReport = (part: Partial<EndpointReport>): EndpointReport => ({ clockMs: 0, running: [], ended: [], hasMore: false, ...part })

interface Answers {
  stop (): OrderResult
  renew (): RenewResult
}

const settle = async (answers: Answers, isLeading = (): boolean => true) => {
  const timers = new ManualTimerService()
  const port: EndpointPort = {
    start: async () => { throw new IbisError('internal', 'a hand-over starts nothing') },
    stop: async () => answers.stop(),
    renew: async () => answers.renew(),
    closeConnections: () => {}
  }
  const handover = new Handover({ endpoint: createEndpoint('w1'), port, timers, fencingToken: 1, leaseMaxMs: LEASE_MAX_MS, isLeading, log: () => {} }, [RUN])
  let result: unknown = 'open'
  handover.settle().then((ends) => { result = ends }, (err: unknown) => { result = IbisError.from(err).kind })
  const runUntil = async (untilMs: number): Promise<unknown> => {
    while (timers.now() < untilMs) {
      for (let i = 0; i < 12; i++) await Promise.resolve()
      if (!timers.runNext(untilMs)) timers.advance(untilMs - timers.now())
    }
    for (let i = 0; i < 12; i++) await Promise.resolve()
    return result
  }
  return { runUntil }
}

const noAnswer = (): never => { throw new IbisError('unreachable', 'no answer') }

t.test('a run whose stop gets no answer does not count as ended before every lease and late order is over', async (t) => {
  // It counted as ended after 1.5 s, and the task was started elsewhere while the new life of the endpoint ran it.
  const { runUntil } = await settle({ stop: noAnswer, renew: noAnswer })
  t.equal(await runUntil(12_000 + LEASE_MAX_MS), 'open')
  t.same(await runUntil(19_000), [])
})

t.test('a hand-over returns the end that the successor lists once the stop is answered', async (t) => {
  let isReachable = false
  const ended = [{ number: 1, ...RUN, outcome: 'done' as const, checkpoint: 'c' }]
  const { runUntil } = await settle({
    stop: () => isReachable ? { type: 'ok', clockMs: 0 } : noAnswer(),
    renew: () => ({ type: 'wrong-incarnation', successorReport: createReport({ ended }) })
  })
  t.equal(await runUntil(5_000), 'open')
  isReachable = true
  t.same(await runUntil(6_000), [{ ...RUN, outcome: 'done', checkpoint: 'c' }])
})

t.test('a run that the successor still lists as active, or may list as ended later, is waited for', async (t) => {
  let report = createReport({ running: [{ ...RUN, percent: 10 }] })
  const { runUntil } = await settle({ stop: () => ({ type: 'ok', clockMs: 0 }), renew: () => ({ type: 'wrong-incarnation', successorReport: report }) })
  t.equal(await runUntil(2_000), 'open')
  report = createReport({ hasMore: true })
  t.equal(await runUntil(4_000), 'open')
  report = createReport({})
  t.same(await runUntil(5_000), [])
})

t.test('a run is lost at once when an endpoint with another id has the address', async (t) => {
  const { runUntil } = await settle({ stop: () => ({ type: 'wrong-incarnation' }), renew: noAnswer })
  t.same(await runUntil(100), [])
})

t.test('a hand-over ends without a decision when leadership ends', async (t) => {
  let isLeading = true
  const { runUntil } = await settle({ stop: noAnswer, renew: noAnswer }, () => isLeading)
  await runUntil(1_000)
  isLeading = false
  t.equal(await runUntil(2_000), 'not-leader')
  const fenced = await settle({ stop: () => ({ type: 'fenced' }), renew: noAnswer })
  t.equal(await fenced.runUntil(100), 'not-leader')
})
