import { spawn, type ChildProcess } from 'node:child_process'
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { callJson } from '../../platform/tests/support/call-json.ts'

export type Role = 'entry' | 'control'
type Fields = Readonly<Record<string, unknown>>

export const HOST = 'jobs.example'
export const KEY = 'key-of-clinics-0001'
export const BOUNDS = { ContactMs: 3_000, AckMs: 4_000, CatchUpS: 4, DrainMs: 2_000, GraceS: 6, ConfigApplyMs: 2_000, RecoveryS: 12, HoldMaxMs: 6_000, StopMs: 400, GangMs: 3_000 }
/** The operator moves on to another node after this time without an answer. */
const OPERATOR_TIMEOUT_MS = 1_000
const POLL_MS = 50
/** Within the ports that are free for the project. */
const BEHIND_PROXY_OFFSET = 5

export const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)))

export const toTarget = (text: string): { readonly address: string, readonly port: number } => {
  const [address, port] = text.split(':') as [string, string]
  return { address, port: Number(port) }
}

/** Resolves with whether the check came true before the timeout. */
export const waitUntil = async (check: () => Promise<boolean> | boolean, timeoutMs: number): Promise<boolean> => {
  const endMs = performance.now() + timeoutMs
  while (performance.now() < endMs) {
    if (await Promise.resolve().then(check).catch(() => false)) return true
    await sleep(POLL_MS)
  }
  return false
}

/** Writes the record of a case, one line for each event, with the milliseconds since its start. */
export class CaseRecord {
  readonly #file: string
  readonly #startedAtMs = performance.now()

  constructor (folder: string) {
    this.#file = `${folder}/record.txt`
    writeFileSync(this.#file, '')
  }

  write (text: string): void {
    const line = `${String(Math.round(performance.now() - this.#startedAtMs)).padStart(6)} ${text}\n`
    appendFileSync(this.#file, line)
    process.stdout.write(line)
  }
}

const findFreePort = (address: string): Promise<number> => new Promise((resolve, reject) => {
  const server = createServer()
  server.once('error', reject)
  server.listen(0, address, () => {
    const { port } = server.address() as { port: number }
    server.close(() => resolve(port))
  })
})

const lookUp = (fields: unknown, path: string): unknown =>
  path.split('.').reduce<unknown>((value, name) => (value as Record<string, unknown> | undefined)?.[name], fields)

const asText = (value: unknown): string => Array.isArray(value) ? value.join(',') : value === undefined || value === null ? '' : typeof value === 'object' ? JSON.stringify(value) : String(value)

/** Fills in the placeholders of a settings template that the deploy file uses: values, JSON values and sections over a table. */
const render = (template: string, fields: Fields): string => template
  .replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, path: string, body: string) => {
    const keys = Object.keys(lookUp(fields, path) as object ?? {})
    return keys.map((key, i) => body.replaceAll('{{@}}', key).replaceAll('{{,}}', i < keys.length - 1 ? ',' : '')).join('')
  })
  .replace(/\{\{([\w.]+)\|json\}\}/g, (_, path: string) => JSON.stringify(lookUp(fields, path) ?? null))
  .replace(/\{\{([\w.]+)\}\}/g, (_, path: string) => asText(lookUp(fields, path)))

interface RoleOfDeployFile {
  readonly command: readonly string[]
  readonly template: string
}

const readDeployFile = (): Record<Role, RoleOfDeployFile> => {
  const text = readFileSync('deploy/system.toml', 'utf8')
  const read = (role: Role): RoleOfDeployFile => {
    const section = new RegExp(`\\[roles\\.${role}\\]([^\\[]*(?:\\[[^\\]]*\\][^\\[]*?)*?)(?=\\n\\[roles\\.|$)`).exec(text)![1]!
    const get = (name: string): string => new RegExp(`^${name} = "(.*)"$`, 'm').exec(section)![1]!
    return { command: get('run').split(' '), template: readFileSync(get('template'), 'utf8') }
  }
  return { entry: read('entry'), control: read('control') }
}

export interface Machine {
  readonly address: string
  readonly role: Role
  readonly zone: string
  child: ChildProcess | null
}

export interface DeploymentOptions {
  readonly zones: readonly string[]
  /** Zone of each control process; the first three are the seeds. */
  readonly controls: readonly string[]
  readonly entries: readonly string[]
  readonly record: CaseRecord
  /** Puts a proxy in front of a control process: it listens at the internal port and passes on to the other one. */
  readonly internalBehind?: (machine: Machine, port: number, behind: number) => Promise<void>
}

/** The project's programs as separate processes on loopback addresses, started as the deploy file says. */
export class Deployment {
  readonly controls: Machine[]
  readonly entries: Machine[]
  readonly #options: DeploymentOptions
  readonly #folder = mkdtempSync(`${tmpdir()}/ibisstair-review-`)
  readonly #network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`
  readonly #roles = readDeployFile()
  #ports = { internal: 0, control: 0, front: 0, ready: 0 }
  #nextHost = 1
  #seeds: readonly string[] = []

