import { asId, type NodeId } from '@ibisstair/common'
import type { EndpointInfo } from '@ibisstair/model'
import t from 'tap'
import { AnnouncementForwarder } from '../src/index.ts'

const info = (sequence: number, leaving: boolean, incarnation = 1): EndpointInfo => ({
  id: asId('e'),
  incarnation,
  sequence,
  address: '127.0.0.1',
  port: 1,
  domain: asId('d'),
  rack: asId('r'),
  slots: 8,
  connections: 64,
  accelerators: 8,
  leaving
})
const nodes = (...names: string[]): NodeId[] => names.map((name) => asId(name))

// Guards against new work on a leaving endpoint after its only leave announcement was lost.
t.test('a leave announcement is repeated until each control process has acknowledged it', async (t) => {
  const forwarder = new AnnouncementForwarder()
  forwarder.handle({ type: 'targets', targets: nodes('x', 'y') }, 0)
  t.equal(forwarder.handle({ type: 'announce', info: info(1, false) }, 0).length, 2)
  t.same(forwarder.handle({ type: 'tick' }, 5_000), [], 'an ordinary announcement is sent once')
  t.equal(forwarder.handle({ type: 'announce', info: info(2, true) }, 5_000).length, 2)
  t.equal(forwarder.handle({ type: 'tick' }, 5_500).length, 2)
  forwarder.handle({ type: 'acknowledged', target: asId('x'), endpointId: asId('e'), incarnation: 1, sequence: 2 }, 5_600)
  forwarder.handle({ type: 'acknowledged', target: asId('y'), endpointId: asId('e'), incarnation: 1, sequence: 1 }, 5_600)
  t.match(forwarder.handle({ type: 'tick' }, 6_000), [{ target: 'y' }], 'the acknowledgement of an older announcement does not count')
  t.match(forwarder.handle({ type: 'targets', targets: nodes('x', 'y', 'z') }, 6_100), [{ target: 'z' }], 'a new control process receives the pending announcement')
  forwarder.handle({ type: 'targets', targets: nodes('x', 'z') }, 6_200)
  forwarder.handle({ type: 'acknowledged', target: asId('z'), endpointId: asId('e'), incarnation: 1, sequence: 2 }, 6_300)
  t.equal(forwarder.pendingCount, 0)
})

t.test('a leave announcement is no longer repeated after a restart of the endpoint or after the time limit', async (t) => {
  const forwarder = new AnnouncementForwarder()
  forwarder.handle({ type: 'targets', targets: nodes('x') }, 0)
  forwarder.handle({ type: 'announce', info: info(2, true) }, 0)
  t.same(forwarder.handle({ type: 'announce', info: info(1, true) }, 1), [], 'an older announcement is not forwarded')
  forwarder.handle({ type: 'announce', info: info(1, false, 2) }, 2)
  t.equal(forwarder.pendingCount, 0)
  forwarder.handle({ type: 'announce', info: info(2, true, 2) }, 10)
  t.same(forwarder.handle({ type: 'tick' }, 60_010), [])
  t.equal(forwarder.droppedCount, 1)
})
