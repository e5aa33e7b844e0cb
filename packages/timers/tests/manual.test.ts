import t from 'tap'
import { ManualTimerService, RandomSource } from '../src/index.ts'

t.test('timers fire in order of due time, and those with equal due times in order of subscription', async (t) => {
  const timers = new ManualTimerService()
  const fired: string[] = []
  timers.subscribe(20, () => fired.push('c'))
  timers.subscribe(10, () => fired.push('a'))
  timers.subscribe(10, () => fired.push('b'))
  const cancel = timers.subscribe(15, () => fired.push('cancelled'))
  cancel()
  timers.advance(30)
  t.same(fired, ['a', 'b', 'c'])
  t.equal(timers.now(), 30)
})

t.test('a periodic timer stops when its own callback unsubscribes it', async (t) => {
  const timers = new ManualTimerService()
  let count = 0
  const stop = timers.every(10, () => {
    count += 1
    if (count === 3) stop()
  })
  timers.advance(100)
  t.equal(count, 3)
})

t.test('two random sources with the same seed produce the same numbers', async (t) => {
  const draw = (): number[] => {
    const random = new RandomSource(7)
    return Array.from({ length: 20 }, () => random.int(0, 1000))
  }
  t.same(draw(), draw())
})
