// Starts the processes of one deployment on loopback for the demo and the end-to-end tests. Only
// this development script starts processes; the shipped binaries start none.
import { spawn, type ChildProcess } from 'node:child_process'
import { randomInt } from 'node:crypto'
import { closeSync, mkdirSync, openSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, type Server } from 'node:net'
import { fileURLToPath } from 'node:url'
import { stringify } from 'yaml'

const ROOT = fileURLToPath(new URL('..', import.meta.url))
const BINARIES = { entry: 'ibisstair-entry.mjs', control: 'ibisstair-control.mjs' } as const
const STOP_TIMEOUT_MS = 100_000

export interface Address {
  readonly address: string
  readonly port: number
}

export interface EntryAddress {
  readonly node: string
  readonly domain: string
  readonly callers: Address
  readonly endpoints: Address
  readonly operators: Address
  readonly internal: Address
}

export interface ControlAddress extends Address {
  readonly node: string
  readonly domain: string
}

export interface DeploymentOptions {
  readonly folder: string
  readonly name: string
  readonly domains: readonly string[]
  readonly entriesPerDomain?: number
  readonly drainMs?: number
  /** Folder of the bundles; the tests build their own, so that no other run overwrites them. */
  readonly binaries?: string
  /** Returns the settings to write for a process, for example with the port of a proxy. */
  readonly adjust?: (node: string, settings: Settings) => Settings
}

export type Settings = Readonly<Record<string, any>>

type Role = keyof typeof BINARIES

interface ManagedProcess {
  readonly role: Role
  readonly file: string
  settings: Settings
  child: ChildProcess | null
}

const FIRST_PORT = 10_000
const PORT_BLOCKS = 160
const PORTS_PER_BLOCK = 128

const listen = (port: number): Promise<Server | null> => new Promise((resolve) => {
  const server = createServer()
  server.once('error', () => resolve(null))
  server.listen(port, '127.0.0.1', () => resolve(server))
})

const isFree = async (port: number): Promise<boolean> => {
  const server = await listen(port)
  if (server) await new Promise((resolve) => { server.close(resolve) })
  return server !== null
}

interface PortBlock {
  readonly ports: number[]
  /** Listener on the first port of the block, so that no other deployment claims the block. */
  readonly claim: Server
}

/**
 * Claims a block of free ports below the range that the system assigns to outgoing connections; such
 * a connection could occupy a port before the process that listens there has started.
 */
const claimPorts = async (count: number): Promise<PortBlock> => {
  if (count >= PORTS_PER_BLOCK) throw new Error(`${count} ports are needed, a block has ${PORTS_PER_BLOCK - 1}`)
  const first = randomInt(PORT_BLOCKS)
  for (let i = 0; i < PORT_BLOCKS; i += 1) {
    const base = FIRST_PORT + ((first + i) % PORT_BLOCKS) * PORTS_PER_BLOCK
    const claim = await listen(base)
    if (!claim) continue
    const ports = Array.from({ length: count }, (_, offset) => base + 1 + offset)
    const free = await Promise.all(ports.map(isFree))
    if (free.every(Boolean)) return { ports, claim }
    claim.close()
  }
  throw new Error('no block of free ports was found')
}

export class Deployment {
  readonly entries: readonly EntryAddress[]
  readonly controls: readonly ControlAddress[]
  readonly secret: string
  readonly secretFile: string
  readonly #options: DeploymentOptions
  readonly #claim: Server
  readonly #processes = new Map<string, ManagedProcess>()

  private constructor (options: DeploymentOptions, entries: readonly EntryAddress[], controls: readonly ControlAddress[], claim: Server) {
    this.#options = options
    this.#claim = claim
    this.entries = entries
    this.controls = controls
    this.secret = `secret-of-${options.name}-deployment`
    this.secretFile = `${options.folder}/secret`
  }

  /** Claims ports and writes the settings of every process: two control processes and, by default, two entries in each domain. */
  static async create (options: DeploymentOptions): Promise<Deployment> {
    rmSync(options.folder, { recursive: true, force: true })
    mkdirSync(options.folder, { recursive: true })
    const entriesPerDomain = options.entriesPerDomain ?? 2
    const { ports, claim } = await claimPorts(options.domains.length * (entriesPerDomain * 4 + 2))
    const nextAddress = (): Address => ({ address: '127.0.0.1', port: ports.pop()! })
    const entries = options.domains.flatMap((domain) => Array.from({ length: entriesPerDomain }, (_, i): EntryAddress => ({
      node: `${domain}-entry-${i + 1}`, domain, callers: nextAddress(), endpoints: nextAddress(), operators: nextAddress(), internal: nextAddress()
    })))
    const controls = options.domains.flatMap((domain) => [1, 2].map((i): ControlAddress => ({ node: `${domain}-control-${i}`, domain, ...nextAddress() })))
    const deployment = new Deployment(options, entries, controls, claim)
    deployment.#writeSettings()
    return deployment
  }

  async start (): Promise<void> {
    await Promise.all(this.controls.map(({ node }) => this.initData(node)))
    for (const { node } of [...this.controls, ...this.entries]) this.startProcess(node)
  }

