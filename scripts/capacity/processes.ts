import { spawn, type ChildProcess } from 'node:child_process'
import { existsSync, openSync, readFileSync, rmSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { asId, type NodeId } from '@ibisstair/common'
import { RpcClient } from '@ibisstair/rpc'
import { SystemTimerService } from '@ibisstair/timers'
import { Deployment, type Address } from '../deployment.ts'
import { createSmallChange } from './fleet.ts'
import type { ConfigChange } from '@ibisstair/model'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const PAGE_BYTES = 4096
/** Limits concurrent starts so that a large deployment does not use the whole machine while it starts. */
const MAX_CONCURRENT_STARTS = 3
const START_PAUSE_MS = 350
const READY_TIMEOUT_MS = 30_000

export interface Sample {
  readonly atMs: number
  readonly cpuMs: number
  readonly received: number
  readonly sent: number
  readonly sockets: number
  readonly requestsSent: number
  readonly requestsServed: number
  readonly heapBytes: number
  readonly heapAfterGc: number | null
  readonly rssBytes: number
  readonly peakRssBytes: number
}

/** Resource usage of one process per second of the measured window; `rssMb` is its value at the end. */
export interface Usage {
  readonly node: string
  readonly cpuPercent: number
  readonly receivedBytes: number
  readonly sentBytes: number
  readonly requestsSent: number
  readonly requestsServed: number
  readonly connections: number
  readonly rssMb: number
}

export interface ControlStatus {
  readonly configVersion: number
  readonly groups: ReadonlyArray<{ readonly group: string, readonly role: string, readonly members: readonly unknown[] }>
  readonly session: { readonly totalAccelerators: number, readonly recovering: boolean, readonly running: number, readonly queued: number } | null
}

export const timers = new SystemTimerService()

export const waitUntil = async (expectation: string, condition: () => Promise<boolean>): Promise<void> => {
  const endMs = timers.now() + READY_TIMEOUT_MS
  while (!(await condition().catch(() => false))) {
    if (timers.now() > endMs) throw new Error(`timed out: ${expectation}`)
    await timers.delay(100)
  }
}

const toUsage = (node: string, before: Sample, after: Sample): Usage => {
  const seconds = (after.atMs - before.atMs) / 1000
  const rate = (read: (sample: Sample) => number): number => (read(after) - read(before)) / seconds
  return {
    node,
    cpuPercent: rate((sample) => sample.cpuMs) / 10,
    receivedBytes: rate((sample) => sample.received),
    sentBytes: rate((sample) => sample.sent),
    requestsSent: rate((sample) => sample.requestsSent),
    requestsServed: rate((sample) => sample.requestsServed),
    connections: rate((sample) => sample.sockets),
    rssMb: after.rssBytes / 1048576
  }
}

/** The processes of one deployment on loopback, each with the probe preloaded. */
export class MeasuredDeployment {
  readonly deployment: Deployment
  readonly rpc: RpcClient
  readonly #folder: string
  readonly #children = new Map<string, ChildProcess>()

  private constructor (deployment: Deployment, folder: string, name: string) {
    this.deployment = deployment
    this.#folder = folder
    this.rpc = new RpcClient({ deployment: name, node: asId<NodeId>('capacity'), secret: deployment.secret }, timers)
  }

  static async create (folder: string, domains: readonly string[]): Promise<MeasuredDeployment> {
    const name = 'capacity'
    return new MeasuredDeployment(await Deployment.create({ folder, name, domains }), folder, name)
  }

  get nodes (): string[] {
    return [...this.deployment.controls, ...this.deployment.entries].map(({ node }) => node)
  }

  getTarget (node: string): Address {
    const entry = this.deployment.entries.find((item) => item.node === node)
    return entry ? entry.internal : this.deployment.controls.find((item) => item.node === node)!
  }

  /** Starts all processes; `getFlags` returns the V8 flags of each. */
  async start (getFlags: (node: string) => readonly string[] = () => []): Promise<void> {
    const { controls } = this.deployment
    for (let i = 0; i < controls.length; i += MAX_CONCURRENT_STARTS) await Promise.all(controls.slice(i, i + MAX_CONCURRENT_STARTS).map(({ node }) => this.#init(node)))
    for (const [i, node] of this.nodes.entries()) {
      this.startProcess(node, getFlags(node))
      if (i % MAX_CONCURRENT_STARTS === MAX_CONCURRENT_STARTS - 1) await timers.delay(START_PAUSE_MS)
    }
    await waitUntil('every process answers', async () => {
      // An outgoing connection can take the free port chosen for a listener; the process then exits and is started again.
      for (const [node, { exitCode }] of this.#children) {
        if (exitCode !== null) this.startProcess(node, getFlags(node))
      }
      await Promise.all(this.nodes.map((node) => this.rpc.call(this.getTarget(node), 'config.version', {}, 500)))
      return true
    })
  }

  startProcess (node: string, flags: readonly string[] = []): void {
    const log = openSync(`${this.#folder}/${node}.log`, 'a')
    this.#children.set(node, spawn(process.execPath, [
      ...flags, '--import', `${ROOT}scripts/capacity/probe.mjs`, this.#getBundle(node), '--settings', `${this.#folder}/${node}.yaml`
    ], { stdio: ['ignore', log, log], env: { ...process.env, UV_USE_IO_URING: '0', CAPACITY_FOLDER: this.#folder } }))
  }

  signal (node: string, signal: NodeJS.Signals): void {
    this.#children.get(node)?.kill(signal)
  }

  async kill (node: string): Promise<void> {
    const child = this.#children.get(node)
    if (!child || child.exitCode !== null || child.signalCode !== null) return
    const ended = new Promise((resolve) => { child.once('exit', resolve) })
    child.kill('SIGKILL')
    await ended
  }

  async stop (): Promise<void> {
    this.rpc.close()
    await Promise.all([...this.#children.keys()].map((node) => this.kill(node)))
  }

  async sample (node: string, isAfterGc = false): Promise<Sample> {
    const { pid } = this.#children.get(node)!
    const path = `${this.#folder}/probe-${pid}.json`
    rmSync(path, { force: true })
    process.kill(pid!, isAfterGc ? 'SIGHUP' : 'SIGUSR2')
    while (!existsSync(path)) await timers.delay(2)
    const rssBytes = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]) * PAGE_BYTES
    const peakKb = /^VmHWM:\s+(\d+)/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))![1]
    return { ...JSON.parse(readFileSync(path, 'utf8')) as Sample, atMs: timers.now(), rssBytes, peakRssBytes: Number(peakKb) * 1024 }
  }

  async measure (windowMs: number, nodes: readonly string[] = this.nodes): Promise<Usage[]> {
    const before = await Promise.all(nodes.map((node) => this.sample(node)))
    await timers.delay(windowMs)
    const after = await Promise.all(nodes.map((node) => this.sample(node)))
    return nodes.map((node, i) => toUsage(node, before[i]!, after[i]!))
  }

  /** Heap of each process after a full collection, in MB. */
  async measureHeap (nodes: readonly string[] = this.nodes): Promise<number[]> {
    const samples = await Promise.all(nodes.map((node) => this.sample(node, true)))
    return samples.map(({ heapAfterGc }) => heapAfterGc! / 1048576)
  }

  getControlStatus (node: string): Promise<ControlStatus> {
    return this.rpc.call<ControlStatus>(this.getTarget(node), 'control.status', {}, 2_000)
  }

  async getVersion (node: string): Promise<number> {
    return (await this.rpc.call<{ version: number }>(this.getTarget(node), 'config.version', {}, 500)).version
  }

  /** Proposes the change to each control process in turn until one accepts it, and returns the new version. */
  async propose (change: ConfigChange): Promise<number> {
    let version = 0
    await waitUntil('the config group accepts a change', async () => {
      for (const control of this.deployment.controls) {
        try {
          version = (await this.rpc.call<{ version: number }>(control, 'config.propose', change, 3_000)).version
          return true
        } catch {}
      }
      return false
    })
    return version
  }

  async waitForVersion (version: number): Promise<void> {
    await Promise.all(this.nodes.map((node) => waitUntil(`${node} has version ${version}`, async () => await this.getVersion(node) >= version)))
  }

  /** Measures the time from the proposal of a small change until each process has it, polling every few milliseconds. */
  async measurePropagation (version: number): Promise<{ readonly commitMs: number, readonly allMs: number }> {
    const startedAtMs = timers.now()
    const next = await this.propose(createSmallChange(version))
    const commitMs = timers.now() - startedAtMs
    await Promise.all(this.nodes.map(async (node) => {
      while (await this.getVersion(node) < next) await timers.delay(5)
    }))
    return { commitMs, allMs: timers.now() - startedAtMs }
  }

  #getBundle (node: string): string {
    return `${ROOT}dist/ibisstair-${this.deployment.controls.some((control) => control.node === node) ? 'control' : 'entry'}.mjs`
  }

  async #init (node: string): Promise<void> {
    const child = spawn(process.execPath, [this.#getBundle(node), '--init', '--settings', `${this.#folder}/${node}.yaml`], { stdio: ['ignore', 'ignore', 'inherit'] })
    const code = await new Promise((resolve) => { child.once('exit', resolve) })
    if (code !== 0) throw new Error(`${node}: initialisation ended with exit code ${code}`)
  }
}
