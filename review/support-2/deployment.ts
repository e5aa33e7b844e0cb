import { spawn, type ChildProcess } from 'node:child_process'
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, type AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { resolve } from 'node:path'
import { callJson, waitUntil, type Reply } from './http.ts'
import type { Record } from './record.ts'
import { Worker } from './worker.ts'

const CONTROLS = ['127.41.0.1', '127.41.0.2', '127.41.0.3']
const ENTRY = '127.41.1.1'
const HOST = 'jobs.example'
export const KEY = 'key-of-the-clinics'
/** Calls between processes, metrics and announcements use three ports in a row. */
const INTERNAL_PORTS = 3

type Role = 'control' | 'entry'

const findFreePort = (): Promise<number> => new Promise((resolve, reject) => {
  const server = createServer()
  server.once('error', reject)
  server.listen(0, '127.0.0.1', () => {
    const { port } = server.address() as AddressInfo
    server.close(() => resolve(port))
  })
})

const findFreePorts = async (count: number): Promise<number[]> => {
  const ports: number[] = []
  while (ports.length < count) {
    const port = await findFreePort()
    if (port < 65_000 && ports.every((other) => Math.abs(other - port) >= INTERNAL_PORTS)) ports.push(port)
  }
  return ports
}

/** Returns the words of the command with which the deploy file starts a role. */
const readCommand = (root: string, role: Role): string[] => {
  const text = readFileSync(resolve(root, 'deploy/system.toml'), 'utf8')
  const command = new RegExp(`\\[roles\\.${role}\\][^[]*?run = "([^"]+)"`).exec(text)?.[1]
  if (!command) throw new Error(`deploy/system.toml has no command for ${role}`)
  return command.split(' ')
}

const toService = (name: string): object => ({ Name: name, HealthPath: '/health', MaxConns: 64, Protocol: 'h1', Tls: false, RejectsOverload: false, Standby: false })

const createConfig = (version: number, routes: readonly object[], services: readonly string[]): object => ({
  Version: version,
  Routes: routes,
  Services: services.map(toService),
  Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
  Tenants: [{ Name: 'clinics', ApiKeys: [KEY], Priority: 1, Guaranteed: { Gpu: 4 } }]
})

/** A queue under `/NAME/`; priority 0 is the most urgent. */
export const createRoute = (name: string, priority: number, service = 'app'): object =>
  ({ Name: name, Host: HOST, PathPrefix: `/${name}/`, Kind: 'unsafe', TimeoutMs: 3_000, TargetLatencyMs: 1_000, Priority: priority, Service: service, MaxAttempts: 2, Stretch: 3, Public: false })

/** Three control processes and one entry of the project, started with the commands of the deploy file, and stand-ins for workers. */
export class Deployment {
  readonly workers: Worker[] = []
  readonly #root = process.cwd()
  readonly #folder = mkdtempSync(`${tmpdir()}/ibisstair-review-`)
  readonly #record: Record
  readonly #children = new Map<string, ChildProcess>()
  #ports = { internal: 0, control: 0, callers: 0, ready: 0, worker: 0 }

