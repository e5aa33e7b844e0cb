// Starts real processes on loopback for the end-to-end failure tests.
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import type { Test } from 'tap'
import { asId, type NodeId } from '@ibisstair/common'
import { RpcClient } from '@ibisstair/rpc'
import { SystemTimerService } from '@ibisstair/timers'
import { buildApp } from '../../scripts/build.mjs'
import { call } from '../../scripts/callers.ts'
import { Deployment, type Address, type EntryAddress, type Settings } from '../../scripts/deployment.ts'
import { FakeEndpoint, type FakeEndpointOptions, type StartRecord } from '../../scripts/fake-endpoint.ts'
import { waitUntil } from './http.ts'

const READY_TIMEOUT_MS = 20_000
const RPC_TIMEOUT_MS = 1_500

export interface ProcessOptions {
  readonly domains?: readonly string[]
  readonly entriesPerDomain?: number
  readonly drainMs?: number
  readonly adjust?: (node: string, settings: Settings) => Settings
}

export interface Reply {
  readonly status: number
  readonly body: any
}

interface GroupView {
  readonly group: string
  readonly role: string
  readonly leader: string | null
  readonly incarnation: string
  readonly members: ReadonlyArray<{ readonly node: string, readonly incarnation: string, readonly role: string }>
}

export interface ControlView {
  readonly configVersion: number
  readonly groups: readonly GroupView[]
  readonly endpoints: { readonly up: number, readonly leaving: number }
  readonly session: { readonly degraded: boolean, readonly endpoints: number, readonly totalAccelerators: number, readonly recovering: boolean, readonly active: number } | null
}

export const single = { tasks: 1, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'any' }

/** Returns a change that is valid at every version and differs for each `priority`. */
export const putCustomer = (id: string, priority = 1): object =>
  ({ op: 'put-customer', customer: { id, priority, guarantees: [], maxQueued: 500 } })

export class Processes {
  readonly deployment: Deployment
  readonly rpc: RpcClient
  readonly endpoints: FakeEndpoint[] = []

  constructor (deployment: Deployment) {
    this.deployment = deployment
    this.rpc = new RpcClient({ deployment: 'test', node: asId<NodeId>('test'), secret: deployment.secret }, new SystemTimerService())
  }

  get domains (): string[] {
    return [...new Set(this.deployment.controls.map(({ domain }) => domain))]
  }

  /** Every process with the address of its internal listener. */
  get nodes (): ReadonlyArray<{ readonly node: string, readonly address: Address }> {
    const { controls, entries } = this.deployment
    return [...controls.map((control) => ({ node: control.node, address: control })), ...entries.map(({ node, internal }) => ({ node, address: internal }))]
  }

  entry (node: string): EntryAddress {
    return this.deployment.entries.find((entry) => entry.node === node)!
  }

  async operate (entry: EntryAddress, method: string, path: string, body?: unknown, timeoutMs = 15_000): Promise<Reply> {
    return await call(entry.operators, method, path, body, { authorization: `Bearer ${this.deployment.secret}` }, timeoutMs)
  }

  async propose (entry: EntryAddress, changeId: string, expectedVersion: number, delta: readonly object[]): Promise<Reply> {
    return await this.operate(entry, 'POST', '/v1/config/changes', { changeId, expectedVersion, delta })
  }

  /** Resends one change, as an operator does, until it is decided. */
  async proposeUntilDecided (entry: EntryAddress, changeId: string, expectedVersion: number, delta: readonly object[]): Promise<Reply> {
    let reply: Reply = { status: 0, body: null }
    await waitUntil(`change ${changeId} is decided`, async () => {
      reply = await this.propose(entry, changeId, expectedVersion, delta).catch(() => reply)
      return reply.status === 200 || reply.body?.error?.kind === 'version-conflict'
    }, READY_TIMEOUT_MS)
    return reply
  }

  /** Submits changes one after another until the version rises from `from` to `to`. */
  async changeUpTo (entry: EntryAddress, from: number, to: number): Promise<void> {
    for (let version = from; version < to; version += 1) {
      const reply = await this.proposeUntilDecided(entry, `change-${version + 1}`, version, [putCustomer('clinics', version + 1)])
      if (reply.body.version !== version + 1) throw new Error(`change ${version + 1}: ${JSON.stringify(reply.body)}`)
    }
  }

  /** Resolves with the configuration version that the process serves, or null when it does not answer. */
  async readVersion (node: string): Promise<number | null> {
    const { address } = this.nodes.find((candidate) => candidate.node === node)!
    return await this.rpc.call<{ version: number }>({ address: address.address, port: address.port }, 'config.version', {}, RPC_TIMEOUT_MS)
      .then(({ version }) => version, () => null)
  }

  async readControl (node: string): Promise<ControlView | null> {
    const { address, port } = this.deployment.controls.find((candidate) => candidate.node === node)!
    return await this.rpc.call<ControlView>({ address, port }, 'control.status', {}, RPC_TIMEOUT_MS).catch(() => null)
  }

  async readGroup (node: string, group: string): Promise<GroupView | undefined> {
    return (await this.readControl(node))?.groups.find((candidate) => candidate.group === group)
  }

  async findLeader (group: string): Promise<string> {
    let leader: string | undefined
    await waitUntil(`group ${group} has a leader`, async () => {
      const views = await Promise.all(this.deployment.controls.map(({ node }) => this.readGroup(node, group)))
      leader = this.deployment.controls.find((_, i) => views[i]?.role === 'leader')?.node
      return leader !== undefined
    }, READY_TIMEOUT_MS)
    return leader!
  }

