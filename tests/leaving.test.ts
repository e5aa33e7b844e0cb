import t, { type Test } from 'tap'
import type { FakeEndpoint } from '../scripts/fake-endpoint.ts'
import { waitUntil } from './support/http.ts'
import { single, startProcesses, type Processes } from './support/processes.ts'

const DOMAIN = 'cr-sj'
/** Limit of promise 6 ("a few seconds"): the expiry of announcements (3.5 s) and one tick. */
const LAST_START_LIMIT_MS = 4_500
/** The load exceeds the capacity of the endpoints, so that each gets work; some jobs wait for seconds. */
const LOAD_DEADLINE_MS = 30_000

interface Load {
  /** Number of jobs of this load that the endpoint has started. Once every endpoint has started some, a missing start is no coincidence. */
  readonly countStarts: (endpoint: FakeEndpoint) => number
  readonly stop: () => Promise<ReadonlyArray<{ readonly status: number, readonly detail: string }>>
}

/** Submits short jobs without pause, always several at once and more than one endpoint has capacity for. */
const startLoad = (t: Test, processes: Processes, name: string): Load => {
  const stopping = new AbortController()
  t.teardown(() => stopping.abort())
  const failures: Array<{ status: number, detail: string }> = []
  const entries = processes.deployment.entries.filter(({ domain }) => domain === DOMAIN)
  const run = async (caller: number): Promise<void> => {
    for (let i = 0; !stopping.signal.aborted; i += 1) {
      const { status, body } = await processes.submit(entries[(caller + i) % entries.length]!, `${name}-${caller}-${i}`, 40, { shape: { ...single, acceleratorsPerTask: 4 }, caller: `nurse-${caller}`, deadlineMs: LOAD_DEADLINE_MS })
        .catch((err: Error) => ({ status: 0, body: { error: err.message } }))
      if (status !== 200) failures.push({ status, detail: JSON.stringify(body.error) })
    }
  }
  const callers = Array.from({ length: 10 }, (_, i) => run(i))
  return {
    countStarts: (endpoint) => endpoint.records.filter(({ key }) => key.startsWith(`${name}-`)).length,
    stop: async () => {
      stopping.abort()
      await Promise.all(callers)
      return failures
    }
  }
}

const getLastStartMs = (endpoint: FakeEndpoint): number => Math.max(0, ...endpoint.records.map(({ atMs }) => atMs))

/** Checks that the endpoint started no work later than `withinMs` after `sinceMs`, once the others have started over 100 jobs later than that. */
const checkNoNewWork = async (t: Test, processes: Processes, leaving: FakeEndpoint, sinceMs: number, withinMs: number): Promise<void> => {
  const others = processes.endpoints.filter((endpoint) => endpoint !== leaving && endpoint.id.startsWith(DOMAIN))
  const countLate = (): number => others.flatMap(({ records }) => records).filter(({ atMs }) => atMs > sinceMs + withinMs).length
  await waitUntil('the other endpoints have started more work after the limit', () => countLate() > 100, 20_000)
  const tookMs = getLastStartMs(leaving) - sinceMs
  t.comment(`last start on the endpoint: ${tookMs} ms after; ${countLate()} later starts on the others`)
  t.ok(tookMs < withinMs, 'no new work after the limit')
}

const waitUntilUsed = async (load: Load, endpoints: readonly FakeEndpoint[]): Promise<void> =>
  await waitUntil('every endpoint gets work', () => endpoints.every((endpoint) => load.countStarts(endpoint) > 3))

t.test('endpoints that leave get no new work', async (t) => {
  const processes = await startProcesses(t, { domains: [DOMAIN, 'cr-al'], entriesPerDomain: 2 })
  const { deployment } = processes
  await processes.configure()
  const [first, second, third, fourth] = await Promise.all(Array.from({ length: 4 }, () => processes.addEndpoint(DOMAIN))) as [FakeEndpoint, FakeEndpoint, FakeEndpoint, FakeEndpoint]
  await processes.waitForEndpoints(DOMAIN, 4)
  // Work is placed in the other domain while this one has no leader.
  const remoteEndpoints = await Promise.all([1, 2].map(() => processes.addEndpoint('cr-al')))
  await processes.waitForEndpoints('cr-al', 2)

  t.test('after a leave announcement that reached one entry only', async (t) => {
    const load = startLoad(t, processes, 'one-entry')
    await waitUntilUsed(load, [first, second, third, fourth])
    first.leave(0)
    // It sends no further announcement, but would still accept work.
    first.faults = { muted: true }
    const leftMs = Date.now()
    await checkNoNewWork(t, processes, first, leftMs, 1_500)
    t.ok(first.records.every(({ end }) => end !== 'killed'), 'its running work was not stopped')
    t.same(await load.stop(), [])
    first.kill()
  })

  t.test('after a leave announcement that reached one entry while a control process was down', async (t) => {
    const load = startLoad(t, processes, 'control-down')
    await waitUntilUsed(load, [second, third, fourth])
    const scheduler = await processes.findScheduler(DOMAIN)
    const other = deployment.controls.find(({ node, domain }) => domain === DOMAIN && node !== scheduler)!.node
    await deployment.kill(other)
    second.leave(1)
    second.faults = { muted: true }
    const leftMs = Date.now()
    await checkNoNewWork(t, processes, second, leftMs, 1_500)
    // The process that was down becomes the scheduler and knows of the leave only through the entry.
    deployment.startProcess(other)
    await waitUntil('the other control process knows the endpoints', async () => (await processes.readControl(other))?.endpoints.leaving === 1)
    await waitUntil('the other control process follows the domain group', async () => (await processes.readGroup(other, `domain-${DOMAIN}`))?.leader === scheduler)
    await deployment.kill(scheduler)
    t.equal(await processes.findScheduler(DOMAIN), other)
    await checkNoNewWork(t, processes, second, leftMs, 1_500)
    t.same(await load.stop(), [])
    deployment.startProcess(scheduler)
    second.kill()
  })

  t.test('after its announcements stop without a leave announcement', async (t) => {
    await waitUntil('both control processes run', async () => (await Promise.all(deployment.controls.map(({ node }) => processes.readControl(node)))).every((view) => view !== null && view.groups.every(({ leader }) => leader !== null)))
    const load = startLoad(t, processes, 'vanished')
    await waitUntilUsed(load, [third, fourth])
    // Its announcements stop, as with a faulty switch, while its connections still work.
    third.faults = { muted: true }
    const mutedMs = Date.now()
    await checkNoNewWork(t, processes, third, mutedMs, LAST_START_LIMIT_MS)
    t.same(await load.stop(), [])
    for (const { records } of remoteEndpoints) t.ok(records.every(({ end }) => end !== 'killed'))
  })
})
