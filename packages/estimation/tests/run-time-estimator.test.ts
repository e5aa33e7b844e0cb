import { asId, type CustomerId } from '@ibisstair/common'
import { RandomSource } from '@ibisstair/timers'
import t from 'tap'
import { MAX_SHARED_GROUPS, RunTimeEstimator, type SharedRunTimes, type WorkGroup } from '../src/index.ts'

const HALF_LIFE_SAMPLES = 16

const workOf = (customer: string, queue = 'q', accelerators = 1): WorkGroup => ({ customer: asId<CustomerId>(customer), queue, accelerators })

/** Draws a run time with a spread of 0.4, which 3 in 100 runs exceed by seven times, and an estimate that is off by up to `error`. */
const drawRun = (random: RandomSource, meanMs: number, error: number, bias = 1): { readonly runMs: number, readonly usualMs: number, readonly estimateMs: number } => {
  const usualMs = meanMs * (0.6 + 0.8 * random.float())
  const estimateMs = bias * usualMs * (1 + error * (2 * random.float() - 1))
  return { runMs: random.float() < 0.03 ? 7 * usualMs : usualMs, usualMs, estimateMs }
}

const isNear = (actual: number, expected: number, share: number): boolean => Math.abs(actual - expected) <= share * expected

t.test('run times are learned; until then the declared one has a wide range', async (t) => {
  const times = new RunTimeEstimator()
  const work = workOf('a')
  t.match(times.estimate(work, 1000), { lowMs: 100, p90Ms: 10_000, samples: 0 })
  for (let i = 0; i < 20; i++) times.record(work, { runMs: 5000 })
  const learned = times.estimate(work, 1000)
  t.ok(Math.abs(learned.p50Ms - 5000) < 500, `${learned.p50Ms}`)
  for (let i = 0; i < 500; i++) times.record(work, { runMs: 500 })
  t.ok(times.estimate(work, 1000).p90Ms < 600, 'follows a change')
})

t.test('predictions are closer than estimates that are off by nine tenths, in spite of runs that take seven times as long', async (t) => {
  for (const bias of [0.2, 1, 3]) {
    const random = new RandomSource(7)
    const times = new RunTimeEstimator({ halfLifeSamples: HALF_LIFE_SAMPLES })
    let submittedError = 0
    let predictedError = 0
    for (let i = 0; i < 400; i++) {
      const { runMs, usualMs, estimateMs } = drawRun(random, 2_500, 0.9, bias)
      const predictedMs = times.predict(workOf('a'), estimateMs)?.p50Ms
      if (predictedMs !== undefined) {
        predictedError += Math.abs(Math.log(predictedMs / usualMs))
        submittedError += Math.abs(Math.log(estimateMs / usualMs))
      }
      times.record(workOf('a'), { runMs, estimateMs })
    }
    t.ok(predictedError < 0.6 * submittedError, `bias ${bias}: ${predictedError} against ${submittedError}`)
  }
})

t.test('exact estimates of a queue with work of all sizes still tell its sizes apart', async (t) => {
  const random = new RandomSource(8)
  const times = new RunTimeEstimator({ halfLifeSamples: HALF_LIFE_SAMPLES })
  for (let i = 0; i < 100; i++) {
    const runMs = 500 * 100 ** random.float()
    times.record(workOf('a'), { runMs, estimateMs: 2 * runMs })
  }
  t.ok(isNear(times.predict(workOf('a'), 2_000)!.p50Ms, 1_000, 0.25), `${times.predict(workOf('a'), 2_000)!.p50Ms}`)
  t.ok(isNear(times.predict(workOf('a'), 40_000)!.p50Ms, 20_000, 0.25), `${times.predict(workOf('a'), 40_000)!.p50Ms}`)
  t.ok(times.predict(workOf('a'), 1e12)!.p50Ms < 60_000, 'an estimate beyond those seen does not extrapolate')
})

t.test('queues with different bias are learned apart, and few samples of a queue change nothing', async (t) => {
  const random = new RandomSource(9)
  const times = new RunTimeEstimator({ halfLifeSamples: HALF_LIFE_SAMPLES })
  for (let i = 0; i < 60; i++) {
    times.record(workOf('a', 'low'), drawRun(random, 2_500, 0.5, 0.3))
    times.record(workOf('a', 'high'), drawRun(random, 8_500, 0.5, 4))
  }
  for (let i = 0; i < 4; i++) times.record(workOf('a', 'new'), { runMs: 9_000, estimateMs: 1_000 })
  t.ok(isNear(times.predict(workOf('a', 'low'), 750)!.p50Ms, 2_500, 0.3))
  t.ok(isNear(times.predict(workOf('a', 'high'), 34_000)!.p50Ms, 8_500, 0.3))
  t.equal(times.predict(workOf('a', 'new'), 1_000), null)
  const ratios = new Map(times.listLearnedQueues().map(({ queue, estimateRatio }) => [queue, estimateRatio!]))
  t.ok(isNear(ratios.get('low')!, 1 / 0.3, 0.3))
  t.ok(isNear(ratios.get('high')!, 0.25, 0.3))
  t.notOk(ratios.has('new'))
})

