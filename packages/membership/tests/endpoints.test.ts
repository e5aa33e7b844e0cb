import { asId } from '@ibisstair/common'
import type { EndpointInfo } from '@ibisstair/model'
import { RandomSource } from '@ibisstair/timers'
import fc from 'fast-check'
import t from 'tap'
import { EndpointDirectory, type EndpointChange } from '../src/index.ts'

const info = (name: string, sequence: number, overrides: Partial<EndpointInfo> = {}): EndpointInfo => ({
  id: asId(name),
  incarnation: 1,
  sequence,
  address: '127.0.0.1',
  port: 1,
  domain: asId('d'),
  rack: asId('r'),
  slots: 8,
  connections: 64,
  accelerators: 8,
  leaving: false,
  ...overrides
})

const announce = (directory: EndpointDirectory, announced: EndpointInfo, nowMs: number): EndpointChange[] =>
  directory.handle({ type: 'announce', info: announced }, nowMs)
const tick = (directory: EndpointDirectory, nowMs: number): EndpointChange[] => directory.handle({ type: 'tick' }, nowMs)

t.test('announcements are ordered by incarnation, then by sequence number', async (t) => {
  const directory = new EndpointDirectory()
  t.match(announce(directory, info('a', 5), 0), [{ type: 'up' }])
  t.same(announce(directory, info('a', 6), 1), [], 'an announcement without changes is not reported')
  t.same(announce(directory, info('a', 5, { leaving: true }), 2), [], 'an older announcement is ignored')
  t.match(announce(directory, info('a', 7, { leaving: true }), 3), [{ type: 'up', info: { leaving: true } }])
  t.same(directory.listUsable(), [])
  t.match(announce(directory, info('a', 1, { incarnation: 2 }), 4), [{ type: 'down', reason: 'restarted', incarnation: 1 }, { type: 'up', info: { incarnation: 2 } }])
  t.same(announce(directory, info('a', 9), 5), [], 'an announcement of an earlier incarnation is ignored')
  t.equal(directory.getStats().stale, 2)
})

// Guards against a delayed announcement that revives an expired endpoint or postpones its expiry.
t.test('an endpoint expires, and only a newer announcement brings it back', async (t) => {
  const directory = new EndpointDirectory()
  announce(directory, info('a', 5), 0)
  announce(directory, info('a', 5), 3_000)
  t.same(tick(directory, 3_499), [])
  t.match(tick(directory, 3_500), [{ type: 'down', reason: 'expired', inMass: false }])
  t.same(announce(directory, info('a', 4), 3_600), [])
  t.same(directory.list(), [])
  t.match(announce(directory, info('a', 6), 3_700), [{ type: 'up' }])
})

t.test('a leaving endpoint that stops announcing itself is reported as left', async (t) => {
  const directory = new EndpointDirectory()
  announce(directory, info('a', 1, { leaving: true }), 0)
  t.match(tick(directory, 3_500), [{ type: 'down', reason: 'left' }])
})

t.test('failed calls make an endpoint unreachable until a probe succeeds', async (t) => {
  const directory = new EndpointDirectory()
  announce(directory, info('a', 1), 0)
  const fail = (nowMs: number): EndpointChange[] => directory.handle({ type: 'call-failed', endpointId: asId('a') }, nowMs)
  t.same([...fail(1), ...fail(2)], [])
  directory.handle({ type: 'call-ok', endpointId: asId('a') }, 3)
  t.same([...fail(4), ...fail(5)], [], 'only consecutive failures count')
  t.match(fail(6), [{ type: 'down', reason: 'unreachable' }])
  t.same(announce(directory, info('a', 2), 7), [], 'an announcement does not show that calls reach the endpoint')
  t.same(directory.listUsable(), [])
  t.match(tick(directory, 506), [{ type: 'probe', endpointId: 'a' }])
  t.same(tick(directory, 507), [], 'one probe at a time')
  fail(600)
  t.same(tick(directory, 1_599), [], 'the delay doubles')
  t.match(tick(directory, 1_600), [{ type: 'probe' }])
  t.match(directory.handle({ type: 'call-ok', endpointId: asId('a') }, 1_601), [{ type: 'up' }])
})

t.test('a mass expiry is reported as soon as its first endpoint expires, before the individual expiries', async (t) => {
  const directory = new EndpointDirectory()
  for (let i = 0; i < 10; i++) announce(directory, info(`e${i}`, 1), i * 100)
  const changes = tick(directory, 3_500)
  t.match(changes, [{ type: 'mass-expiry', known: 10 }, { type: 'down', endpointId: 'e0', inMass: true }])
  t.equal(changes[0]?.type === 'mass-expiry' && changes[0].overdue.length, 10)
})

t.test('the expiry of one rack in a larger domain is not a mass expiry', async (t) => {
  const directory = new EndpointDirectory()
  for (let i = 0; i < 30; i++) announce(directory, info(`e${i}`, 1), 0)
  for (let i = 6; i < 30; i++) announce(directory, info(`e${i}`, 2), 3_000)
  const changes = tick(directory, 3_500)
  t.equal(changes.length, 6)
  t.ok(changes.every((change) => change.type === 'down' && !change.inMass))
})

t.test('the number of endpoints is bounded and rejections are counted', async (t) => {
  const directory = new EndpointDirectory({ maxEndpoints: 2 })
  announce(directory, info('a', 1), 0)
  announce(directory, info('b', 1), 1_000)
  t.same(announce(directory, info('c', 1), 1_001), [])
  t.equal(directory.getStats().rejected, 1)
  tick(directory, 3_600)
  t.match(announce(directory, info('c', 2), 3_601), [{ type: 'up' }], 'an expired endpoint is evicted for a new one')
})

// Guards against a directory that does not end with the newest announcement of each endpoint when announcements are reordered, duplicated or lost.
t.test('the newest announcement wins in any order of arrival (seed 21, 300 runs)', async (t) => {
  const announcement = fc.record({
    name: fc.constantFrom('a', 'b', 'c'),
    incarnation: fc.integer({ min: 1, max: 3 }),
    sequence: fc.integer({ min: 1, max: 5 }),
    leaving: fc.boolean()
  })
  const property = fc.property(fc.array(announcement, { maxLength: 40, size: 'max' }), fc.integer(), (list, seed) => {
    // Announcements with the same endpoint, incarnation and sequence number have the same content.
    const unique = [...new Map(list.map((a) => [`${a.name}/${a.incarnation}/${a.sequence}`, a])).values()]
    const directory = new EndpointDirectory()
    const up = new Map<string, EndpointInfo>()
    new RandomSource(seed).shuffle([...unique, ...unique]).forEach(({ name, incarnation, sequence, leaving }, i) => {
      for (const change of announce(directory, info(name, sequence, { incarnation, leaving }), i)) {
        if (change.type === 'up') up.set(change.info.id, change.info)
        if (change.type === 'down') up.delete(change.endpointId)
      }
    })
    for (const name of ['a', 'b', 'c']) {
      const newest = unique.filter((a) => a.name === name).sort((a, b) => b.incarnation - a.incarnation || b.sequence - a.sequence)[0]
      const actual = directory.get(asId(name))
      if (newest?.incarnation !== actual?.incarnation || newest?.sequence !== actual?.sequence) return false
      if (up.get(name)?.incarnation !== newest?.incarnation || up.get(name)?.leaving !== newest?.leaving) return false
    }
    return true
  })
  fc.assert(property, { seed: 21, numRuns: 300 })
  t.pass('seed 21')
})
