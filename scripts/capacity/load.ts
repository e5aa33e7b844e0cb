import { Agent, request as httpRequest } from 'node:http'
import { send } from '../callers.ts'
import type { Address } from '../deployment.ts'
import { FakeEndpoint } from '../fake-endpoint.ts'
import { createFleetChange, SLOTS_PER_WORKER, WORKERS_PER_RACK } from './fleet.ts'
import { MeasuredDeployment, timers, waitUntil, type Usage } from './processes.ts'

const TASKS_PER_GANG = 16
const RUN_MS = 1_800_000
const SETTLE_MS = 3_000
const RESUBMIT_MS = 4_000

export interface Level {
  readonly endpoints: number
  readonly tasks: number
}

export interface LoadCost extends Level {
  readonly leader: Usage
  readonly follower: Usage
  readonly entries: readonly Usage[]
  readonly leaderHeapMb: number
  readonly entryHeapMb: number
  /** CPU of all fake endpoints together, which run in the measuring process. */
  readonly fakeEndpointCpuPercent: number
  readonly startWaitMs: number
  readonly urgentMs: readonly number[]
}

/** The fake endpoints and the waiting callers of one failure domain. */
class DomainLoad {
  readonly #measured: MeasuredDeployment
  readonly #domain: string
  readonly #endpoints: FakeEndpoint[] = []
  readonly #agent = new Agent({ keepAlive: true, maxSockets: Infinity })
  #submittedGangs = 0
  #urgentRequests = 0

  constructor (measured: MeasuredDeployment, domain: string) {
    this.#measured = measured
    this.#domain = domain
  }

