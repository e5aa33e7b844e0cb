import { createFleetChange } from './fleet.ts'
import { MeasuredDeployment, timers, type Usage } from './processes.ts'

const SETTLE_MS = 3_000
const PROPAGATION_CHANGES = 12

export interface ControlUsage extends Usage {
  /** Replicas to which the groups led here send heartbeats. */
  readonly replicas: number
  readonly followed: number
  readonly peers: number
  readonly heapMb: number
}

export interface SpreadCost {
  readonly commitMs: readonly number[]
  readonly allMs: readonly number[]
  /** Sent by the leader of the config group for each change, above what it sends when idle. */
  readonly leaderSentBytes: number
  readonly leaderCpuMs: number
  /** Received by an entry for each change, above what it receives when idle. */
  readonly entryReceivedBytes: number
  readonly entryCpuMs: number
}

export interface RestartCost {
  readonly receivedBytes: number
  readonly requestsSent: number
  readonly cpuMs: number
  readonly readyMs: number
}

export interface IdleCost {
  readonly processes: number
  readonly controls: readonly ControlUsage[]
  readonly entries: readonly Usage[]
  readonly entryHeapMb: readonly number[]
  readonly spread: SpreadCost
  readonly restart: RestartCost
  /** Usage of the other processes while the last domains are silent, as if their region were partitioned. */
  readonly cut: CutCost
}

export interface CutCost {
  readonly controls: readonly Usage[]
  readonly entries: readonly Usage[]
}

const isControl = ({ node }: { readonly node: string }): boolean => node.includes('-control-')

const findConfigLeader = async (measured: MeasuredDeployment): Promise<string> => {
  for (const { node } of measured.deployment.controls) {
    const { groups } = await measured.getControlStatus(node)
    if (groups.some(({ group, role }) => group === 'config' && role === 'leader')) return node
  }
  throw new Error('the config group has no leader')
}

/** Makes small changes one after the other and returns their cost above the idle traffic and CPU time. */
const measurePropagation = async (measured: MeasuredDeployment, firstVersion: number, idle: readonly Usage[]): Promise<SpreadCost> => {
  const leader = await findConfigLeader(measured)
  const entry = measured.deployment.entries[0]!.node
  const before = [await measured.sample(leader), await measured.sample(entry)] as const
  const propagations: Array<{ readonly commitMs: number, readonly allMs: number }> = []
  for (let i = 0; i < PROPAGATION_CHANGES; i++) propagations.push(await measured.measurePropagation(firstVersion + i))
  const after = [await measured.sample(leader), await measured.sample(entry)] as const
  const seconds = (after[0].atMs - before[0].atMs) / 1000
  const getIdleUsage = (node: string): Usage => idle.find((usage) => usage.node === node)!
  return {
    commitMs: propagations.map(({ commitMs }) => commitMs),
    allMs: propagations.map(({ allMs }) => allMs),
    leaderSentBytes: (after[0].sent - before[0].sent - getIdleUsage(leader).sentBytes * seconds) / PROPAGATION_CHANGES,
    leaderCpuMs: (after[0].cpuMs - before[0].cpuMs - getIdleUsage(leader).cpuPercent * 10 * seconds) / PROPAGATION_CHANGES,
    entryReceivedBytes: (after[1].received - before[1].received - getIdleUsage(entry).receivedBytes * seconds) / PROPAGATION_CHANGES,
    entryCpuMs: (after[1].cpuMs - before[1].cpuMs - getIdleUsage(entry).cpuPercent * 10 * seconds) / PROPAGATION_CHANGES
  }
}

/** Measures the restart of an entry without its data folder, which fetches the configuration again. */
const measureRestart = async (measured: MeasuredDeployment, version: number): Promise<RestartCost> => {
  const { node } = measured.deployment.entries.at(-1)!
  await measured.kill(node)
  measured.deployment.loseData(node)
  const startedAtMs = timers.now()
  measured.startProcess(node)
  await measured.waitForVersion(version)
  const readyMs = timers.now() - startedAtMs
  await timers.delay(500)
  const { received, requestsSent, cpuMs } = await measured.sample(node)
  return { receivedBytes: received, requestsSent, cpuMs, readyMs }
}

const PARTITION_WINDOW_MS = 5_000

/** Freezes the processes of a part of the domains, so that their open connections go silent. */
const measurePartition = async (measured: MeasuredDeployment, isPartitioned: (node: string) => boolean): Promise<CutCost> => {
  const frozen = measured.nodes.filter(isPartitioned)
  for (const node of frozen) measured.signal(node, 'SIGSTOP')
  try {
    const usage = await measured.measure(PARTITION_WINDOW_MS, measured.nodes.filter((node) => !isPartitioned(node)))
    return { controls: usage.filter(isControl), entries: usage.filter((item) => !isControl(item)) }
  } finally {
    for (const node of frozen) measured.signal(node, 'SIGCONT')
  }
}

const toControlUsage = async (measured: MeasuredDeployment, usage: Usage): Promise<ControlUsage> => {
  const { groups } = await measured.getControlStatus(usage.node)
  const led = groups.filter(({ role }) => role === 'leader')
  const replicas = led.reduce((sum, { members }) => sum + members.length - 1, 0)
  const [heapMb] = await measured.measureHeap([usage.node])
  return { ...usage, replicas, followed: groups.length - led.length, peers: measured.nodes.length - 1, heapMb: heapMb! }
}

/** Measures a deployment with the projected configuration and without endpoints or jobs. */
export const measureIdle = async (folder: string, domains: number, windowMs: number): Promise<IdleCost> => {
  const names = Array.from({ length: domains }, (_, i) => `domain-${i}`)
  const measured = await MeasuredDeployment.create(folder, names)
  try {
    await measured.start()
    const version = await measured.propose(createFleetChange(1, names))
    await measured.waitForVersion(version)
    await timers.delay(SETTLE_MS)
    const usage = await measured.measure(windowMs)
    const spread = await measurePropagation(measured, version, usage)
    const restart = await measureRestart(measured, version + PROPAGATION_CHANGES)
    const controls = await Promise.all(usage.filter(isControl).map((item) => toControlUsage(measured, item)))
    const entries = usage.filter((item) => !isControl(item))
    const entryHeapMb = await measured.measureHeap(entries.map(({ node }) => node))
    const partitionedNames = names.slice(Math.ceil(domains / 2))
    const cut = await measurePartition(measured, (node) => partitionedNames.some((name) => node.startsWith(`${name}-`)))
    return { processes: measured.nodes.length, controls, entries, entryHeapMb, spread, restart, cut }
  } finally {
    await measured.stop()
  }
}
