import { asId, type NodeId } from '@ibisstair/common'
import t from 'tap'
import { MAX_RELAY_RETRY_MS, MIN_DIRECT_PROBE_INTERVAL_MS } from '../src/constants.ts'
import { EndpointPath } from '../src/index.ts'

const RELAYS = ['e1', 'e2', 'e3'].map((node) => asId<NodeId>(node))

t.test('a renewal without an answer is followed by one through a relay, which stays while it works', async (t) => {
  const path = new EndpointPath()
  t.same(path.current, { type: 'direct' })
  path.recordFailure(path.current, RELAYS, 0)
  t.same(path.current, { type: 'relayed', relay: 'e1' })
  t.ok(path.recordAnswer(path.current, 700))
  t.notOk(path.recordAnswer(path.current, 900), 'it is established once')
  t.same(path.current, { type: 'relayed', relay: 'e1' })
})

t.test('without relays the direct path is used', async (t) => {
  const path = new EndpointPath()
  path.recordFailure(path.current, [], 0)
  t.same(path.current, { type: 'direct' })
})

t.test('an endpoint that no relay reaches is asked through relays less and less often', async (t) => {
  const path = new EndpointPath()
  const attempts: number[] = []
  for (let nowMs = 0; nowMs < 60_000; nowMs += 1_000) {
    if (path.current.type === 'relayed') attempts.push(nowMs)
    path.recordFailure(path.current, RELAYS, nowMs)
  }
  t.ok(attempts.length >= 5 && attempts.length <= 20, `${attempts.length} attempts`)
  t.ok(attempts.filter((atMs) => atMs >= 30_000).length <= 8, 'at most two for each pause')
  const gaps = attempts.slice(1).map((atMs, i) => atMs - attempts[i]!)
  t.ok(Math.max(...gaps) <= MAX_RELAY_RETRY_MS + 2_000, `gaps of ${gaps.join()} ms`)
})

t.test('relays that reach nothing take turns with the direct path and with each other', async (t) => {
  const path = new EndpointPath()
  const used: string[] = []
  for (let nowMs = 0; nowMs < 90_000; nowMs += 10_000) {
    path.recordFailure(path.current, RELAYS, nowMs)
    used.push(path.current.type === 'relayed' ? path.current.relay : 'direct')
  }
  t.same(used, ['e1', 'e2', 'direct', 'e3', 'e1', 'direct', 'e2', 'e3', 'direct'])
})

t.test('a single relay takes turns with the direct path', async (t) => {
  const path = new EndpointPath()
  const used: string[] = []
  for (let nowMs = 0; nowMs < 40_000; nowMs += 10_000) {
    path.recordFailure(path.current, RELAYS.slice(0, 1), nowMs)
    used.push(path.current.type)
  }
  t.same(used, ['relayed', 'direct', 'relayed', 'direct'])
})

t.test('when a relay that has worked gives no answer, the next one is asked at once', async (t) => {
  const path = new EndpointPath()
  path.recordFailure(path.current, RELAYS, 0)
  path.recordAnswer(path.current, 100)
  path.recordFailure(path.current, RELAYS, 200)
  t.same(path.current, { type: 'relayed', relay: 'e2' })
})

t.test('the direct path is probed while calls are relayed, and used again once it works', async (t) => {
  const path = new EndpointPath()
  path.recordFailure(path.current, RELAYS, 0)
  t.notOk(path.isProbeDue(1e9), 'not before the relay has reached the endpoint')
  path.recordAnswer(path.current, 100)
  t.notOk(path.isProbeDue(101))
  t.ok(path.isProbeDue(100 + MIN_DIRECT_PROBE_INTERVAL_MS))
  path.beginProbe(3_000)
  t.notOk(path.isProbeDue(3_001))
  path.recordDirectAnswer()
  t.same(path.current, { type: 'direct' })
  t.notOk(path.isProbeDue(1e9))
})

t.test('the outcome of a call on an earlier path changes nothing', async (t) => {
  const path = new EndpointPath()
  const direct = path.current
  path.recordFailure(direct, RELAYS, 0)
  path.recordFailure(direct, RELAYS, 10)
  t.notOk(path.recordAnswer(direct, 20))
  t.same(path.current, { type: 'relayed', relay: 'e1' })
})
