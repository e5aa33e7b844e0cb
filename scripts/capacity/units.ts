import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { asId, type CallerId, type CustomerId, type DomainId, type EndpointId, type JobId, type KindOfWork, type NodeId, type RackId, type RequestKey, type TaskId } from '@ibisstair/common'
import { ReplicaDriver, type Member } from '@ibisstair/consensus'
import { JobEntry, JobTable } from '@ibisstair/control'
import { TaskTable } from '@ibisstair/endpoint-tasks'
import { getDomainShare, parseConfig, toMetadata, type Assignment, type Config, type JobRequest, type Shape } from '@ibisstair/model'
import { ConfigRegister, JobRegister, type JobCommand, type JobResult, type RecordStart } from '@ibisstair/registers'
import { MessageSender, RpcClient, RpcServer, type MessageBatch, type Target } from '@ibisstair/rpc'
import { Scheduler } from '@ibisstair/scheduler'
import { DataFolder, NodeFileSystem } from '@ibisstair/storage'
import { RandomSource } from '@ibisstair/timers'
import { createFleetChange, createSmallChange, SLOTS_PER_WORKER, WORKERS_PER_RACK } from './fleet.ts'
import { getMedian } from './fit.ts'
import { timers } from './processes.ts'

const PAYLOAD_BYTES = 1024
const REPEATS = 15

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

const getHeapBytes = (): number => {
  for (let i = 0; i < 3; i++) collectGarbage()
  return process.memoryUsage().heapUsed
}

const measureMs = (fn: () => void): number => {
  const startMs = timers.now()
  fn()
  return timers.now() - startMs
}

const createConfig = (fraction: number): ConfigRegister => {
  const register = new ConfigRegister()
  const result = register.apply({ type: 'change', change: createFleetChange(fraction) })
  if (result.status === 'refused') throw new Error(result.error.detail)
  return register
}

export interface ConfigCost {
  readonly fraction: number
  readonly bytes: number
  readonly heapBytes: number
  readonly parseMs: number
  readonly applyMs: number
}

/** Measures the cost of one configuration to the processes that receive it, and of one change to the voters. */
export const measureConfig = (fraction: number): ConfigCost => {
  const register = createConfig(fraction)
  const text = JSON.stringify(register.config)
  const kept: Config[] = []
  const before = getHeapBytes()
  for (let i = 0; i < 20; i++) kept.push(parseConfig(JSON.parse(text)))
  const heapBytes = (getHeapBytes() - before) / kept.length
  const parseMs = getMedian(Array.from({ length: REPEATS }, () => measureMs(() => parseConfig(JSON.parse(text)))))
  const applyMs = getMedian(Array.from({ length: REPEATS }, (_, i) => measureMs(() => { register.apply({ type: 'change', change: createSmallChange(i + 1) }) })))
  return { fraction, bytes: text.length, heapBytes, parseMs, applyMs }
}

const createRequest = (i: number, shape: Shape, idempotent: boolean): JobRequest => ({
  key: asId<RequestKey>(`request-${i}`),
  customer: asId<CustomerId>(`customer-${i % 82}`),
  caller: asId<CallerId>(`caller-${i % 500}`),
  kind: asId<KindOfWork>('kind-1'),
  urgency: 'normal',
  shape,
  deadlineMs: 6 * 24 * 3600 * 1000,
  expectedRunMs: 1_000,
  idempotent,
  payload: { text: `${i}`.padEnd(PAYLOAD_BYTES, 'x') }
})

const createShape = (tasks: number, acceleratorsPerTask = 1): Shape => ({ tasks, acceleratorsPerTask, slotsPerTask: 1, adjacency: 'any' })

const createAssignments = (i: number, tasks: number): Assignment[] => Array.from({ length: tasks }, (_, index) => ({
  index,
  taskId: asId<TaskId>(`domain-0-0123456789ab-${i}.1.${index}`),
  endpointId: asId<EndpointId>(`domain-0-worker-${(i + index) % 122}`),
  incarnation: 1_700_000_000_000
}))

const createStart = (i: number, tasks: number): RecordStart => {
  const request = createRequest(i, createShape(tasks), false)
  return {
    type: 'record-start',
    customer: request.customer,
    key: request.key,
    jobId: asId<JobId>(`domain-0-0123456789ab-${i}`),
    attempt: 1,
    fingerprint: `${i}`.padStart(64, '0'),
    metadata: toMetadata(request),
    assignments: createAssignments(i, tasks),
    atMs: 1_700_000_000_000 + i
  }
}

export interface RecordCost {
  readonly tasks: number
  readonly records: number
  readonly commandBytes: number
  readonly heapBytesEach: number
  readonly applyMicroseconds: number
}

