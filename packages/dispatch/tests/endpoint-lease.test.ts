import t from 'tap'
import { LEASE_END_MARGIN_MS } from '../src/constants.ts'
import { EndpointLease } from '../src/endpoint-lease.ts'

const LEASE_MAX_MS = 6_000
const ANNOUNCE_MS = 250

t.test('the lease of an endpoint that announces itself and answers no call ends', (t) => {
  // Each announcement began the margin after the end anew, so that the runs of such an endpoint were held for ever.
  const lease = new EndpointLease(0, LEASE_MAX_MS)
  lease.recordAnswer(1_000, 0)
  const untilMs = lease.extend(0)!
  for (let nowMs = ANNOUNCE_MS; nowMs <= 20_000; nowMs += ANNOUNCE_MS) lease.recordAnnouncement(1_000 + nowMs, nowMs)
  const endMs = lease.getEndMs()
  t.ok(endMs >= untilMs - 1_000, 'not before it has ended by the clock of the endpoint')
  t.ok(endMs <= LEASE_MAX_MS + LEASE_END_MARGIN_MS + ANNOUNCE_MS, `${endMs} ms`)
  t.end()
})

t.test('a grant after an announcement puts the end off', (t) => {
  const lease = new EndpointLease(0, LEASE_MAX_MS)
  lease.recordAnswer(1_000, 0)
  lease.recordAnnouncement(9_000, 8_000)
  const untilMs = lease.extend(8_000)!
  t.ok(lease.getEndMs() >= untilMs - 1_000)
  t.end()
})
