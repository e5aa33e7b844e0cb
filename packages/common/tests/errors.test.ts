import t from 'tap'
import { ERROR_TABLE, IbisError, rankByRendezvous } from '../src/index.ts'

t.test('an error keeps kind, execution and retry time across the wire', async (t) => {
  const err = new IbisError('queue-full', 'queue of customer a holds 10 of 10', { retryAfterMs: 500, info: { limit: 10 } })
  const back = IbisError.fromBody(JSON.parse(JSON.stringify(err.toBody())))
  t.equal(back.kind, 'queue-full')
  t.equal(back.execution, 'not-run')
  t.equal(back.retryAfterMs, 500)
  t.same(back.details, { limit: 10 })
  t.equal(back.message, err.message)
})

t.test('no kind that may have run is marked as not run', async (t) => {
  for (const kind of ['timeout', 'outcome-unknown', 'unreachable', 'internal'] as const) {
    t.equal(ERROR_TABLE[kind].execution, 'unknown', kind)
  }
})

t.test('rendezvous ranking moves only the keys of a removed candidate', async (t) => {
  const all = ['cr-sj', 'cr-al', 'cr-he', 'cr-ca']
  const counts = new Map<string, number>()
  for (let i = 0; i < 4000; i++) {
    const key = `customer/${i}`
    const first = rankByRendezvous(key, all)[0]!
    counts.set(first, (counts.get(first) ?? 0) + 1)
    const without = rankByRendezvous(key, all.filter((d) => d !== 'cr-he'))[0]!
    if (first !== 'cr-he') t.equal(without, first)
  }
  for (const domain of all) {
    const share = (counts.get(domain) ?? 0) / 4000
    t.ok(share > 0.2 && share < 0.3, `${domain} holds ${share}`)
  }
})
