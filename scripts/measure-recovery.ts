// Measures the time that a group takes from opening its files to its first new commit, on a real disk:
// node --import tsx scripts/measure-recovery.ts [--changes 300 --changes 100000] [--runs 5] [--voters 3]
import { mkdtempSync, rmSync, readdirSync, statSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { asId } from '../packages/common/src/index.ts'
import type { NodeId } from '../packages/common/src/index.ts'
import { ReplicaDriver } from '../packages/consensus/src/index.ts'
import type { Member, StateMachine } from '../packages/consensus/src/index.ts'
import { DataFolder, NodeFileSystem } from '../packages/storage/src/index.ts'
import { RandomSource, SystemTimerService } from '../packages/timers/src/index.ts'

const CUSTOMERS = 200
const MAX_IN_FLIGHT = 256

interface Change {
  readonly customer: string
  readonly guaranteed: number
  readonly note: string
}

/** A configuration of bounded size; each change overwrites the entry of one customer. */
class ConfigMachine implements StateMachine<Change, number> {
  #version = 0
  #customers = new Map<string, Change>()

  apply (change: Change): number {
    this.#version += 1
    this.#customers.set(change.customer, change)
    return this.#version
  }

  toSnapshot (): unknown {
    return { version: this.#version, customers: [...this.#customers] }
  }

  restore (snapshot: unknown): void {
    const { version, customers } = snapshot as { version: number, customers: [string, Change][] }
    this.#version = version
    this.#customers = new Map(customers)
  }

  get version (): number {
    return this.#version
  }
}

const { values } = parseArgs({
  options: {
    changes: { type: 'string', multiple: true, default: ['300', '100000'] },
    runs: { type: 'string', default: '5' },
    voters: { type: 'string', default: '3' }
  }
})
const fs = new NodeFileSystem()
const timers = new SystemTimerService()
const members: readonly Member[] = Array.from({ length: Number(values.voters) }, (_, i) => ({ node: asId<NodeId>(`n${i}`), incarnation: '1', role: 'voter', witness: false }))

type Driver = ReplicaDriver<Change, number>

/** All replicas of a group in this process, each with its own folder on the disk. */
class LocalGroup {
  readonly #drivers = new Map<NodeId, Driver>()
  readonly #machines: ConfigMachine[] = []

  async open (root: string, isFirst: boolean): Promise<number[]> {
    return await Promise.all(members.map(async ({ node }) => {
      const startedAt = timers.now()
      const path = join(root, node)
      const folder = isFirst ? await DataFolder.init(fs, path) : await DataFolder.open(fs, path, RandomSource.fromEntropy())
      const machine = new ConfigMachine()
      const send = (_group: string, to: NodeId, message: unknown): void => {
        timers.subscribe(0, () => this.#drivers.get(to)?.handleMessage(node, message))
      }
      this.#machines.push(machine)
      this.#drivers.set(node, await ReplicaDriver.open({ group: 'config', node, folder, timers, random: RandomSource.fromEntropy(), transport: { send }, machine, initialMembers: members }))
      return timers.now() - startedAt
    }))
  }

  async waitForLeader (): Promise<Driver> {
    for (;;) {
      const leader = [...this.#drivers.values()].find((driver) => driver.getStatus().hasQuorum)
      if (leader) return leader
      await timers.delay(5)
    }
  }

  hasVersion (version: number): boolean {
    return this.#machines.some((machine) => machine.version === version)
  }

  async stop (): Promise<void> {
    await Promise.all([...this.#drivers.values()].map((driver) => driver.stop()))
  }
}

const write = async (root: string, changes: number): Promise<number> => {
  const group = new LocalGroup()
  await group.open(root, true)
  const leader = await group.waitForLeader()
  const startedAt = timers.now()
  const propose = (i: number): Promise<number> =>
    leader.propose({ customer: `customer-${i % CUSTOMERS}`, guaranteed: i % 64, note: 'x'.repeat(100) }, 60_000)
  for (let done = 0; done < changes; done += MAX_IN_FLIGHT) {
    await Promise.all(Array.from({ length: Math.min(MAX_IN_FLIGHT, changes - done) }, (_, i) => propose(done + i)))
  }
  const elapsedMs = timers.now() - startedAt
  await group.stop()
  return elapsedMs
}

const getSizeBytes = (path: string): number =>
  readdirSync(path, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile())
    .reduce((sum, entry) => sum + statSync(join(entry.parentPath, entry.name)).size, 0)

interface Recovery {
  /** Time that the slowest replica took to open its files. */
  readonly openMs: number
  readonly electionMs: number
  /** Time to replay the entries after the snapshot and to commit one new change. */
  readonly commitMs: number
}

const recover = async (root: string, changes: number): Promise<Recovery> => {
  const group = new LocalGroup()
  const openMs = Math.max(...await group.open(root, false))
  const openedAt = timers.now()
  const leader = await group.waitForLeader()
  const electedAt = timers.now()
  const version = await leader.propose({ customer: 'probe', guaranteed: 0, note: '' }, 10_000)
  const commitMs = timers.now() - electedAt
  if (version !== changes + 1 || !group.hasVersion(version)) throw new Error(`version ${version} after ${changes} changes`)
  await group.stop()
  return { openMs, electionMs: electedAt - openedAt, commitMs }
}

for (const changes of values.changes.map(Number)) {
  const root = mkdtempSync(join(tmpdir(), 'ibisstair-recovery-'))
  try {
    const writeMs = await write(root, changes)
    console.log(`${changes} changes, ${members.length} voters: written in ${Math.round(writeMs)} ms with ${MAX_IN_FLIGHT} in flight; ${Math.round(getSizeBytes(root) / members.length)} bytes a voter`)
    for (let run = 0; run < Number(values.runs); run++) {
      const { openMs, electionMs, commitMs } = await recover(root, changes + run)
      console.log(`  restart ${run + 1}: open ${openMs.toFixed(1)} ms, election ${electionMs.toFixed(0)} ms, replay and first commit ${commitMs.toFixed(1)} ms`)
    }
  } finally {
    rmSync(root, { recursive: true })
  }
}
