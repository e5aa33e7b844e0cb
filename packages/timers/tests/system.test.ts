import t from 'tap'
import { SystemTimerService } from '../src/index.ts'

// Guards against a deadline check that runs shortly before the deadline, because its timer fired early, and is never repeated.
t.test('a timer never fires before its due time on the clock of the timer service', async (t) => {
  const timers = new SystemTimerService()
  const early: number[] = []
  await Promise.all(Array.from({ length: 400 }, async (_, i) => {
    const dueMs = timers.now() + 1 + i * 0.13
    await timers.delay(dueMs - timers.now())
    if (timers.now() < dueMs) early.push(dueMs - timers.now())
  }))
  t.same(early, [])
})

t.test('a cancelled timer does not fire', async (t) => {
  const timers = new SystemTimerService()
  let fired = false
  const cancel = timers.subscribe(5, () => { fired = true })
  cancel()
  await timers.delay(20)
  t.notOk(fired)
})
