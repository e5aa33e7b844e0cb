import t from 'tap'
import { DecayingUsage, getDominantShare, getFairShare, rankShare, SHARE_STEP, USAGE_DECAY_MS } from '../src/index.ts'

t.test('the dominant share is the largest over all resources, by weight', async (t) => {
  const total = { cores: 100, accelerators: 10 }
  t.equal(getDominantShare({ cores: 10, accelerators: 5 }, total), 0.5)
  t.equal(getDominantShare({ cores: 90, accelerators: 5 }, total, 3), 0.3)
})

t.test('use of a resource that is gone gives a finite share', async (t) => {
  // An infinite share would make all orders with it undefined.
  t.equal(getDominantShare({ accelerators: 4 }, { accelerators: 0 }), 4)
})

t.test('customers below their fair share are equal, and small differences beyond it don\'t count', async (t) => {
  const fair = getFairShare(4)
  t.equal(rankShare(0, fair), rankShare(0.24, fair))
  t.equal(rankShare(fair + 0.01, fair), rankShare(fair + 0.9 * SHARE_STEP, fair))
  t.ok(rankShare(0.24, fair) < rankShare(fair, fair))
  t.ok(rankShare(fair, fair) < rankShare(fair + 1.5 * SHARE_STEP, fair))
  t.equal(getFairShare(0), 1, 'without customers nothing is divided by 0')
})

t.test('usage is remembered for a while and then forgotten', async (t) => {
  const usage = new DecayingUsage<string>()
  t.equal(usage.record('a', 0.8, 0), 0.8)
  const halfway = usage.record('a', 0, USAGE_DECAY_MS)
  t.ok(halfway > 0.25 && halfway < 0.35)
  t.ok(usage.record('a', 0, 10 * USAGE_DECAY_MS) < 0.001)
  t.equal(usage.record('a', 0.5, 0), usage.record('a', 0.1, 0), 'a clock that goes back changes nothing')
  usage.removeOlderThan(10 * USAGE_DECAY_MS)
  t.equal(usage.size, 0, 'customers that are gone take no memory')
})