/** Measures the heap of the records of non-idempotent jobs, and the time to apply one. */
export const measureRecords = (tasks: number, records: number): RecordCost => {
  const commandBytes = JSON.stringify(createStart(1, tasks)).length
  const before = getHeapBytes()
  const register = new JobRegister()
  let elapsedMs = 0
  for (let i = 0; i < records; i++) {
    const command = createStart(i, tasks)
    elapsedMs += measureMs(() => { register.apply(command) })
  }
  const heapBytesEach = (getHeapBytes() - before) / records
  if (register.getStats().records !== records) throw new Error(`the register took ${register.getStats().records} of ${records} records`)
  return { tasks, records, commandBytes, heapBytesEach, applyMicroseconds: 1000 * elapsedMs / records }
}

export interface QueueCost {
  readonly queued: number
  readonly heapBytesEach: number
  readonly submitMicroseconds: number
  readonly tickMicroseconds: number
}

const createScheduler = (workers: number): Scheduler => {
  const scheduler = new Scheduler()
  const domain = asId<DomainId>('domain-0')
  scheduler.handle({ type: 'config', share: getDomainShare(createConfig(1).config, domain) }, 0)
  for (let i = 0; i < workers; i++) {
    scheduler.handle({
      type: 'endpoint-up',
      endpoint: {
        id: asId<EndpointId>(`domain-0-worker-${i}`),
        incarnation: 1,
        sequence: 1,
        address: '127.0.0.1',
        port: 1,
        domain,
        rack: asId<RackId>(`domain-0-rack-${Math.floor(i / WORKERS_PER_RACK)}`),
        slots: SLOTS_PER_WORKER,
        connections: 64,
        accelerators: SLOTS_PER_WORKER,
        leaving: false
      }
    }, 0)
  }
  return scheduler
}

/** Measures the heap of queued jobs in the scheduler and the job table: one large job runs, and the others wait for the whole domain. */
export const measureQueue = (queued: number): QueueCost => {
  const workers = 122
  const scheduler = createScheduler(workers)
  const jobs = new JobTable(timers)
  const shape = createShape(workers, SLOTS_PER_WORKER)
  const submit = (i: number): void => {
    const request = createRequest(i, shape, true)
    const entry = new JobEntry(asId<JobId>(`domain-0-0123456789ab-${i}`), request, `${i}`.padStart(64, '0'), 0)
    jobs.add(entry)
    scheduler.handle({ type: 'submit', jobId: entry.jobId, job: toMetadata(request) }, 10)
  }
  submit(0)
  const before = getHeapBytes()
  const submitMs = measureMs(() => { for (let i = 1; i <= queued; i++) submit(i) })
  const heapBytesEach = (getHeapBytes() - before) / queued
  const stats = scheduler.getStats()
  if (stats.queued !== queued) throw new Error(`${stats.queued} of ${queued} jobs are queued`)
  const ticks = 200
  const tickMs = measureMs(() => { for (let i = 0; i < ticks; i++) scheduler.handle({ type: 'tick' }, 20 + i * 100) })
  if (jobs.activeCount !== queued + 1) throw new Error('the job table lost jobs')
  return { queued, heapBytesEach, submitMicroseconds: 1000 * submitMs / queued, tickMicroseconds: 1000 * tickMs / ticks }
}

export interface TaskTableCost {
  readonly tasks: number
  readonly heapBytesEach: number
  readonly renewMicrosecondsEach: number
}

const TABLES = 40

const createTaskTable = (taskIds: readonly TaskId[]): TaskTable => {
  const table = new TaskTable({ endpointId: asId<EndpointId>('endpoint'), incarnation: 1, slots: taskIds.length, accelerators: taskIds.length })
  for (const [i, taskId] of taskIds.entries()) {
    const { payload, ...request } = createRequest(i, createShape(1), true)
    const grant = { jobId: asId<JobId>(`domain-0-0123456789ab-${i}`), attempt: 1, index: 0, reservationMs: 2_000, leaseMs: 8_000, request }
    const { result } = table.handle({ taskId, incarnation: 1, operation: 'run', grant, payload }, 0)
    if (result.status !== 'ok') throw new Error(`task ${i}: ${result.status}`)
  }
  return table
}

/** Measures the state that an endpoint keeps for the tasks it runs; their payload belongs to the executor. */
export const measureTaskTable = (tasks: number): TaskTableCost => {
  const taskIds = Array.from({ length: tasks }, (_, i) => asId<TaskId>(`domain-0-0123456789ab-${i}.1.0`))
  const renewals = taskIds.map((taskId) => ({ taskId, incarnation: 1, termMs: 8_000 }))
  const before = getHeapBytes()
  const tables = Array.from({ length: TABLES }, () => createTaskTable(taskIds))
  const heapBytesEach = (getHeapBytes() - before) / tasks / TABLES
  const renewMs = getMedian(tables.map((table, i) => measureMs(() => { table.renew(renewals, i) })))
  return { tasks, heapBytesEach, renewMicrosecondsEach: 1000 * renewMs / tasks }
}

// Log groups

interface Voter {
  readonly client: RpcClient
  readonly server: RpcServer
  readonly groups: Map<string, ReplicaDriver<JobCommand, JobResult>>
}

