// Measures the cost of each process, voter, endpoint, task, record and configuration at three or
// more sizes, and prints the tables from which docs/CAPACITY.md is derived:
// node scripts/build.mjs entry control && node --import=tsx scripts/measure-capacity.ts [--part units|idle|load|flags] [--rotate N] [--flag=--lite-mode]
import { rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { describeSpread, fitLinear, fitLine } from './capacity/fit.ts'
import { measureIdle, type IdleCost } from './capacity/idle.ts'
import { measureFlags, measureLoad, type Level, type LoadCost } from './capacity/load.ts'
import type { Usage } from './capacity/processes.ts'
import { measureConfig, measureGroups, measureQueue, measureRecords, measureTaskTable } from './capacity/units.ts'

const FOLDER = join(tmpdir(), `ibisstair-capacity-${process.pid}`)
const WINDOW_MS = 7_000
const GROUP_WINDOW_MS = 4_000
const IDLE_DOMAINS = [2, 4, 7]
/** The largest number of endpoints and of tasks is that of one of fourteen domains at the projected scale. */
const LEVELS: readonly Level[] = [
  { endpoints: 30, tasks: 0 }, { endpoints: 61, tasks: 0 }, { endpoints: 122, tasks: 0 },
  { endpoints: 122, tasks: 384 }, { endpoints: 122, tasks: 1152 }
]
const FLAG_LEVEL: Level = { endpoints: 60, tasks: 480 }
const FLAGS: ReadonlyArray<readonly string[]> = [
  [],
  ['--max-semi-space-size=1'],
  ['--max-semi-space-size=1', '--optimize-for-size'],
  ['--max-semi-space-size=1', '--lite-mode']
]

const print = (title: string, rows: readonly object[]): void => {
  console.log(`\n${title}`)
  console.table(rows.map((row) => Object.fromEntries(Object.entries(row).map(([name, value]) => [name, typeof value === 'number' ? Number(value.toPrecision(4)) : value]))))
}

const round = (value: number, digits = 1): number => Number(value.toFixed(digits))

const toRow = (usages: readonly Usage[]): object => ({
  cpuPercent: describeSpread(usages.map(({ cpuPercent }) => cpuPercent), 2),
  received: describeSpread(usages.map(({ receivedBytes }) => receivedBytes), 0),
  sent: describeSpread(usages.map(({ sentBytes }) => sentBytes), 0),
  calls: describeSpread(usages.map(({ requestsSent }) => requestsSent)),
  served: describeSpread(usages.map(({ requestsServed }) => requestsServed)),
  connections: describeSpread(usages.map(({ connections }) => connections)),
  rssMb: describeSpread(usages.map(({ rssMb }) => rssMb))
})

const reportUnits = async (): Promise<void> => {
  const configs = [0.25, 0.5, 1, 2].map(measureConfig)
  print('Configuration, as a fraction of the projected one', configs)
  print('Configuration: for each byte of its JSON', (['heapBytes', 'parseMs', 'applyMs'] as const).map((name) => ({ name, ...fitLine(configs.map(({ bytes }) => bytes), configs.map((cost) => cost[name])) })))
  const records = [measureRecords(16, 500), measureRecords(16, 1000), measureRecords(16, 2000), measureRecords(1, 1000), measureRecords(128, 400)]
  print('Record of non-idempotent work', records)
  const byGang = records.filter(({ records: count, tasks }) => tasks !== 16 || count === 1000)
  print('Record: for each task', (['commandBytes', 'heapBytesEach', 'applyMicroseconds'] as const).map((name) => ({ name, ...fitLine(byGang.map(({ tasks }) => tasks), byGang.map((cost) => cost[name])) })))
  print('Queued job with 1 KiB of payload', [500, 1000, 2000, 4000].map(measureQueue))
  print('Task at an endpoint', [64, 128, 256].map(measureTaskTable))
  const groups = []
  for (const count of [1, 4, 12]) groups.push(await measureGroups(count, GROUP_WINDOW_MS, count === 1 ? [1, 16, 128] : []))
  print('Idle log groups with three voters in one process; bodies of the calls only', groups.map(({ idle }) => idle))
  print('Appended starts, all three voters together', groups.flatMap(({ appends }) => appends))
}

const reportIdle = async (): Promise<void> => {
  const costs: IdleCost[] = []
  for (const domains of IDLE_DOMAINS) costs.push(await measureIdle(FOLDER, domains, WINDOW_MS))
  print('Idle entries, for each second: median (least-most)', costs.map(({ processes, entries, entryHeapMb }) => ({ processes, ...toRow(entries), heapMb: describeSpread(entryHeapMb) })))
  print('Idle control processes', costs.map(({ processes, controls }) => ({ processes, ...toRow(controls), heapMb: describeSpread(controls.map(({ heapMb }) => heapMb)) })))
  const all = costs.flatMap(({ controls }) => controls)
  const rows = all.map(({ replicas, followed, peers }) => [1, replicas, followed, peers])
  const slopes = (['cpuPercent', 'receivedBytes', 'sentBytes', 'requestsSent', 'requestsServed', 'rssMb'] as const).map((name) => {
    const [base, replica, followed, peer] = fitLinear(rows, all.map((usage) => usage[name]))
    return { name, base: round(base!, 3), replica: round(replica!, 3), followed: round(followed!, 3), peer: round(peer!, 4) }
  })
  print(`Control process: base, each replica that it sends heartbeats to, each group followed, each peer (${all.length} processes)`, slopes)
  const entries = costs.flatMap(({ processes, entries: list }) => list.map((usage) => ({ ...usage, peers: processes - 1 })))
  print('Entry: base and each peer', (['cpuPercent', 'receivedBytes', 'sentBytes', 'requestsSent', 'requestsServed', 'rssMb'] as const).map((name) => {
    const { base, slope } = fitLine(entries.map(({ peers }) => peers), entries.map((usage) => usage[name]))
    return { name, base: round(base, 3), peer: round(slope, 4) }
  }))
  print('One configuration change', costs.map(({ processes, spread }) => ({
    processes,
    commitMs: describeSpread(spread.commitMs),
    inForceMs: describeSpread(spread.allMs),
    leaderSentBytes: round(spread.leaderSentBytes, 0),
    leaderCpuMs: round(spread.leaderCpuMs),
    entryReceivedBytes: round(spread.entryReceivedBytes, 0),
    entryCpuMs: round(spread.entryCpuMs)
  })))
  print('Restart of an entry without its data folder', costs.map(({ processes, restart }) => ({ processes, ...restart })))
  print('While half of the domains (3 of 7) are silent: control processes', costs.map(({ processes, cut }) => ({ processes, ...toRow(cut.controls) })))
  print('While half of the domains (3 of 7) are silent: entries', costs.map(({ processes, cut }) => ({ processes, ...toRow(cut.entries) })))
}

const reportSlopes = (costs: readonly LoadCost[]): void => {
  const rows = costs.map(({ endpoints, tasks }) => [1, endpoints, tasks])
  const names = ['cpuPercent', 'receivedBytes', 'sentBytes', 'requestsSent', 'requestsServed', 'rssMb'] as const
  const roles: ReadonlyArray<readonly [string, (cost: LoadCost) => Usage]> = [
    ['leader', ({ leader }) => leader], ['follower', ({ follower }) => follower], ['entry', ({ entries }) => entries[0]!]
  ]
  print('Slopes: base, each endpoint of the domain, each running task of the domain', roles.flatMap(([role, read]) => names.map((name) => {
    const [base, endpoint, task] = fitLinear(rows, costs.map((cost) => read(cost)[name]))
    return { role, name, base: round(base!, 3), endpoint: round(endpoint!, 4), task: round(task!, 5) }
  })))
  const [base, endpoint, task] = fitLinear(rows, costs.map(({ leaderHeapMb }) => leaderHeapMb * 1024))
  print('Heap of the leader after a collection, KB', [{ base, endpoint, task }])
  const [cpuBase, cpuPerEndpoint, cpuPerTask] = fitLinear(rows, costs.map(({ fakeEndpointCpuPercent }) => fakeEndpointCpuPercent))
  print('CPU of the fake endpoints, % of a core', [{ base: cpuBase, endpoint: cpuPerEndpoint, task: cpuPerTask }])
}

const reportLoad = async (): Promise<void> => {
  const { costs, failovers } = await measureLoad(FOLDER, LEVELS, WINDOW_MS, values.flag)
  for (const role of ['leader', 'follower'] as const) {
    print(`Loaded domain: ${role}`, costs.map((cost) => ({ endpoints: cost.endpoints, tasks: cost.tasks, ...toRow([cost[role]]), ...(role === 'leader' && { heapMb: round(cost.leaderHeapMb), startedMs: round(cost.startWaitMs, 0), urgentMs: describeSpread(cost.urgentMs) }) })))
  }
  print('Loaded domain: its two entries', costs.map((cost) => ({ endpoints: cost.endpoints, tasks: cost.tasks, ...toRow(cost.entries), heapMb: round(cost.entryHeapMb) })))
  reportSlopes(costs)
  print('Loss of the leader of the loaded domain', failovers)
}

const reportFlags = async (): Promise<void> => {
  const first = Number(values.rotate)
  const costs = await measureFlags(FOLDER, [...FLAGS.slice(first), ...FLAGS.slice(0, first)], FLAG_LEVEL, WINDOW_MS)
  print(`Flags of Node.js, with ${FLAG_LEVEL.endpoints} endpoints and ${FLAG_LEVEL.tasks} tasks in each domain`, costs.flatMap(({ flags, leader, follower, entries, leaderGroups, followerGroups }) => [
    { flags: flags.join(' ') || 'none', role: 'leader', groups: leaderGroups, ...toRow([leader]) },
    { flags: '', role: 'follower', groups: followerGroups, ...toRow([follower]) },
    { flags: '', role: 'entries', ...toRow(entries) }
  ]))
}

// `--flag` applies to the processes of the load part. `--rotate` moves each set of flags to another domain, because the first domains host more log groups.
const PARTS = { units: reportUnits, idle: reportIdle, load: reportLoad, flags: reportFlags } as const

const { values } = parseArgs({ options: { part: { type: 'string', multiple: true }, rotate: { type: 'string', default: '0' }, flag: { type: 'string', multiple: true, default: [] } } })
const startedAtMs = performance.now()
console.log(`Node.js ${process.version}, ${process.platform} ${process.arch}`)
try {
  for (const [name, report] of Object.entries(PARTS)) {
    if (values.part && !values.part.includes(name)) continue
    await report()
    console.log(`\n${name}: done after ${Math.round((performance.now() - startedAtMs) / 1000)} s`)
  }
} finally {
  rmSync(FOLDER, { recursive: true, force: true })
}
process.exit(0)
