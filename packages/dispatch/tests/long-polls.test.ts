import t from 'tap'
import { LongPolls } from '../src/long-polls.ts'

t.test('renewals beyond the limit do not wait, so that the descriptors of the leader suffice', async (t) => {
  const longPolls = new LongPolls(2)
  const waitedMs: number[] = []
  const answers: Array<() => void> = []
  const renew = (waitMs: number): Promise<void> => {
    waitedMs.push(waitMs)
    return waitMs === 0 ? Promise.resolve() : new Promise((resolve) => { answers.push(resolve) })
  }
  const first = longPolls.run(1_500, renew)
  const second = longPolls.run(500, renew)
  await longPolls.run(1_500, renew)
  t.same(waitedMs, [1_500, 500, 0])
  answers[0]!()
  await first
  const third = longPolls.run(1_500, renew)
  t.equal(waitedMs.at(-1), 1_500)
  for (const answer of answers) answer()
  await Promise.all([second, third])
})

t.test('a renewal that fails frees its place', async (t) => {
  const longPolls = new LongPolls(1)
  await t.rejects(longPolls.run(1_500, () => Promise.reject(new Error('no answer'))))
  t.equal(await longPolls.run(1_500, (waitMs) => Promise.resolve(waitMs)), 1_500)
})