const openVoters = async (root: string, groupCount: number): Promise<Voter[]> => {
  const names = [0, 1, 2].map((i) => asId<NodeId>(`voter-${i}`))
  const targets = new Map<NodeId, Target>()
  const initialMembers: Member[] = names.map((node, i) => ({ node, incarnation: '1', role: 'voter', witness: i === 2 }))
  const voters: Voter[] = []
  for (const node of names) {
    const identity = { deployment: 'capacity', node, secret: 'secret-of-the-measurement' }
    const server = new RpcServer(identity)
    const voter: Voter = { client: new RpcClient(identity, timers), server, groups: new Map() }
    server.register('raft.message', (params, ctx) => {
      for (const { group, message } of (params as MessageBatch).messages) voter.groups.get(group)?.handleMessage(ctx.from, message)
    })
    targets.set(node, await server.listen({ address: '127.0.0.1', port: 0 }))
    voters.push(voter)
  }
  for (const [i, node] of names.entries()) {
    const { client, groups } = voters[i]!
    const transport = new MessageSender(client, targets, 1_000)
    const folder = await DataFolder.init(new NodeFileSystem(), join(root, node))
    for (let g = 0; g < groupCount; g++) {
      const group = `domain-${g}`
      groups.set(group, await ReplicaDriver.open({ group, node, folder, timers, random: RandomSource.fromEntropy(), transport, machine: new JobRegister(), initialMembers }))
    }
  }
  return voters
}

const findLeaders = (voters: readonly Voter[]): ReplicaDriver<JobCommand, JobResult>[] =>
  voters.flatMap(({ groups }) => [...groups.values()]).filter((replica) => replica.getStatus().role === 'leader')

export interface GroupCost {
  readonly groups: number
  readonly callsPerSecond: number
  readonly bytesPerSecond: number
  readonly cpuPercent: number
}

export interface AppendCost {
  readonly tasks: number
  readonly commandBytes: number
  readonly callsEach: number
  readonly bytesEach: number
  readonly cpuMicroseconds: number
  readonly commitMs: number
}

const sumOverVoters = (voters: readonly Voter[], read: (client: RpcClient) => number): number => voters.reduce((sum, { client }) => sum + read(client), 0)

const getCpuMs = (): number => {
  const { user, system } = process.cpuUsage()
  return (user + system) / 1000
}

const measureAppends = async (voters: readonly Voter[], tasks: number, first: number): Promise<AppendCost> => {
  const leader = findLeaders(voters)[0]!
  const count = 100
  const commitsMs: number[] = []
  const before = { calls: sumOverVoters(voters, ({ counters }) => counters.calls), bytes: sumOverVoters(voters, ({ counters }) => counters.bytesSent + counters.bytesReceived), cpuMs: getCpuMs() }
  for (let i = 0; i < count; i++) {
    const startMs = timers.now()
    await leader.propose(createStart(first + i, tasks), 5_000)
    commitsMs.push(timers.now() - startMs)
  }
  return {
    tasks,
    commandBytes: JSON.stringify(createStart(first, tasks)).length,
    callsEach: (sumOverVoters(voters, ({ counters }) => counters.calls) - before.calls) / count,
    bytesEach: (sumOverVoters(voters, ({ counters }) => counters.bytesSent + counters.bytesReceived) - before.bytes) / count,
    cpuMicroseconds: 1000 * (getCpuMs() - before.cpuMs) / count,
    commitMs: getMedian(commitsMs)
  }
}

/** Measures three voters in this process, with HTTP on loopback and log files: idle groups, and starts appended to one group. */
export const measureGroups = async (groups: number, windowMs: number, gangs: readonly number[]): Promise<{ readonly idle: GroupCost, readonly appends: readonly AppendCost[] }> => {
  const root = mkdtempSync(join(tmpdir(), 'ibisstair-capacity-'))
  const voters = await openVoters(root, groups)
  try {
    while (findLeaders(voters).length < groups) await timers.delay(50)
    await timers.delay(1_000)
    const before = { calls: sumOverVoters(voters, ({ counters }) => counters.calls), bytes: sumOverVoters(voters, ({ counters }) => counters.bytesSent + counters.bytesReceived), cpuMs: getCpuMs(), atMs: timers.now() }
    await timers.delay(windowMs)
    const seconds = (timers.now() - before.atMs) / 1000
    const idle = {
      groups,
      callsPerSecond: (sumOverVoters(voters, ({ counters }) => counters.calls) - before.calls) / seconds,
      bytesPerSecond: (sumOverVoters(voters, ({ counters }) => counters.bytesSent + counters.bytesReceived) - before.bytes) / seconds,
      cpuPercent: (getCpuMs() - before.cpuMs) / seconds / 10
    }
    const appends: AppendCost[] = []
    for (const [i, tasks] of gangs.entries()) appends.push(await measureAppends(voters, tasks, i * 1_000))
    return { idle, appends }
  } finally {
    for (const { groups: opened, client, server } of voters) {
      await Promise.all([...opened.values()].map((replica) => replica.stop()))
      client.close()
      server.destroy()
    }
    rmSync(root, { recursive: true })
  }
}