t.test('a queue that changes its behaviour is followed within some dozen runs', async (t) => {
  const times = new RunTimeEstimator({ halfLifeSamples: HALF_LIFE_SAMPLES })
  for (let i = 0; i < 500; i++) times.record(workOf('a'), { runMs: 2_000, estimateMs: 2_000 })
  for (let i = 0; i < 24; i++) times.record(workOf('a'), { runMs: 10_000, estimateMs: 2_000 })
  t.ok(isNear(times.predict(workOf('a'), 2_000)!.p50Ms, 10_000, 0.1))
})

t.test('the runs of one customer do not change what is expected of another', async (t) => {
  // A flood of one customer once could have decided the run times of a whole queue.
  const times = new RunTimeEstimator({ halfLifeSamples: HALF_LIFE_SAMPLES })
  for (const customer of ['a', 'b', 'c', 'd']) for (let i = 0; i < 6; i++) times.record(workOf(customer), { runMs: 2_500, estimateMs: 2_500 })
  const before = times.predict(workOf('a'), 3_000)
  const beforeOfNew = times.predict(workOf('new'), 3_000)!
  for (let i = 0; i < 2_000; i++) times.record(workOf('flood'), { runMs: 60_000, estimateMs: 10 })
  t.same(times.predict(workOf('a'), 3_000), before)
  t.ok(isNear(times.predict(workOf('new'), 3_000)!.p50Ms, beforeOfNew.p50Ms, 0.05), 'each customer counts once for a new one')
  t.equal(times.predict(workOf('new', 'other'), 3_000), null)
  const alone = new RunTimeEstimator()
  for (let i = 0; i < 2_000; i++) alone.record(workOf('flood'), { runMs: 60_000, estimateMs: 10 })
  t.equal(alone.predict(workOf('new'), 3_000), null, 'a single customer decides for no other')
})

t.test('the tasks of one step count as one sample together, and the number of groups is bounded', async (t) => {
  const times = new RunTimeEstimator()
  for (let i = 0; i < 39; i++) times.record(workOf('a'), { runMs: 9_000, estimateMs: 9_000, weight: 1 / 39 })
  t.equal(times.predict(workOf('a'), 9_000), null)
  for (let i = 0; i < 10; i++) times.record(workOf('kept'), { runMs: 9_000 })
  for (let i = 0; i < 3_000; i++) {
    times.record(workOf(`c${i}`), { runMs: 1_000 })
    if (i % 100 === 0) times.record(workOf('kept'), { runMs: 9_000 })
  }
  t.ok(times.predict(workOf('kept'), 9_000), 'groups in use stay')
  t.equal(times.estimate(workOf('c0'), 1_000).samples, 0)
})

t.test('another process continues from a snapshot, with what it has learned itself', async (t) => {
  const random = new RandomSource(10)
  const times = new RunTimeEstimator({ halfLifeSamples: HALF_LIFE_SAMPLES })
  for (const customer of ['a', 'b', 'c']) for (let i = 0; i < 60; i++) times.record(workOf(customer), drawRun(random, 2_500, 0.5, 2))
  const snapshot = JSON.parse(JSON.stringify(times.toSnapshot())) as SharedRunTimes[]
  const successor = new RunTimeEstimator({ halfLifeSamples: HALF_LIFE_SAMPLES })
  successor.record(workOf('c'), { runMs: 9_000, estimateMs: 9_000 })
  successor.restore(snapshot)
  for (const work of [workOf('a'), workOf('new')]) {
    for (const estimateMs of [4_000, 6_000]) {
      const [before, after] = [times, successor].map((estimator) => estimator.predict(work, estimateMs)!)
      t.ok(isNear(after!.p50Ms, before!.p50Ms, 0.15), `${after!.p50Ms} for ${before!.p50Ms}`)
      t.ok(isNear(after!.p90Ms, before!.p90Ms, 0.25), `${after!.p90Ms} for ${before!.p90Ms}`)
    }
  }
  t.equal(successor.estimate(workOf('c'), 1_000).samples, 1, 'own samples are not overwritten')
  for (let i = 0; i < 30; i++) successor.record(workOf('a'), { runMs: 10_000, estimateMs: 5_000 })
  t.ok(isNear(successor.predict(workOf('a'), 5_000)!.p50Ms, 10_000, 0.1), 'a snapshot does not outweigh what follows')
  for (let i = 0; i < 2_000; i++) times.record(workOf(`c${i}`), { runMs: 1_000 })
  t.equal(times.toSnapshot().length, MAX_SHARED_GROUPS)
})