  get #entries (): readonly { readonly callers: Address, readonly endpoints: Address }[] {
    return this.#measured.deployment.entries.filter(({ domain }) => domain === this.#domain)
  }

  get controls (): readonly string[] {
    return this.#measured.deployment.controls.filter(({ domain }) => domain === this.#domain).map(({ node }) => node)
  }

  async findLeader (): Promise<string | undefined> {
    for (const node of this.controls) {
      if ((await this.#measured.getControlStatus(node)).session) return node
    }
    return undefined
  }

  async rampUp ({ endpoints, tasks }: Level): Promise<number> {
    while (this.#endpoints.length < endpoints) {
      const i = this.#endpoints.length
      const endpoint = new FakeEndpoint({
        id: `${this.#domain}-worker-${i}`,
        domain: this.#domain,
        rack: `${this.#domain}-rack-${Math.floor(i / WORKERS_PER_RACK)}`,
        slots: SLOTS_PER_WORKER,
        accelerators: SLOTS_PER_WORKER,
        entries: this.#entries.map((entry) => entry.endpoints)
      })
      this.#endpoints.push(endpoint)
      await endpoint.start()
      // The announcements of a real fleet are spread over each second.
      await timers.delay(8)
    }
    await waitUntil(`${this.#domain} schedules ${endpoints} endpoints`, async () =>
      (await this.#getSession())?.totalAccelerators === endpoints * SLOTS_PER_WORKER)
    const startedAtMs = timers.now()
    while (this.#submittedGangs * TASKS_PER_GANG < tasks) this.#submit()
    let submittedAtMs = startedAtMs
    await waitUntil(`${tasks} tasks run`, async () => {
      if (this.#countRunning() >= tasks) return true
      // A gang submitted during a leader change runs in another domain, so another one is submitted.
      if (timers.now() - submittedAtMs > RESUBMIT_MS) {
        this.#submit()
        submittedAtMs = timers.now()
      }
      return false
    })
    return timers.now() - startedAtMs
  }

  /** Measures the time from the request of an urgent single task to its outcome; the task itself runs for 1 ms. */
  async measureUrgent (count: number): Promise<Array<{ readonly waitMs: number, readonly outcome: string }>> {
    const waits: Array<{ readonly waitMs: number, readonly outcome: string }> = []
    for (let i = 0; i < count; i++) {
      const startedAtMs = timers.now()
      const { error } = await send(this.#entries.map(({ callers }) => callers), {
        key: `${this.#domain}-urgent-${this.#urgentRequests++}`,
        customer: 'customer-0',
        caller: 'operator',
        kind: 'kind-0',
        idempotent: true,
        shape: { tasks: 1, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'any' },
        runMs: 1
      }, i)
      waits.push({ waitMs: timers.now() - startedAtMs, outcome: error?.kind ?? 'answered' })
    }
    return waits
  }

  get runningTasks (): number {
    return this.#countRunning()
  }

  stop (): void {
    for (const endpoint of this.#endpoints) endpoint.kill()
    this.#agent.destroy()
  }

  async #getSession (): Promise<{ readonly totalAccelerators: number, readonly running: number } | null> {
    const leader = await this.findLeader()
    return leader ? (await this.#measured.getControlStatus(leader)).session : null
  }

  #countRunning (): number {
    return this.#endpoints.reduce((sum, { records }) => sum + records.filter(({ end }) => end === undefined).length, 0)
  }

  /** Submits a gang whose caller waits for the response, as callers of long jobs do. */
  #submit (): void {
    const i = this.#submittedGangs++
    const { address, port } = this.#entries[i % this.#entries.length]!.callers
    const body = JSON.stringify({
      key: `${this.#domain}-job-${i}`,
      customer: `customer-${i % 82}`,
      caller: `caller-${i}`,
      kind: 'kind-1',
      shape: { tasks: TASKS_PER_GANG, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'any' },
      payload: { runMs: RUN_MS }
    })
    const req = httpRequest({ host: address, port, method: 'POST', path: '/v1/requests?waitMs=600000', agent: this.#agent, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) } })
    req.on('response', (res) => {
      res.on('error', () => {})
      res.resume()
    })
    req.on('error', () => {})
    req.end(body)
  }
}

export interface FailoverCost {
  readonly tasksBefore: number
  /** Endpoints of the other domain, to which the entries may send requests. */
  readonly otherEndpoints: number
  /** Time to the outcome of an urgent request sent when the leader is killed. */
  readonly urgentMs: number
  readonly outcome: string
  /** Time from the loss of the leader until the new leader places jobs. */
  readonly takeoverMs: number
  /** Tasks still running after more than a lease term under the new leader. */
  readonly tasksAfter: number
  /** CPU time of the new leader from the loss of the old one until `tasksAfter` is counted. */
  readonly newLeaderCpuMs: number
  readonly newLeaderPeakRssMb: number
}

/** Longer than a lease term (8 s). */
const AFTER_LEASE_TERM_MS = 12_000
const OTHER_ENDPOINTS = 12

/** Kills the leader of the loaded domain, and starts its process again at the end. */
const measureFailover = async (measured: MeasuredDeployment, load: DomainLoad, otherEndpoints: number, flags: readonly string[]): Promise<FailoverCost> => {
  const leader = (await load.findLeader())!
  const follower = load.controls.find((node) => node !== leader)!
  const tasksBefore = load.runningTasks
  const before = await measured.sample(follower)
  await measured.kill(leader)
  const lostAtMs = timers.now()
  const takeover = waitUntil(`${follower} schedules`, async () => {
    const { session } = await measured.getControlStatus(follower)
    return session !== null && !session.recovering
  }).then(() => timers.now() - lostAtMs)
  const [urgent] = await load.measureUrgent(1)
  const takeoverMs = await takeover
  await timers.delay(AFTER_LEASE_TERM_MS)
  const after = await measured.sample(follower)
  const tasksAfter = load.runningTasks
  measured.startProcess(leader, flags)
  await waitUntil(`${leader} answers`, async () => await measured.getVersion(leader) > 0)
  return {
    tasksBefore,
    otherEndpoints,
    urgentMs: urgent!.waitMs,
    outcome: urgent!.outcome,
    takeoverMs,
    tasksAfter,
    newLeaderCpuMs: after.cpuMs - before.cpuMs,
    newLeaderPeakRssMb: after.peakRssBytes / 1048576
  }
}

const getCpuMs = (): number => {
  const { user, system } = process.cpuUsage()
  return (user + system) / 1000
}

/** Measures one of two failure domains at increasing numbers of endpoints and running tasks. */
export const measureLoad = async (folder: string, levels: readonly Level[], windowMs: number, flags: readonly string[]): Promise<{ readonly costs: readonly LoadCost[], readonly failovers: readonly FailoverCost[] }> => {
  const domain = 'domain-0'
  const names = [domain, 'domain-1']
  const measured = await MeasuredDeployment.create(folder, names)
  const load = new DomainLoad(measured, domain)
  const other = new DomainLoad(measured, names[1]!)
  try {
    await measured.start(() => flags)
    await measured.waitForVersion(await measured.propose(createFleetChange(1, names)))
    const costs: LoadCost[] = []
    for (const level of levels) costs.push(await measureLevel(measured, load, domain, level, windowMs))
    const withoutOther = await measureFailover(measured, load, 0, flags)
    await other.rampUp({ endpoints: OTHER_ENDPOINTS, tasks: 0 })
    const withOther = await measureFailover(measured, load, OTHER_ENDPOINTS, flags)
    return { costs, failovers: [withoutOther, withOther] }
  } finally {
    load.stop()
    other.stop()
    await measured.stop()
  }
}

const measureLevel = async (measured: MeasuredDeployment, load: DomainLoad, domain: string, level: Level, windowMs: number): Promise<LoadCost> => {
  const startWaitMs = await load.rampUp(level)
  await timers.delay(SETTLE_MS)
  const leader = (await load.findLeader())!
  const follower = load.controls.find((node) => node !== leader)!
  const entries = measured.deployment.entries.filter((entry) => entry.domain === domain).map(({ node }) => node)
  const cpuMs = getCpuMs()
  const startedAtMs = timers.now()
  const [leaderUsage, followerUsage, ...entryUsage] = await measured.measure(windowMs, [leader, follower, ...entries])
  const fakeEndpointCpuPercent = (getCpuMs() - cpuMs) / (timers.now() - startedAtMs) * 100
  const [leaderHeapMb, entryHeapMb] = await measured.measureHeap([leader, entries[0]!])
  return {
    ...level,
    leader: leaderUsage!,
    follower: followerUsage!,
    entries: entryUsage,
    leaderHeapMb: leaderHeapMb!,
    entryHeapMb: entryHeapMb!,
    fakeEndpointCpuPercent,
    startWaitMs,
    urgentMs: (await load.measureUrgent(10)).map(({ waitMs, outcome }) => outcome === 'answered' ? waitMs : NaN)
  }
}

export interface FlagCost {
  readonly flags: readonly string[]
  /** Log groups of the two control processes, which differ by the position of the domain. */
  readonly leaderGroups: number
  readonly followerGroups: number
  readonly leader: Usage
  readonly follower: Usage
  readonly entries: readonly Usage[]
}

/** Measures domains with equal load side by side; the processes of each run with different Node.js flags. */
export const measureFlags = async (folder: string, variants: ReadonlyArray<readonly string[]>, level: Level, windowMs: number): Promise<FlagCost[]> => {
  const names = variants.map((_, i) => `domain-${i}`)
  const measured = await MeasuredDeployment.create(folder, names)
  const loads = names.map((name) => new DomainLoad(measured, name))
  try {
    await measured.start((node) => variants[names.findIndex((name) => node.startsWith(`${name}-`))] ?? [])
    await measured.waitForVersion(await measured.propose(createFleetChange(1, names)))
    for (const load of loads) await load.rampUp(level)
    await timers.delay(SETTLE_MS)
    const usage = await measured.measure(windowMs)
    return await Promise.all(variants.map(async (flags, i) => {
      const leader = await loads[i]!.findLeader()
      const follower = loads[i]!.controls.find((node) => node !== leader)!
      const countGroups = async (node: string): Promise<number> => (await measured.getControlStatus(node)).groups.length
      const domainUsage = usage.filter(({ node }) => node.startsWith(`${names[i]}-`))
      return {
        flags,
        leaderGroups: await countGroups(leader!),
        followerGroups: await countGroups(follower),
        leader: domainUsage.find(({ node }) => node === leader)!,
        follower: domainUsage.find(({ node }) => node === follower)!,
        entries: domainUsage.filter(({ node }) => node.includes('-entry-'))
      }
    }))
  } finally {
    for (const load of loads) load.stop()
    await measured.stop()
  }
}
