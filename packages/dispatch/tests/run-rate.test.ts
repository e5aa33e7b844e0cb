import t from 'tap'
import { RunRate } from '../src/run-rate.ts'

const SECOND_MS = 1_000

/** Returns the rate of a run that began at 0, reported these percents each second, and ended if `endMs` is given. */
const getMsPerPercent = (percents: readonly number[], endMs?: number): number | null => {
  const rate = new RunRate()
  rate.begin(0)
  percents.forEach((percent, i) => rate.record(percent, (i + 1) * SECOND_MS))
  return (endMs === undefined ? rate.get() : rate.getAtEnd(endMs))?.msPerPercent ?? null
}

t.test('the first report after the start gives a rate, and the end one of the whole run', async (t) => {
  t.equal(getMsPerPercent([]), null)
  t.equal(getMsPerPercent([20]), 50)
  t.equal(getMsPerPercent([20, 40, 60, 80], 5_000), 50)
  t.equal(getMsPerPercent([], 3_000), 30, 'a run that ended before its first report')
})

t.test('stalls and jumps do not change the rate', async (t) => {
  // Guards against an endpoint that counts as slow after it was frozen for some seconds.
  t.equal(getMsPerPercent([20, 40, 40, 40, 40, 45, 65, 85]), 50)
  t.equal(getMsPerPercent([10, 20, 30, 95]), 100)
})

t.test('a run whose progress makes no sense has no rate', async (t) => {
  for (const percents of [[50, 40], [20, 120], [NaN, 20], [-5, 10]]) {
    t.equal(getMsPerPercent(percents), null)
    t.equal(getMsPerPercent(percents, 5_000), null)
  }
})

t.test('a run that an earlier leader started has a rate once it advances, and none at its end', async (t) => {
  const rate = new RunRate()
  t.equal(rate.record(40, 1_000), true)
  t.equal(rate.get(), null)
  rate.record(60, 2_000)
  t.same(rate.get(), { msPerPercent: 50, observedMs: 1_000 })
  t.equal(rate.getAtEnd(4_000), null, 'it may have resumed from a checkpoint')
  rate.discard()
  t.equal(rate.get(), null)
})