  async findScheduler (domain: string): Promise<string> {
    let found: string | undefined
    await waitUntil(`${domain} is scheduled`, async () => {
      const own = this.deployment.controls.filter((control) => control.domain === domain)
      const views = await Promise.all(own.map(({ node }) => this.readControl(node)))
      found = own.find((_, i) => views[i]?.session && !views[i]!.session!.recovering)?.node
      return found !== undefined
    }, READY_TIMEOUT_MS)
    return found!
  }

  /** Resolves with the milliseconds until every one of the processes served at least the version. */
  async measurePropagation (version: number, nodes: readonly string[] = this.nodes.map(({ node }) => node)): Promise<number> {
    const began = performance.now()
    const missing = new Set(nodes)
    await waitUntil(`version ${version} is in force everywhere`, async () => {
      await Promise.all([...missing].map(async (node) => { if ((await this.readVersion(node) ?? -1) >= version) missing.delete(node) }))
      return missing.size === 0
    }, READY_TIMEOUT_MS).catch((err: Error) => { throw new Error(`${err.message}; missing: ${[...missing].join(', ')}`) })
    return performance.now() - began
  }

  async isReady (entry: EntryAddress): Promise<boolean> {
    return await call(entry.callers, 'GET', '/readyz', undefined, {}, RPC_TIMEOUT_MS).then(({ status }) => status === 200, () => false)
  }

  /** Creates the domains, two kinds of work and one customer; version 1 is in force afterwards. */
  async configure (): Promise<void> {
    const racks = [{ id: 'rack-1', workers: 4, acceleratorsPerWorker: 8, slotsPerWorker: 8 }]
    const delta = [
      ...this.domains.map((id) => ({ op: 'put-domain', domain: { id, region: 'cr-central', racks } })),
      ...[true, false].map((idempotent) => ({
        op: 'put-kind',
        kind: { kind: idempotent ? 'splash-check' : 'pickup', urgency: 'normal', idempotent, expectedRunMs: 50, objective: { startWithinMs: 5_000, target: 0.99 } }
      })),
      putCustomer('clinics')
    ]
    await this.proposeUntilDecided(this.deployment.entries[0]!, 'set-up', 0, delta)
    await waitUntil('every entry is ready', async () => (await Promise.all(this.deployment.entries.map((entry) => this.isReady(entry)))).every(Boolean), READY_TIMEOUT_MS)
  }

  async addEndpoint (domain: string, options: Partial<FakeEndpointOptions> = {}): Promise<FakeEndpoint> {
    const endpoint = new FakeEndpoint({
      id: `${domain}-worker-${this.endpoints.length + 1}`,
      domain,
      rack: 'rack-1',
      entries: this.deployment.entries.filter((entry) => entry.domain === domain).map((entry) => entry.endpoints),
      ...options
    })
    this.endpoints.push(endpoint)
    await endpoint.start()
    return endpoint
  }

  /** Waits until every control process of the domain knows this many endpoints and its leader schedules them. */
  async waitForEndpoints (domain: string, count: number): Promise<void> {
    const own = this.deployment.controls.filter((control) => control.domain === domain)
    await waitUntil(`${count} endpoints of ${domain} are known`, async () => {
      const views = await Promise.all(own.map(({ node }) => this.readControl(node)))
      const scheduled = views.some((view) => view?.session && !view.session.recovering && view.session.totalAccelerators === count * 8)
      return scheduled && views.every((view) => view?.endpoints.up === count)
    }, READY_TIMEOUT_MS)
  }

  async submit (entry: EntryAddress, key: string, runMs: number, more: object = {}, query = ''): Promise<Reply> {
    const request = { key, customer: 'clinics', caller: 'nurse-1', kind: 'splash-check', shape: single, payload: { runMs }, ...more }
    return await call(entry.callers, 'POST', `/v1/requests${query}`, request)
  }

  /** Fetches the outcome by key and waits up to `waitMs` for it. */
  async fetch (entry: EntryAddress, key: string, waitMs = 10_000): Promise<Reply> {
    return await call(entry.callers, 'GET', `/v1/requests/clinics/${key}?waitMs=${waitMs}`)
  }

  get records (): StartRecord[] {
    return this.endpoints.flatMap(({ records }) => records)
  }

  async stop (): Promise<void> {
    for (const endpoint of this.endpoints) endpoint.kill()
    await this.deployment.stop()
    this.rpc.close()
  }
}

/** Starts the processes and stops them when the test ends, whether it passes or fails. */
export const startProcesses = async (t: Test, options: ProcessOptions = {}): Promise<Processes> => {
  const base = mkdtempSync(`${tmpdir()}/ibisstair-test-`)
  await Promise.all([buildApp('entry', `${base}/dist`), buildApp('control', `${base}/dist`)])
  const deployment = await Deployment.create({
    folder: `${base}/run`, name: 'test', domains: ['cr-sj', 'cr-al', 'cr-he'], entriesPerDomain: 1, binaries: `${base}/dist`, ...options
  })
  const processes = new Processes(deployment)
  t.teardown(async () => {
    await processes.stop()
    if (!process.env.KEEP_LOGS) rmSync(base, { recursive: true, force: true })
  })
  await deployment.start()
  return processes
}
