// Runs real processes for a long time with random faults (kills, freezes, restarts, disk losses and
// faulty endpoints) while callers send requests, and checks the promises at the end.
//   node --import tsx scripts/chaos.ts --minutes 2 --seed 7
import { parseArgs } from 'node:util'
import { fileURLToPath } from 'node:url'
import { RandomSource } from '@ibisstair/timers'
import { call, send, type Work } from './callers.ts'
import { Deployment } from './deployment.ts'
import { checkPromises, type CallerReport } from './promises.ts'
import { FakeEndpoint, type Faults, type StartRecord } from './fake-endpoint.ts'

const { values } = parseArgs({
  options: {
    minutes: { type: 'string', default: '1' },
    seed: { type: 'string' },
    domains: { type: 'string', default: '2' },
    'no-disk-loss': { type: 'boolean', default: false }
  }
})
const seed = Number(values.seed ?? Math.floor(Date.now() % 1_000_000))
const random = new RandomSource(seed)
const DOMAINS = ['cr-sj', 'cr-al', 'cr-he', 'cr-ca'].slice(0, Number(values.domains))
const FOLDER = `${fileURLToPath(new URL('..', import.meta.url))}.demo/chaos-${seed}`
const WORKERS = 6
const REJOIN_WAIT_MS = 12_000

const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })
const log = (text: string): void => console.log(`${((Date.now() - began) / 1000).toFixed(1).padStart(6)} s  ${text}`)

const began = Date.now()
const deployment = await Deployment.create({ folder: FOLDER, name: 'chaos', domains: DOMAINS, drainMs: 200 })
const operator = { authorization: `Bearer ${deployment.secret}` }
const records: StartRecord[] = []
let endpoints: FakeEndpoint[] = []
const run = { isFinished: false }

const waitUntil = async (description: string, condition: () => Promise<boolean>, ms = 30_000): Promise<void> => {
  const end = Date.now() + ms
  while (!(await condition().catch(() => false))) {
    if (Date.now() > end) throw new Error(`timed out: ${description}`)
    await pause(100)
  }
}

const configure = async (): Promise<void> => {
  const kind = (name: string, urgency: string, idempotent: boolean): object => ({
    op: 'put-kind', kind: { kind: name, urgency, idempotent, expectedRunMs: 200, objective: { startWithinMs: 40_000, target: 0.99 } }
  })
  const delta = [
    ...DOMAINS.map((id) => ({ op: 'put-domain', domain: { id, region: 'cr-central', racks: [{ id: `${id}-rack`, workers: WORKERS, acceleratorsPerWorker: 8, slotsPerWorker: 8 }] } })),
    kind('splash-check', 'urgent', true),
    kind('pickup', 'normal', false),
    { op: 'put-customer', customer: { id: 'clinics', priority: 1, guarantees: [], maxQueued: 1000 } }
  ]
  await waitUntil('the first configuration is accepted', async () =>
    (await call(deployment.entries[0]!.operators, 'POST', '/v1/config/changes', { changeId: 'set-up', expectedVersion: 0, delta }, operator, 3_000)).status === 200)
}

const createEndpoint = (domain: string, i: number): FakeEndpoint => new FakeEndpoint({
  id: `${domain}-worker-${i}`, domain, rack: `${domain}-rack`, entries: deployment.entries.filter((entry) => entry.domain === domain).map((entry) => entry.endpoints)
})

let nextKey = 1
const createWork = (): Work => {
  const idempotent = random.int(0, 1) === 0
  const tasks = random.pick([1, 1, 1, 2, 4])!
  return {
    key: `${idempotent ? 'check' : 'pickup'}-${nextKey++}`,
    customer: 'clinics',
    caller: `caller-${random.int(1, 5)}`,
    kind: idempotent ? 'splash-check' : 'pickup',
    idempotent,
    shape: { tasks, acceleratorsPerTask: random.int(1, 4), slotsPerTask: 1, adjacency: random.pick(['any', 'rack'] as const)! },
    runMs: random.pick([10, 50, 200, 1000, 4000])!,
    deadlineMs: 40_000
  }
}

