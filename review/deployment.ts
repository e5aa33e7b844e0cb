import { spawn, type ChildProcess } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { callJson } from '../platform/tests/support/call-json.ts'
import { FakeWorker, type WorkerObserver } from '../platform/tests/support/fake-worker.ts'
import { TcpProxy } from '../tests/support/tcp-proxy.ts'
import type { Recorder } from './recorder.ts'

export const CONTROLS = ['127.0.0.2', '127.0.0.3', '127.0.0.4', '127.0.0.5']
export const ENTRIES = Array.from({ length: 10 }, (_, index) => `127.0.0.${index + 6}`)
export const HOST = 'jobs.example'
export const KEY = 'key-of-clinics'

/** Bounds of the site cdrg-ibis. */
export const BOUNDS = { cancelMs: 3_000, configApplyMs: 2_000, contactMs: 3_000, drainMs: 2_000, finishMs: 14_000, graceS: 6, holdMaxMs: 6_000, recoveryMs: 12_000, stopMs: 900 }

/** A draining worker goes on for `DrainMs` after the acknowledgement, and a little longer. */
export const DRAINING_MS = BOUNDS.drainMs + 500
/** A worker whose message that it leaves is not acknowledged ends some seconds later. */
const LINGER_MS = 3_000
/** Clients wait this long for a response (column "deadline ms" of the sheet). */
const CLIENT_DEADLINE_MS = 3_000
const START_TIMEOUT_MS = 30_000
const MIN_PORT = 12_000
const MAX_PORT = 32_000
const REPOSITORY = process.cwd()

export const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

/** Polls until the check resolves with true; resolves with whether it did within the time. */
export const becomesTrue = async (check: () => boolean | Promise<boolean>, timeoutMs: number): Promise<boolean> => {
  const deadlineMs = Date.now() + timeoutMs
  while (Date.now() < deadlineMs) {
    if (await Promise.resolve(check()).catch(() => false)) return true
    await pause(20)
  }
  return false
}

/** A case that could not be set up; its script exits with 2. */
export class SetupError extends Error {}

const isFree = (port: number): Promise<boolean> => new Promise((resolve) => {
  const server = createServer()
  server.once('error', () => resolve(false))
  server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
})

/** Finds ports below those that the system gives to outgoing connections, at random, so that cases can run side by side. */
const findFreePorts = async (count: number): Promise<number[]> => {
  const ports: number[] = []
  while (ports.length < count) {
    const port = MIN_PORT + Math.floor(Math.random() * (MAX_PORT - MIN_PORT))
    // Metrics are served on the port after the internal port.
    if (ports.every((other) => Math.abs(other - port) > 1) && await isFree(port)) ports.push(port)
  }
  return ports
}

const readCommand = (role: string): string[] => {
  const text = readFileSync(`${REPOSITORY}/deploy/system.toml`, 'utf8')
  const section = text.slice(text.indexOf(`[roles.${role}]`))
  return /run = "([^"]+)"/.exec(section)![1]!.split(' ')
}

/** Fills in the template of the settings as the platform does, as far as it uses placeholders. */
const renderSettings = (fields: Record<string, unknown>): string => {
  const template = readFileSync(`${REPOSITORY}/deploy/settings.yaml.tmpl`, 'utf8')
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path: string, isJson?: string) => {
    const value = path.split('.').reduce<any>((parent, name) => parent?.[name], fields)
    return isJson ? JSON.stringify(value ?? null) : String(value ?? '')
  })
}

export interface RunEvent {
  readonly worker: string
  readonly task: string
  readonly run: number
  outcome: string
  readonly atMs: number
  isNoted: boolean
}

/** Proxies on the links of one worker. */
interface WorkerLinks {
  /** The worker's address, at which the proxies listen. */
  readonly address: string
  /** In front of the worker. */
  readonly toWorker: TcpProxy
  /** Through which the worker calls the control processes, in their order. */
  readonly toControls: readonly TcpProxy[]
}

export interface JobAnswer {
  /** 0 if there was no response. */
  readonly status: number
  readonly state: string
}

/** The programs of deploy/system.toml as processes on loopback addresses, with workers and the platform's calls. */
export class Deployment {
  readonly workers: FakeWorker[] = []
  /** Proxies in front of the internal listeners of the control processes, by address. */
  readonly controlProxies = new Map<string, TcpProxy>()
  readonly #workerLinks = new Map<FakeWorker, WorkerLinks>()
  readonly folder = mkdtempSync(`${tmpdir()}/review-`)
  readonly #record: Recorder
  readonly #processes = new Map<string, ChildProcess>()
  /** Number of the disk of each control process that has lost one. */
  readonly #disks = new Map<string, number>()
  readonly #removed = new Set<FakeWorker>()
  /** What the workers listed as ended, in order. */
  readonly #ends: RunEvent[] = []
  readonly #starts: RunEvent[] = []
  #ports = { internal: 0, behindProxy: 0, control: 0, callers: 0, ready: 0, worker: 0, behindWorkerProxy: 0 }