  startProcess (node: string): void {
    const managed = this.#get(node)
    const log = openSync(`${this.#options.folder}/${node}.log`, 'a')
    managed.child = spawn(process.execPath, [this.#getBinary(managed.role), '--settings', managed.file], {
      stdio: ['ignore', log, log],
      env: { ...process.env, UV_USE_IO_URING: '0' }
    })
    closeSync(log)
    managed.child.once('exit', (code) => {
      if (code !== null && code !== 0) console.error(`${node} ended with exit code ${code}; see ${this.#options.folder}/${node}.log`)
    })
  }

  getPid (node: string): number | undefined {
    return this.#get(node).child?.pid
  }

  signal (node: string, signal: NodeJS.Signals): void {
    this.#get(node).child?.kill(signal)
  }

  /** Kills the process with SIGKILL and waits until it has ended. */
  async kill (node: string): Promise<void> {
    await this.#end(node, 'SIGKILL')
  }

  /** Ends the process with SIGTERM; resolves with its exit code. */
  async terminate (node: string): Promise<number | null> {
    return await this.#end(node, 'SIGTERM')
  }

  /** Deletes the data folder, as when the disk of a VM is replaced. */
  loseData (node: string): void {
    rmSync(this.getDataFolder(node), { recursive: true, force: true })
  }

  /** Rewrites the settings of a process; they are read at its next start. */
  changeSettings (node: string, change: (settings: Settings) => Settings): void {
    const managed = this.#get(node)
    managed.settings = change(managed.settings)
    writeFileSync(managed.file, stringify(managed.settings))
  }

  getDataFolder (node: string): string {
    return `${this.#options.folder}/${node}`
  }

  async stop (): Promise<void> {
    await Promise.all([...this.#processes.keys()].map((node) => this.#end(node, 'SIGKILL')))
    await new Promise((resolve) => { this.#claim.close(resolve) })
  }

  #get (node: string): ManagedProcess {
    const managed = this.#processes.get(node)
    if (!managed) throw new Error(`no process ${node}`)
    return managed
  }

  async #end (node: string, signal: NodeJS.Signals): Promise<number | null> {
    const managed = this.#get(node)
    const { child } = managed
    if (!child || child.exitCode !== null || child.signalCode !== null) return child?.exitCode ?? null
    const ended = new Promise<number | null>((resolve) => { child.once('exit', (code) => resolve(code)) })
    child.kill(signal)
    const timeout = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS)
    const code = await ended
    clearTimeout(timeout)
    managed.child = null
    return code
  }

  #getBinary (role: Role): string {
    return `${this.#options.binaries ?? `${ROOT}dist`}/${BINARIES[role]}`
  }

  /** Creates the data folder with the first incarnation, as an installation does. */
  async initData (node: string): Promise<void> {
    const { file, role } = this.#get(node)
    const child = spawn(process.execPath, [this.#getBinary(role), '--init', '--settings', file], { stdio: ['ignore', 'inherit', 'inherit'] })
    const code = await new Promise((resolve) => { child.once('exit', resolve) })
    if (code !== 0) throw new Error(`${node}: initialisation ended with exit code ${code}`)
  }

  #writeSettings (): void {
    const { folder, name, domains, drainMs } = this.#options
    writeFileSync(this.secretFile, `${this.secret}\n`, { mode: 0o600 })
    const entries = this.entries.map(({ node, domain, internal }) => ({ node, domain, ...internal }))
    const common = { deployment: name, secretFile: this.secretFile, controls: this.controls, entries, log: { level: 'info' } }
    const groups = {
      // One voter in each domain, and a fifth so that the group survives the loss of two voters.
      config: { voters: this.controls.filter(({ node }, i) => node.endsWith('-1') || i === 1).map(({ node }) => node).slice(0, domains.length < 4 ? domains.length | 1 : 5) },
      domains: domains.map((domain, i) => ({
        domain,
        voters: this.controls.filter((control) => control.domain === domain).map(({ node }) => node),
        witness: `${domains[(i + 1) % domains.length]}-control-${(i % 2) + 1}`
      }))
    }
    for (const { node, domain, address, port } of this.controls) {
      this.#addProcess('control', node, { ...common, node, domain, listen: { internal: { address, port } }, dataFolder: this.getDataFolder(node), groups })
    }
    for (const { node, domain, callers, endpoints, operators, internal } of this.entries) {
      this.#addProcess('entry', node, { ...common, node, domain, listen: { callers, endpoints, operators, internal }, dataFolder: this.getDataFolder(node), shutdown: { drainMs: drainMs ?? 500 } })
    }
    mkdirSync(folder, { recursive: true })
  }

  #addProcess (role: Role, node: string, settings: Settings): void {
    const file = `${this.#options.folder}/${node}.yaml`
    const adjusted = this.#options.adjust?.(node, settings) ?? settings
    writeFileSync(file, stringify(adjusted))
    this.#processes.set(node, { role, file, settings: adjusted, child: null })
  }
}
