import t from 'tap'
import type { Settings } from '../scripts/deployment.ts'
import { waitUntil } from './support/http.ts'
import { putCustomer, startProcesses, type Processes } from './support/processes.ts'
import { TcpProxy } from './support/tcp-proxy.ts'

/** Longest time until a resumed or reconnected process serves the newest version. */
const PROPAGATION_LIMIT_MS = 8_000
const SAMPLE_INTERVAL_MS = 25

/** Polls the configuration version of the processes; `stop` resolves with every reading below an earlier one. */
const watchVersions = (processes: Processes, nodes: readonly string[]): { readonly stop: () => Promise<readonly string[]> } => {
  const regressions: string[] = []
  const stopping = new AbortController()
  const watch = async (node: string): Promise<void> => {
    let highest = 0
    while (!stopping.signal.aborted) {
      const version = await processes.readVersion(node)
      if (version !== null && version < highest) regressions.push(`${node} served ${version} after ${highest}`)
      highest = Math.max(highest, version ?? 0)
      await new Promise((resolve) => { setTimeout(resolve, SAMPLE_INTERVAL_MS) })
    }
  }
  const watching = Promise.all(nodes.map(watch))
  return {
    stop: async () => {
      stopping.abort()
      await watching
      return regressions
    }
  }
}

t.test('a frozen process never serves an older version and catches up', async (t) => {
  const processes = await startProcesses(t)
  const { deployment } = processes
  await processes.configure()
  const entry = processes.entry('cr-he-entry-1')
  await processes.changeUpTo(entry, 1, 3)
  const nodes = processes.nodes.map(({ node }) => node)
  await processes.measurePropagation(3)
  const oldConfig = (await processes.operate(entry, 'GET', '/v1/config')).body
  const watch = watchVersions(processes, nodes)
  const leader = await processes.findLeader('config')
  const frozenNodes = [leader, 'cr-he-control-2', 'cr-al-entry-1']
  for (const node of frozenNodes) deployment.signal(node, 'SIGSTOP')
  await processes.changeUpTo(entry, 3, 6)
  await processes.measurePropagation(6, nodes.filter((node) => !frozenNodes.includes(node)))
  for (const node of frozenNodes) deployment.signal(node, 'SIGCONT')
  const [tookMs, stale] = await Promise.all([
    processes.measurePropagation(6, frozenNodes),
    processes.propose(processes.entry('cr-al-entry-1'), 'stale-change', 3, [putCustomer('stale-change')])
  ])
  t.not(stale.status, 200, 'the old leader must not accept a change based on its outdated version')
  t.comment(`frozen processes caught up in ${Math.round(tookMs)} ms`)
  t.ok(tookMs < PROPAGATION_LIMIT_MS)
  // Messages that the old leader sent before it was frozen may arrive late.
  const answers = await Promise.all(processes.nodes.map(({ address: { address, port } }) => processes.rpc.call({ address, port }, 'config.push', oldConfig)))
  for (const answer of answers) t.same(answer, { accepted: false, version: 6 })
  t.same(await watch.stop(), [])
  await processes.changeUpTo(entry, 6, 7)
  t.ok(await processes.measurePropagation(7) < PROPAGATION_LIMIT_MS)
})

t.test('a control process in a long network partition keeps its version and catches up afterwards', async (t) => {
  const isolated = 'cr-sj-control-1'
  const unusedProxies = await Promise.all(Array.from({ length: 12 }, () => TcpProxy.start()))
  const proxies = new Map<number, TcpProxy>()
  const routeThroughProxy = (port: number): number => {
    const proxy = proxies.get(port) ?? unusedProxies.pop()!
    proxies.set(port, proxy)
    proxy.setTarget(port)
    return proxy.port
  }
  t.teardown(() => { for (const proxy of [...unusedProxies, ...proxies.values()]) proxy.close() })
  // Every connection to and from the isolated process goes through a proxy.
  const adjust = (node: string, settings: Settings): Settings => {
    const reroute = (peers: ReadonlyArray<{ node: string, port: number }>): object[] => peers.map((peer) =>
      (peer.node === isolated) !== (node === isolated) ? { ...peer, port: routeThroughProxy(peer.port) } : peer)
    return { ...settings, controls: reroute(settings.controls), entries: reroute(settings.entries) }
  }
  const processes = await startProcesses(t, { adjust })
  await processes.configure()
  const entry = processes.entry('cr-he-entry-1')
  await processes.changeUpTo(entry, 1, 3)
  await processes.measurePropagation(3)
  const watch = watchVersions(processes, [isolated])
  for (const proxy of proxies.values()) proxy.partition()
  await processes.changeUpTo(entry, 3, 40)
  await waitUntil('the isolated process has no leader and schedules in degraded mode', async () => {
    const view = await processes.readControl(isolated)
    return view?.session?.degraded === true && view.groups.every(({ leader }) => leader === null)
  })
  t.equal(await processes.readVersion(isolated), 3)
  for (const proxy of proxies.values()) proxy.restore()
  const tookMs = await processes.measurePropagation(40, [isolated])
  t.comment(`the isolated process caught up in ${Math.round(tookMs)} ms`)
  t.ok(tookMs < PROPAGATION_LIMIT_MS)
  t.same(await watch.stop(), [])
  await waitUntil('the isolated voter follows the config group again', async () => (await processes.readGroup(isolated, 'config'))?.leader !== null)
  await processes.changeUpTo(entry, 40, 41)
  t.ok(await processes.measurePropagation(41) < PROPAGATION_LIMIT_MS)
})
