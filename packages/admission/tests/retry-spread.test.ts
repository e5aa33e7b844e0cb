import { RandomSource } from '@ibisstair/timers'
import t from 'tap'
import { getRetryDelayMs, MAX_RETRY_SPREAD_MS, MIN_RETRY_DELAY_MS, RetrySpread, RETURNS_PER_S } from '../src/index.ts'

t.test('the retry delay grows with the callers turned away and stays within its limits', async (t) => {
  for (const fraction of [0, 0.5, 0.999]) {
    const delays = [0, 1, 5, 20, 100, 1_000].map((rejections) => getRetryDelayMs(rejections, fraction))
    t.same(delays, [...delays].sort((a, b) => a - b))
    t.ok(delays[0]! >= MIN_RETRY_DELAY_MS && delays.at(-1)! <= MIN_RETRY_DELAY_MS + MAX_RETRY_SPREAD_MS)
  }
})

t.test('callers that an outage has turned away do not return together', async (t) => {
  // Replays an outage of 3 s with 100 callers a second at one entry. Guards against all of them calling a new leader at once.
  const random = new RandomSource(41)
  const spread = new RetrySpread()
  const returnsPerSecond = new Map<number, number>()
  for (let nowMs = 0; nowMs < 3_000; nowMs += 10) {
    const second = Math.floor((nowMs + spread.reject(nowMs, random.float())) / 1_000)
    returnsPerSecond.set(second, (returnsPerSecond.get(second) ?? 0) + 1)
  }
  const peak = Math.max(...returnsPerSecond.values())
  t.ok(peak <= 4 * RETURNS_PER_S, `${peak} callers return within one second, with a constant delay it is 100`)
  t.ok(spread.reject(10_000, 0.999) <= 1_000, 'a caller after the outage waits for a second at most')
})