  constructor (record: Recorder) {
    this.#record = record
    process.once('exit', () => this.#killAll())
  }

  async start ({ isProxied = false } = {}): Promise<void> {
    const [internal, behindProxy, control, callers, ready, worker, behindWorkerProxy] = await findFreePorts(7) as [number, number, number, number, number, number, number]
    this.#ports = { internal, behindProxy, control, callers, ready, worker, behindWorkerProxy }
    for (const address of isProxied ? CONTROLS : []) {
      const proxy = await TcpProxy.start({ address, port: internal })
      proxy.setTarget(behindProxy, address)
      this.controlProxies.set(address, proxy)
    }
    for (const address of [...CONTROLS, ...ENTRIES]) this.#launch(address)
  }

  /** Adds a worker in the rack, with 8 accelerators; its tasks run for `runMs`. Its links can be cut if it is proxied. */
  async addWorker (id: string, rack: string, runMs: number, { isProxied = false } = {}): Promise<FakeWorker> {
    const address = `127.0.1.${this.workers.length + 1}`
    const port = isProxied ? this.#ports.behindWorkerProxy : this.#ports.worker
    const toControls: TcpProxy[] = []
    for (const control of isProxied ? CONTROLS : []) {
      const proxy = await TcpProxy.start({ address, port: 0 })
      proxy.setTarget(this.#ports.control, control)
      toControls.push(proxy)
    }
    const worker = new FakeWorker({
      id,
      rack,
      runMs,
      address,
      port,
      announcedPort: this.#ports.worker,
      controls: isProxied ? toControls.map((proxy) => `${address}:${proxy.port}`) : CONTROLS.map((control) => `${control}:${this.#ports.control}`),
      observer: this.#createObserver(id)
    })
    this.workers.push(worker)
    await worker.start()
    if (!isProxied) return worker
    const toWorker = await TcpProxy.start({ address, port: this.#ports.worker })
    toWorker.setTarget(port, address)
    this.#workerLinks.set(worker, { address, toWorker, toControls })
    return worker
  }

  #createObserver (id: string): WorkerObserver {
    return {
      onStart: (_worker, task, run) => {
        this.#starts.push({ worker: id, task, run, outcome: '', atMs: Date.now(), isNoted: false })
        this.#record.write(`worker ${id}: task ${task} run ${run} starts`)
      },
      onEnd: (_worker, task, run, outcome) => {
        this.#ends.push({ worker: id, task, run, outcome, atMs: Date.now(), isNoted: false })
        this.#record.write(`worker ${id}: task ${task} run ${run} ends ${outcome}`)
      },
      onAcknowledged: (_worker, task, outcome) => {
        const noted = this.#ends.find((end) => end.worker === id && end.task === task && end.outcome === outcome && !end.isNoted)
        if (noted) noted.isNoted = true
        this.#record.write(`worker ${id}: end ${outcome} of ${task}${noted ? ` run ${noted.run}` : ''} taken note of`)
      },
      onLeaseExpired: () => {
        // Ends before a lapse of the lease no longer count as taken note of later.
        for (const end of this.#ends) if (end.worker === id && !end.isNoted) end.outcome = `${end.outcome}, then lapsed`
        this.#record.write(`worker ${id}: lease lapsed`)
      }
    }
  }

  /** Loses everything that the machines send to a proxied worker; what it sends still arrives. */
  cutToWorker (worker: FakeWorker): void {
    const { toWorker, toControls } = this.#workerLinks.get(worker)!
    this.#record.write(`links: what the machines send to worker ${worker.id} is lost from now on`)
    // Neither workers nor calls to them name a node in a header.
    toWorker.cut('', 'requests')
    for (const proxy of toControls) proxy.cut('', 'answers')
  }

  /** Empties a worker and takes it away: it reports that it drains, goes on for a while after the acknowledgement, and leaves. */
  async removeWorker (worker: FakeWorker): Promise<void> {
    await this.drainWorker(worker)
    await pause(DRAINING_MS)
    await this.endWorker(worker)
  }

  /** Resolves once it is acknowledged that the worker drains. */
  async drainWorker (worker: FakeWorker): Promise<void> {
    while (!await worker.drain()) await pause(200)
    this.#record.write(`worker ${worker.id}: drain acknowledged`)
  }

  /** A draining worker says that it leaves. It ends when that is acknowledged, otherwise some seconds later. */
  async endWorker (worker: FakeWorker): Promise<void> {
    const isAcknowledged = await Promise.race([this.#sendLeave(worker), pause(LINGER_MS).then(() => false)])
    this.#record.write(`worker ${worker.id}: ends, ${isAcknowledged ? 'as it has an acknowledgement' : 'though it has no acknowledgement'}`)
    this.#removed.add(worker)
    worker.stop()
  }

  /** Calls one control process after the other until one answers within a second. */
  async #sendLeave (worker: FakeWorker): Promise<boolean> {
    const links = this.#workerLinks.get(worker)
    const controls = links ? links.toControls.map((proxy) => `${links.address}:${proxy.port}`) : CONTROLS.map((control) => `${control}:${this.#ports.control}`)
    for (const control of controls) {
      if (!this.isUp(worker)) return false
      this.#record.write(`worker ${worker.id}: says that it leaves`)
      const reply = await callJson(control, 'POST', `/ibisstair/Instances.Leave/${worker.id}`, undefined, {}, 1_000).catch(() => null)
      this.#record.write(`worker ${worker.id}: ${reply ? `answer ${reply.status}` : 'no answer within a second'}`)
      if (reply?.status === 200) return true
    }
    return false
  }

  isUp (worker: FakeWorker): boolean {
    return !this.#removed.has(worker)
  }

  /** Returns the tasks of the job that run on workers that are up. */
  listRunning (job: string): string[] {
    return this.workers.filter((worker) => this.isUp(worker)).flatMap(({ running }) => running.filter((task) => task.startsWith(job)))
  }

  /** Returns the starts of the job's tasks, on all workers and in all their lives. */
  listStarts (job: string): readonly RunEvent[] {
    return this.#starts.filter(({ task }) => task.startsWith(job))
  }

  /** Returns how TWICE is broken by two runs of a task at this moment, on workers that are up; null if it is not. */
  findParallelRuns (job: string): string | null {
    const running = this.workers.filter((worker) => this.isUp(worker)).flatMap(({ id, running }) => running.map((task) => ({ id, task })))
    const pair = running.flatMap((one) => running.filter((other) => one.task.startsWith(job) && other.task === one.task && other.id > one.id).map((other) => ({ task: one.task, ids: [one.id, other.id] })))[0]
    return pair ? `TWICE: task ${pair.task} runs on the workers ${pair.ids.join(' and ')} at the same time` : null
  }

  /** Returns how TWICE is broken: a start after a run of the task has ended `done`, when that end was taken note of at any time; null otherwise. */
  findRepeatedRun (): string | null {
    for (const end of this.#ends) {
      const again = this.#starts.find(({ task, run, atMs }) => task === end.task && run > end.run && atMs >= end.atMs)
      if (end.outcome === 'done' && end.isNoted && again) return `TWICE: task ${end.task} ended done in run ${end.run}, which was taken note of, and run ${again.run} started ${again.atMs - end.atMs} ms after that end`
    }
    return null
  }

  /** Waits until each entry is ready, and until a configuration is acknowledged. Throws `SetupError`. */
  async configure (config: object): Promise<void> {
    const isConfigured = await becomesTrue(async () => (await this.putConfig(config)) === 200, START_TIMEOUT_MS)
    if (!isConfigured) throw new SetupError('no configuration was acknowledged')
    for (const address of ENTRIES) {
      const isReady = await becomesTrue(async () => (await callJson(`${address}:${this.#ports.ready}`, 'GET', '/ibisstair/readiness')).status === 200, START_TIMEOUT_MS)
      if (!isReady) throw new SetupError(`entry ${address} is not ready`)
    }
    // Workers announce themselves each half second.
    await pause(1_500)
  }

  async callControl (method: string, path: string, body?: unknown): Promise<{ status: number, body: any }> {
    for (let attempt = 0; ; attempt++) {
      const address = CONTROLS[attempt % CONTROLS.length]!
      const reply = await callJson(`${address}:${this.#ports.control}`, method, path, body, {}, 1_000).catch(() => null)
      if (reply && reply.status < 500) return reply
      if (attempt >= 20) return reply ?? { status: 0, body: null }
      await pause(100)
    }
  }

  async putConfig (config: object): Promise<number> {
    const { status } = await this.callControl('POST', '/ibisstair/Config.Put', config)
    this.#record.write(`operator: Config.Put version ${(config as { Version: number }).Version}, answer ${status}`)
    return status
  }

  /** Sends a client's request to an entry and records the answer. */
  async call (method: string, path: string, { body, entry = ENTRIES[0]!, key = KEY, timeoutMs = CLIENT_DEADLINE_MS }: { body?: unknown, entry?: string, key?: string, timeoutMs?: number } = {}): Promise<JobAnswer> {
    const headers = { host: HOST, 'x-ibisstair-credential': key, 'x-ibisstair-deadline-ms': String(CLIENT_DEADLINE_MS) }
    this.#record.write(`client: ${method} ${path} to entry ${entry}`)
    const reply = await callJson(`${entry}:${this.#ports.callers}`, method, path, body, headers, timeoutMs).catch((err: Error) => err)
    const answer = reply instanceof Error ? { status: 0, state: reply.message } : { status: reply.status, state: String(reply.body?.State ?? reply.body?.error?.kind ?? '') }
    this.#record.write(`client: ${method} ${path} answered ${answer.status} ${answer.state}`)
    return answer
  }

  signal (address: string, signal: NodeJS.Signals): void {
    this.#record.write(`platform: ${signal} to ${address}`)
    this.#processes.get(address)!.kill(signal)
  }

  async kill (address: string): Promise<void> {
    const child = this.#processes.get(address)!
    const ended = new Promise((resolve) => child.once('exit', resolve))
    this.signal(address, 'SIGKILL')
    await ended
  }

  relaunch (address: string): void {
    this.#record.write(`platform: starts ${address} again`)
    this.#launch(address, false)
  }

  /** Starts a control process again after its disk was lost. */
  relaunchWithEmptyDisk (address: string): void {
    this.#record.write(`platform: starts ${address} again, with an empty disk`)
    this.#disks.set(address, this.#getDisk(address) + 1)
    this.#launch(address, false)
  }

  readLog (address: string): string {
    return readFileSync(`${this.folder}/${address}.log`, 'utf8')
  }

  /** Returns the address of the control process that leads the latest term. */
  findLeader (): string {
    const terms = CONTROLS.map((address) => {
      const found = [...this.readLog(address).matchAll(/"begins to lead","fields":\{"term":(\d+)/g)].map(([, term]) => Number(term))
      return { address, term: Math.max(0, ...found) }
    })
    return terms.sort((a, b) => b.term - a.term)[0]!.address
  }

  /** Ends the workers, the proxies and all processes. Events from now on are not recorded. */
  stop (): void {
    this.#record.close()
    for (const worker of this.workers) worker.stop()
    const links = [...this.#workerLinks.values()].flatMap(({ toWorker, toControls }) => [toWorker, ...toControls])
    for (const proxy of [...this.controlProxies.values(), ...links]) proxy.close()
    this.#killAll()
    if (process.env.KEEP_LOGS) console.log(`logs are in ${this.folder}`)
    else rmSync(this.folder, { recursive: true, force: true })
  }

  #launch (address: string, isInstallation = true): void {
    const isControl = CONTROLS.includes(address)
    const { internal, behindProxy, control, callers, ready } = this.#ports
    const settings = renderSettings({
      Node: `node-${address}`,
      Ip: address,
      Zone: 'z1',
      PortRange: [internal, internal + 15],
      Seeds: CONTROLS.slice(0, 3).map((seed) => `${seed}:${control}`),
      Bootstrap: isInstallation,
      ...(isControl && { DataDir: `${this.folder}/data-${address}-${this.#getDisk(address)}` }),
      Listen: isControl ? { Control: `${address}:${control}` } : { Front: `${address}:${callers}`, Ready: `${address}:${ready}` },
      Bounds: { HoldMaxMs: BOUNDS.holdMaxMs, GraceS: BOUNDS.graceS },
      FaultTolerance: { Machines: 1 }
    })
    const listener = isControl && this.controlProxies.size > 0 ? `internalListener: ${address}:${behindProxy}\n` : ''
    const file = `${this.folder}/${address}.yaml`
    writeFileSync(file, settings + listener)
    const [program, ...args] = readCommand(isControl ? 'control' : 'entry') as [string, ...string[]]
    const child = spawn(program, args, { cwd: REPOSITORY, env: { PATH: process.env.PATH, HOME: process.env.HOME, IBISSTAIR_SETTINGS: file, UV_USE_IO_URING: '0' }, stdio: ['ignore', 'pipe', 'pipe'] })
    for (const stream of [child.stdout, child.stderr]) stream.on('data', (chunk: Buffer) => appendFileSync(`${this.folder}/${address}.log`, chunk))
    child.once('exit', (code, signal) => this.#record.write(`process at ${address} ended: code ${code}, signal ${signal}`))
    this.#processes.set(address, child)
  }

  #getDisk (address: string): number {
    return this.#disks.get(address) ?? 1
  }

  #killAll (): void {
    for (const child of this.#processes.values()) if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
  }
}