  constructor (options: DeploymentOptions) {
    this.#options = options
    this.controls = options.controls.map((zone) => this.#createMachine('control', zone))
    this.entries = options.entries.map((zone) => this.#createMachine('entry', zone))
    process.once('exit', () => this.#killAll())
  }

  get controlTargets (): string[] {
    return this.controls.map(({ address }) => `${address}:${this.#ports.control}`)
  }

  get entryTargets (): string[] {
    return this.entries.map(({ address }) => `${address}:${this.#ports.front}`)
  }

  /** An address for a stand-in, with a free port. */
  async createTarget (): Promise<{ readonly address: string, readonly port: number }> {
    const address = this.#nextAddress()
    return { address, port: await findFreePort(address) }
  }

  async start (): Promise<void> {
    const internal = 7_000 + 16 * Math.floor(Math.random() * 100)
    this.#ports = { internal, control: internal + 2_000, front: internal + 2_001, ready: internal + 2_002 }
    this.#seeds = this.controlTargets.slice(0, 3)
    const { internalBehind } = this.#options
    if (internalBehind) for (const machine of this.controls) await internalBehind(machine, internal, internal + BEHIND_PROXY_OFFSET)
    for (const machine of [...this.controls, ...this.entries]) this.launch(machine, true)
    const isServed = await waitUntil(async () => (await this.readConfig(this.controlTargets[0]!)) !== 'no answer', 15_000)
    if (!isServed) throw new Error('the control processes did not start')
  }

  /** Adds a control process on a new machine with an empty disk. */
  addControl (zone: string): Machine {
    const machine = this.#createMachine('control', zone)
    this.controls.push(machine)
    this.launch(machine, false)
    return machine
  }

  launch (machine: Machine, isFirstStart: boolean): void {
    const { address, role, zone } = machine
    const { command, template } = this.#roles[role]
    const { internal, control, front, ready } = this.#ports
    const settings = `${this.#folder}/${address}.yaml`
    const dataFolder = `${this.#folder}/disk-${address}/data`
    if (role === 'control') mkdirSync(`${this.#folder}/disk-${address}`, { recursive: true })
    const isBehindProxy = role === 'control' && this.#options.internalBehind !== undefined
    const portMapping = isBehindProxy ? `\ninternalListener: "${address}:${internal + BEHIND_PROXY_OFFSET}"\n` : ''
    writeFileSync(settings, render(template, {
      Node: `${role}-${address}`,
      Ip: address,
      Zone: zone,
      PortRange: [internal, internal + 15],
      Seeds: isFirstStart ? this.#seeds : this.#listSeeds(machine),
      Bootstrap: isFirstStart,
      DataDir: role === 'control' ? dataFolder : undefined,
      Listen: role === 'control' ? { Control: `${address}:${control}` } : { Front: `${address}:${front}`, Ready: `${address}:${ready}` },
      Bounds: BOUNDS,
      FaultTolerance: { Machines: 1, Zones: 1, Regions: 0 },
      Zones: Object.fromEntries(this.#options.zones.map((name) => [name, 'region']))
    }) + portMapping)
    const [program, ...args] = command as [string, ...string[]]
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      env: { PATH: process.env.PATH, HOME: process.env.HOME, UV_USE_IO_URING: '0', IBISSTAIR_SETTINGS: settings },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    for (const stream of [child.stdout, child.stderr]) stream.on('data', (chunk: Buffer) => appendFileSync(`${this.#folder}/${address}.log`, chunk))
    machine.child = child
  }

  /** Sends a signal and resolves when the process has ended. */
  async end (machine: Machine, signal: NodeJS.Signals): Promise<void> {
    const { child } = machine
    if (!child || child.exitCode !== null || child.signalCode !== null) return
    const ended = new Promise((resolve) => child.once('exit', resolve))
    child.kill(signal)
    await ended
  }

  isRunning ({ child }: Machine): boolean {
    return child !== null && child.exitCode === null && child.signalCode === null
  }

  /** Empties the disk of a machine whose process has ended. */
  wipe ({ address }: Machine): void {
    rmSync(`${this.#folder}/disk-${address}`, { recursive: true, force: true })
  }

  readLog ({ address }: Machine): string {
    try {
      return readFileSync(`${this.#folder}/${address}.log`, 'utf8')
    } catch {
      return ''
    }
  }

  /** Returns the metrics of a process as text. */
  async readMetrics ({ address }: Machine): Promise<string> {
    const reply = await fetch(`http://${address}:${this.#ports.internal + 1}/metrics`)
    return await reply.text()
  }

  /** The control process that began to lead last, by its log. */
  findLeader (): Machine | null {
    const terms = this.controls.map((machine) => ({ machine, term: Math.max(0, ...[...this.readLog(machine).matchAll(/"begins to lead","fields":\{"term":(\d+)/g)].map(([, term]) => Number(term))) }))
    const [newest] = terms.sort((a, b) => b.term - a.term)
    return newest && newest.term > 0 ? newest.machine : null
  }

  // The operator

  /** Sends an order to one node after another, as the operator does, until one answers with 200; resolves with whether one did. */
  async order (path: string, body: unknown, timeoutMs: number, targets = this.controlTargets): Promise<boolean> {
    const endMs = performance.now() + timeoutMs
    for (let i = 0; performance.now() < endMs; i++) {
      const target = targets[i % targets.length]!
      const status = await callJson(target, 'POST', path, body, {}, OPERATOR_TIMEOUT_MS).then((reply) => reply.status, () => 'no answer')
      this.#options.record.write(`operator POST ${path} at ${target}: ${status}`)
      if (status === 200) return true
      await sleep(100)
    }
    return false
  }

  /** Returns the version that a node reads back, its error status, or that it gave no answer. */
  async readConfig (target: string): Promise<number | string> {
    return await callJson(target, 'GET', '/ibisstair/Config.Get', undefined, {}, OPERATOR_TIMEOUT_MS)
      .then(({ status, body }) => status === 200 ? Number(body.Version) : `status ${status}`, () => 'no answer')
  }

  // Clients

  /** Sends a client's request to an entry; resolves with the status, or null without an answer. */
  async call (method: string, path: string, body: unknown, entry: string, key = KEY): Promise<{ readonly status: number | null, readonly body: any }> {
    const headers = { host: HOST, 'x-ibisstair-credential': key, 'x-ibisstair-deadline-ms': '3000' }
    const reply = await callJson(entry, method, path, body, headers, 3_000).catch(() => ({ status: null, body: null }))
    this.#options.record.write(`client ${method} ${path} at ${entry}: ${reply.status ?? 'no answer'} ${JSON.stringify(reply.body ?? '').slice(0, 120)}`)
    return reply
  }

  async submit (id: string, steps: readonly object[], spec = 'work', key = KEY): Promise<boolean> {
    for (let attempt = 0; attempt < 5; attempt++) {
      const { status } = await this.call('POST', `/checks/${id}`, { Spec: spec, Steps: steps }, this.entryTargets[attempt % this.entryTargets.length]!, key)
      if (status === 200) return true
      if (status !== null && status !== 502 && status !== 504) return false
      await sleep(200)
    }
    return false
  }

  async getState (id: string, entry = this.entryTargets[0]!, key = KEY): Promise<string> {
    const { status, body } = await this.call('GET', `/checks/${id}`, undefined, entry, key)
    return status === 200 ? body.State : String(status ?? 'no answer')
  }

  async stop (): Promise<void> {
    await Promise.all([...this.controls, ...this.entries].map((machine) => this.end(machine, 'SIGKILL')))
    if (process.env.KEEP_LOGS) this.#options.record.write(`logs are in ${this.#folder}`)
    else rmSync(this.#folder, { recursive: true, force: true })
  }

  /** The first three control processes of the operator's list; one that has ended is not on it. */
  #listSeeds (starting: Machine): string[] {
    const running = this.controls.filter((machine) => machine !== starting && this.isRunning(machine))
    return running.slice(0, 3).map(({ address }) => `${address}:${this.#ports.control}`)
  }

  #createMachine (role: Role, zone: string): Machine {
    return { address: this.#nextAddress(), role, zone, child: null }
  }

  #nextAddress (): string {
    return `${this.#network}.${this.#nextHost++}`
  }

  #killAll (): void {
    for (const { child } of [...this.controls, ...this.entries]) child?.kill('SIGKILL')
  }
}

export const createConfig = (version: number, overrides: object = {}): object => ({
  Version: version,
  Routes: [{ Name: 'checks', Host: HOST, PathPrefix: '/checks/', Kind: 'unsafe', TimeoutMs: 3_000, TargetLatencyMs: 250, Priority: 0, Service: 'app', MaxAttempts: 3, Stretch: 1.5, Public: false }],
  Services: [{ Name: 'app', HealthPath: '/health', MaxConns: 64, Protocol: 'h1', Tls: false, RejectsOverload: false, Standby: false }],
  Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
  Tenants: [{ Name: 'clinics', ApiKeys: [KEY], Priority: 1, Guaranteed: { Gpu: 8 } }],
  ...overrides
})

export type Verdict = { readonly type: 'held', readonly detail: string } | { readonly type: 'broken', readonly detail: string }

const EXIT_CODES = { held: 0, broken: 1 }
const CANNOT_RUN = 2

/** Runs a case in the folder that the command line names, and exits with its verdict. */
export const runCase = async (play: (record: CaseRecord, isTroubled: boolean) => Promise<Verdict>): Promise<void> => {
  // The processes that a case has started are killed when it exits.
  process.once('SIGTERM', () => process.exit(CANNOT_RUN))
  const record = new CaseRecord(process.argv[2] ?? '.')
  const isTroubled = process.env.TROUBLE !== '0'
  record.write(isTroubled ? 'with the disruption' : 'without the disruption')
  try {
    const { type, detail } = await play(record, isTroubled)
    record.write(`the rule ${type === 'held' ? 'held' : 'was broken'}: ${detail}`)
    process.exit(EXIT_CODES[type])
  } catch (err) {
    record.write(`the case could not run: ${err instanceof Error ? err.stack : String(err)}`)
    process.exit(CANNOT_RUN)
  }
}
