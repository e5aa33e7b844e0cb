import { asId, IbisError } from '@ibisstair/common'
import { toEndpointIncarnation } from '@ibisstair/jobs'
import { ManualTimerService } from '@ibisstair/timers'
import t from 'tap'
import { createEndpoint, createStep } from '../../jobs/tests/support/samples.ts'
import { EndpointSession } from '../src/endpoint-session.ts'
import { LongPolls } from '../src/long-polls.ts'
import { ReplacedEndpoints } from '../src/replaced-endpoints.ts'
import { TestCluster } from './support/test-cluster.ts'

const LIFE = toEndpointIncarnation(asId('w1'), 1)

/** Returns the endpoint's present life on the fleet. */
const lastLife = (cluster: TestCluster) => cluster.fleet.listRecords().at(-1)!.life

const settleMicrotasks = async (): Promise<void> => { for (let i = 0; i < 12; i++) await Promise.resolve() }

t.test('a removal that fails is tried again after a pause, one attempt at a time, until the endpoint is gone', async (t) => {
  const timers = new ManualTimerService()
  const attempts: Array<(err?: Error) => void> = []
  let isRegistered = true
  const replaced = new ReplacedEndpoints({
    timers,
    isRegistered: () => isRegistered,
    remove: () => new Promise((resolve, reject) => { attempts.push((err) => { if (err) reject(err); else resolve() }) }),
    log: () => {}
  })
  replaced.add(LIFE)
  replaced.add(LIFE)
  for (let i = 0; i < 20; i++) {
    timers.advance(250)
    replaced.retryDue()
  }
  t.equal(attempts.length, 1)
  attempts[0]!(new Error('no quorum'))
  await settleMicrotasks()
  replaced.retryDue()
  timers.advance(900)
  replaced.retryDue()
  t.equal(attempts.length, 1)
  timers.advance(100)
  replaced.retryDue()
  t.equal(attempts.length, 2)
  t.equal(replaced.has(LIFE), true)
  isRegistered = false
  attempts[1]!()
  await settleMicrotasks()
  timers.advance(5_000)
  replaced.retryDue()
  t.equal(replaced.has(LIFE), false)
  t.equal(attempts.length, 2)
})

t.test('a hand-over that a loss of the quorum interrupts is done after it, although the successor does not announce itself', async (t) => {
  // The session had closed itself, and the hand-over was not begun again.
  for (const delayMs of [1, 2, 3, 5, 20, 60]) {
    const cluster = new TestCluster(3, { runMs: 5_000 })
    cluster.elect()
    cluster.submit('a1', [createStep({ count: 32 })])
    await cluster.run(7)
    cluster.fleet.restartUnderId(cluster.endpoints[0]!.life)
    cluster.mutedAnnouncements.add(lastLife(cluster))
    await cluster.run(delayMs)
    cluster.hasQuorum = false
    await cluster.run(1_500)
    cluster.hasQuorum = true
    await cluster.run(40_000)
    t.equal(cluster.statusOf('a1'), 'completed', `quorum lost ${delayMs} ms after the restart`)
    t.same(cluster.fleet.violations, [])
  }
})

t.test('an endpoint is removed whose successor announced itself only while there was no quorum', async (t) => {
  // The announcement closed the session of the earlier life; its commit failed, and nothing asked for the removal.
  const cluster = new TestCluster(4, { runMs: 5_000 })
  cluster.elect()
  cluster.submit('a1', [createStep({ count: 32 })])
  await cluster.run(1_495)
  const { life } = cluster.endpoints[0]!
  cluster.fleet.restartUnderId(life)
  cluster.commitMs = 100
  await cluster.run(10)
  cluster.hasQuorum = false
  cluster.mutedAnnouncements.add(lastLife(cluster))
  await cluster.run(1_000)
  cluster.hasQuorum = true
  await cluster.run(30_000)
  t.equal(cluster.state.endpoints.get(life), undefined)
  t.equal(cluster.statusOf('a1'), 'completed')
  t.same(cluster.fleet.violations, [])
})

t.test('no work is ordered from an endpoint that was replaced while its removal awaits the commit', async (t) => {
  // The start was refused after its commit, since the endpoint was gone by then, and the work waited for another commit.
  const cluster = new TestCluster(5, { runMs: 5_000 })
  cluster.elect()
  cluster.submit('a1', [createStep()])
  await cluster.run(1_000)
  const [view] = cluster.fleet.listViews().filter(({ tasks }) => tasks.length > 0)
  const { life, id } = view!.record
  cluster.slowCommitMs = 2_500
  cluster.fleet.restartUnderId(life)
  cluster.mutedAnnouncements.add(lastLife(cluster))
  await cluster.run(700)
  t.ok(cluster.logLines.some(({ message }) => message.startsWith('another incarnation answers')))
  cluster.submit('a2', [createStep()])
  await cluster.run(4_000)
  const ordered = cluster.logLines.filter(({ message, fields }) => message === 'run ordered' && String(fields.task).startsWith('a2.'))
  t.equal(ordered.length, 1)
  t.not(ordered[0]!.fields.endpoint, id)
  await cluster.run(20_000)
  t.equal(cluster.statusOf('a2'), 'completed')
})

t.test('a session whose successor follows a newer leader calls it no more', async (t) => {
  const timers = new ManualTimerService()
  let stops = 0
  const port = {
    start: async () => { throw new IbisError('unreachable', 'no answer') },
    stop: async () => {
      stops += 1
      return { type: 'fenced' as const }
    },
    renew: async () => ({ type: 'wrong-incarnation' as const }),
    closeConnections: () => {}
  }
  const events = { handleEnds: async () => {}, handleReplaced: () => {}, handleFenced: () => {}, handleStartRefused: () => {}, handleRate: () => {}, isLeading: () => true, log: () => {} }
  const endpoint = createEndpoint('w1')
  const session = new EndpointSession({ endpoint, port, timers, fencingToken: 1, leaseMaxMs: 6_000, longPolls: new LongPolls(), events })
  session.adopt({ task: asId('a1.0.0.0'), run: 1, endpoint: endpoint.life, startedAtMs: 0 })
  await settleMicrotasks()
  for (let i = 0; i < 3; i++) await t.rejects(session.handOver(), /newer leader/)
  t.equal(stops, 1)
})