  constructor (record: Record) {
    this.#record = record
    process.once('exit', () => this.#killAll())
  }

  get controls (): readonly string[] {
    return CONTROLS.map((address) => `${address}:${this.#ports.control}`)
  }

  async start (routes: readonly object[], services: readonly string[] = ['app']): Promise<void> {
    const [internal, control, callers, ready, worker] = await findFreePorts(5) as [number, number, number, number, number]
    this.#ports = { internal, control, callers, ready, worker }
    for (const address of CONTROLS) this.#launch(address, 'control')
    this.#launch(ENTRY, 'entry')
    await this.configure(1, routes, services)
    await waitUntil('the entry is ready', async () => (await callJson(`${ENTRY}:${ready}`, 'GET', '/ibisstair/readiness')).status === 200, 30_000, 200)
  }

  /** Sends a configuration as the operator does, until it is acknowledged. */
  async configure (version: number, routes: readonly object[], services: readonly string[] = ['app']): Promise<void> {
    const config = createConfig(version, routes, services)
    await waitUntil('the configuration is acknowledged', async () => (await callJson(this.controls[0]!, 'POST', '/ibisstair/Config.Put', config)).status === 200, 30_000, 200)
    this.#record.add('operator', 'configuration acknowledged', { version, routes, services })
  }

  async addWorker (id: string, labels: readonly string[], service = 'app'): Promise<Worker> {
    const address = `127.41.2.${this.workers.length + 1}`
    const worker = new Worker({ id, address, port: this.#ports.worker, controls: this.controls, labels, service, record: this.#record })
    this.workers.push(worker)
    await worker.start()
    return worker
  }

  /** A client's call; null when no complete answer came. */
  async call (method: string, path: string, body?: object): Promise<Reply | null> {
    const reply = await callJson(`${ENTRY}:${this.#ports.callers}`, method, path, body, { host: HOST, 'x-ibisstair-credential': KEY, 'x-ibisstair-deadline-ms': '3000' }).catch(() => null)
    this.#record.add('client', `${method} ${path}`, { status: reply?.status ?? null, ...(reply?.body?.State && { state: reply.body.State }) })
    return reply
  }

  /** Hands a job in, again after each answer that leaves its outcome open; rejects if it is not accepted. */
  async submit (path: string, body: object): Promise<void> {
    for (let attempt = 0; attempt < 5; attempt++) {
      const reply = await this.call('POST', path, body)
      if (reply?.status === 200) return
      if (reply && reply.status !== 502 && reply.status !== 504) throw new Error(`${path} was answered with ${reply.status}`)
    }
    throw new Error(`${path} was not accepted`)
  }

  async readState (path: string): Promise<string> {
    const reply = await this.call('GET', path)
    return reply?.status === 200 ? String(reply.body.State) : String(reply?.status ?? 'none')
  }

  /** Ends all processes and stand-ins; with KEEP=1 in the environment the logs stay. */
  stop (): void {
    for (const worker of this.workers) worker.stop()
    this.#killAll()
    if (process.env.KEEP !== '1') rmSync(this.#folder, { recursive: true, force: true })
    else console.log(`logs: ${this.#folder}`)
  }

  #launch (address: string, role: Role): void {
    const { internal, control, callers, ready } = this.#ports
    const isControl = role === 'control'
    const dataFolder = `${this.#folder}/data-${address}`
    if (isControl) mkdirSync(dataFolder)
    const settings = `${this.#folder}/${address}.yaml`
    // The fields of deploy/settings.yaml.tmpl; JSON is YAML.
    writeFileSync(settings, JSON.stringify({
      node: `${role}-${address}`,
      address,
      domain: 'z1',
      internalPort: internal,
      seeds: CONTROLS.map((seed) => `${seed}:${control}`),
      installation: true,
      dataFolder: isControl ? dataFolder : null,
      listen: { callers: isControl ? null : `${address}:${callers}`, ready: isControl ? null : `${address}:${ready}`, control: isControl ? `${address}:${control}` : null },
      leaseMaxMs: 6_000,
      shutdownS: 6,
      diskLosses: 1
    }))
    const [program, ...args] = readCommand(this.#root, role) as [string, ...string[]]
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, IBISSTAIR_SETTINGS: settings, UV_USE_IO_URING: '0' }
    const child = spawn(program, args, { cwd: this.#root, env, stdio: ['ignore', 'pipe', 'pipe'] })
    for (const stream of [child.stdout, child.stderr]) stream.on('data', (chunk: Buffer) => appendFileSync(`${this.#folder}/${address}.log`, chunk))
    this.#children.set(address, child)
  }

  #killAll (): void {
    for (const child of this.#children.values()) child.kill('SIGKILL')
  }
}
