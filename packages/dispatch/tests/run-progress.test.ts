import t from 'tap'
import { RunProgress } from '../src/run-progress.ts'

t.test('the remaining time follows from the rate of the reports', async (t) => {
  const progress = new RunProgress()
  t.equal(progress.estimateRemainingMs(0), null)
  progress.record(40, 1_000)
  t.equal(progress.estimateRemainingMs(1_000), null, 'one report gives no rate: the run may have resumed from a checkpoint')
  progress.record(60, 2_000)
  t.equal(progress.estimateRemainingMs(2_000), 2_000)
  t.equal(progress.estimateRemainingMs(3_500), 500)
})

t.test('a run that stalls is not expected to end', async (t) => {
  const progress = new RunProgress()
  progress.record(0, 0)
  progress.record(90, 900)
  for (let atMs = 1_000; atMs < 3_000; atMs += 100) progress.record(90, atMs)
  t.equal(progress.estimateRemainingMs(950), 50)
  t.equal(progress.estimateRemainingMs(3_000), null)
})

t.test('unreadable percentages are ignored', async (t) => {
  const progress = new RunProgress()
  for (const percent of [NaN, -1, 101, Infinity]) progress.record(percent, 0)
  progress.record(10, 0)
  progress.record(20, 1_000)
  t.equal(progress.estimateRemainingMs(1_000), 8_000)
})
