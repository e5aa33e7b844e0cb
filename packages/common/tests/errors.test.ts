import t from 'tap'
import { ERROR_TABLE, IbisError, rankByRendezvous } from '../src/index.ts'

t.test('an error keeps its kind, execution, retry time, details and message when it is sent as JSON', async (t) => {
  const err = new IbisError('queue-full', 'queue of customer a holds 10 of 10', { retryAfterMs: 500, info: { limit: 10 } })
  const received = IbisError.fromBody(JSON.parse(JSON.stringify(err.toBody())))
  t.equal(received.kind, 'queue-full')
  t.equal(received.execution, 'not-run')
  t.equal(received.retryAfterMs, 500)
  t.same(received.details, { limit: 10 })
  t.equal(received.message, err.message)
})

t.test('error kinds whose work may have run have execution unknown', async (t) => {
  for (const kind of ['timeout', 'outcome-unknown', 'unreachable', 'internal'] as const) {
    t.equal(ERROR_TABLE[kind].execution, 'unknown', kind)
  }
})

t.test('removing a candidate moves only its own keys, and the keys are spread evenly', async (t) => {
  const all = ['cr-sj', 'cr-al', 'cr-he', 'cr-ca']
  const counts = new Map<string, number>()
  for (let i = 0; i < 4000; i++) {
    const key = `customer/${i}`
    const first = rankByRendezvous(key, all)[0]!
    counts.set(first, (counts.get(first) ?? 0) + 1)
    const firstWithout = rankByRendezvous(key, all.filter((d) => d !== 'cr-he'))[0]!
    if (first !== 'cr-he') t.equal(firstWithout, first)
  }
  for (const domain of all) {
    const share = (counts.get(domain) ?? 0) / 4000
    t.ok(share > 0.2 && share < 0.3, `${domain} holds ${share}`)
  }
})