const unavailable = new Set<string>()
const pickRunning = (nodes: readonly { readonly node: string }[]): string | undefined => random.pick(nodes.map(({ node }) => node).filter((node) => !unavailable.has(node)))

const killAndRestart = async (node: string, ms: number, losesData = false): Promise<void> => {
  unavailable.add(node)
  await deployment.kill(node)
  if (losesData) deployment.loseData(node)
  await pause(ms)
  deployment.startProcess(node)
  if (losesData) await pause(REJOIN_WAIT_MS)
  unavailable.delete(node)
}

const freeze = async (node: string, ms: number): Promise<void> => {
  unavailable.add(node)
  deployment.signal(node, 'SIGSTOP')
  await pause(ms)
  deployment.signal(node, 'SIGCONT')
  unavailable.delete(node)
}

const terminateAndRestart = async (node: string): Promise<void> => {
  unavailable.add(node)
  const code = await deployment.terminate(node)
  if (code !== 0) log(`${node} ended with exit code ${code} after SIGTERM`)
  deployment.startProcess(node)
  unavailable.delete(node)
}

const applyFaults = async (endpoint: FakeEndpoint, faults: Faults, ms: number): Promise<void> => {
  endpoint.faults = faults
  await pause(ms)
  endpoint.faults = {}
}

/** Only one disk is lost at a time, because a group of three voters survives one loss. */
let isLosingDisk = false
const loseDisk = async (node: string): Promise<void> => {
  if (isLosingDisk || values['no-disk-loss'] || unavailable.size > 0) return
  isLosingDisk = true
  log(`${node} loses its disk`)
  await killAndRestart(node, 300, true)
  isLosingDisk = false
}

const injectFault = async (): Promise<void> => {
  const control = pickRunning(deployment.controls)
  const entry = pickRunning(deployment.entries)
  const endpoint = random.pick(endpoints)!
  const ms = random.pick([300, 1500, 5000, 12_000])!
  switch (random.int(0, 9)) {
    case 0:
    case 1:
      if (!control || isLosingDisk) return
      log(`kill ${control} for ${ms} ms`)
      return await killAndRestart(control, ms)
    case 2:
    case 3:
      if (!control || isLosingDisk) return
      log(`freeze ${control} for ${ms} ms`)
      return await freeze(control, ms)
    case 4:
      if (!entry) return
      log(`kill ${entry} for ${ms} ms`)
      return await killAndRestart(entry, ms)
    case 5:
      if (!entry || deployment.entries.length - unavailable.size < 2) return
      log(`terminate ${entry}`)
      return await terminateAndRestart(entry)
    case 6:
      if (!control || isLosingDisk) return
      log(`terminate ${control}`)
      return await terminateAndRestart(control)
    case 7:
      log(`restart endpoint ${endpoint.id}`)
      return endpoint.restart()
    case 8: {
      const faults = random.pick<Faults>([{ silent: true }, { loseAnswers: true }, { delayMs: 700 }, { answerTwice: true }, { hang: true }, { fail: true }])!
      log(`endpoint ${endpoint.id}: ${Object.keys(faults).join()} for ${ms} ms`)
      return await applyFaults(endpoint, faults, ms)
    }
    default:
      if (control) await loseDisk(control)
  }
}

const reports: CallerReport[] = []

const logSlowRequest = async (work: Work, seconds: number, { error }: CallerReport): Promise<void> => {
  log(`${work.key} (${work.shape.tasks} tasks, ${work.runMs} ms) took ${seconds.toFixed(1)} s: ${error?.kind ?? 'answered'}`)
  const explanation = await call(random.pick(deployment.entries)!.callers, 'GET', `/v1/requests/${work.customer}/${work.key}/explain`).catch(() => null)
  if (explanation) log(JSON.stringify(explanation.body))
}
const runCaller = async (): Promise<void> => {
  while (!run.isFinished) {
    const work = createWork()
    const sentAt = Date.now()
    const report = await send(deployment.entries.map((entry) => entry.callers), work, random.int(0, 100), 90_000)
    reports.push(report)
    const seconds = (Date.now() - sentAt) / 1000
    if (seconds > 15) await logSlowRequest(work, seconds, report)
    await pause(random.int(0, 50))
  }
}

interface SessionStatus {
  readonly domain: string
  readonly session?: { readonly degraded: boolean, readonly queued: number, readonly running: number, readonly active: number, readonly gangs: number, readonly freeAccelerators: number, readonly totalAccelerators: number, readonly quarantined: number } | null
}

/** Returns what still holds accelerators after the last outcome, at the endpoints or in the scheduler; waits up to 20 s for none. */
const findLeaks = async (): Promise<string[]> => {
  const read = async (): Promise<string[]> => {
    const { body } = await call(random.pick(deployment.entries)!.operators, 'GET', '/v1/status', undefined, operator, 5_000)
    const sessions = (body as unknown as { controls: SessionStatus[] }).controls.filter(({ session }) => session)
    const busy = sessions.filter(({ session }) => session!.active > 0 || session!.gangs > 0 || session!.freeAccelerators < session!.totalAccelerators)
    const held = endpoints.filter((endpoint) => endpoint.freeAccelerators < 8).map((endpoint) => `${endpoint.id} holds ${8 - endpoint.freeAccelerators} accelerators`)
    return [...(sessions.length < DOMAINS.length ? ['a domain has no session'] : []), ...busy.map(({ domain, session }) => `${domain}: ${JSON.stringify(session)}`), ...held]
  }
  const end = Date.now() + 20_000
  for (;;) {
    const leaks = await read()
    if (leaks.length === 0 || Date.now() > end) return leaks
    await pause(500)
  }
}

const print = (leaks: readonly string[]): number => {
  for (const leak of leaks) console.log(`LEAK: ${leak}`)
  const counts = new Map<string, number>()
  for (const { kind, error } of reports) {
    const name = `${kind}: ${error ? `${error.kind} (${error.execution})` : 'answered'}`
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  for (const [name, count] of [...counts].sort()) console.log(`  ${name.padEnd(50)} ${count}`)
  for (const { key, error } of reports) if (error && error.kind !== 'task-failed') console.log(`  ${key}: ${error.kind} (${error.execution}): ${error.detail ?? ''}`)
  const violations = checkPromises(reports, records)
  for (const { promise, detail } of violations) console.log(`BROKEN: ${promise}: ${detail}`)
  console.log(`seed ${seed}: ${reports.length} requests, ${records.length} tasks started, ${violations.length} promises broken`)
  return violations.length + leaks.length
}

try {
  console.log(`seed ${seed}, ${values.minutes} min, logs in ${FOLDER}`)
  await deployment.start()
  await configure()
  endpoints = DOMAINS.flatMap((domain) => Array.from({ length: WORKERS }, (_, i) => createEndpoint(domain, i)))
  for (const endpoint of endpoints) await endpoint.start()
  const callers = Array.from({ length: 24 }, () => runCaller())
  const end = Date.now() + Number(values.minutes) * 60_000
  const activeFaults = new Set<Promise<void>>()
  while (Date.now() < end) {
    await pause(random.int(200, 2500))
    if (activeFaults.size >= 2) continue
    const fault: Promise<void> = injectFault().catch((err: Error) => log(err.message)).finally(() => activeFaults.delete(fault))
    activeFaults.add(fault)
  }
  await Promise.all(activeFaults)
  run.isFinished = true
  log('no more faults; waiting for the last outcomes')
  await Promise.all(callers)
  for (const endpoint of endpoints) records.push(...endpoint.records)
  process.exitCode = print(await findLeaks()) > 0 ? 1 : 0
} finally {
  for (const endpoint of endpoints) endpoint.kill()
  await deployment.stop()
}
process.exit()
