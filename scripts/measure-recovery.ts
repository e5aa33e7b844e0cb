// Measures the time from opening a replica's files to its readiness, on a real disk:
// node --import tsx scripts/measure-recovery.ts [--changes 300 --changes 100000] [--runs 5]
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
const IN_FLIGHT = 256

interface Change {
  readonly customer: string
  readonly guaranteed: number
  readonly note: string
}

/** A configuration of bounded size that the changes overwrite. */
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
    runs: { type: 'string', default: '5' }
  }
})
const fs = new NodeFileSystem()
const timers = new SystemTimerService()
const node = asId<NodeId>('n0')
const members: readonly Member[] = [{ node, incarnation: '1', role: 'voter', witness: false }]

const open = async (path: string, isFirst: boolean): Promise<{ driver: ReplicaDriver<Change, number>, machine: ConfigMachine }> => {
  const folder = isFirst ? await DataFolder.init(fs, path) : await DataFolder.open(fs, path, RandomSource.fromEntropy())
  const machine = new ConfigMachine()
  const driver = await ReplicaDriver.open({ group: 'config', node, folder, timers, random: RandomSource.fromEntropy(), transport: { send: () => {} }, machine, initialMembers: members })
  return { driver, machine }
}

const waitForLeader = async (driver: ReplicaDriver<Change, number>): Promise<void> => {
  while (driver.getStatus().role !== 'leader') await timers.delay(5)
}

const write = async (path: string, changes: number): Promise<number> => {
  const { driver } = await open(path, true)
  await waitForLeader(driver)
  const startedAt = timers.now()
  const propose = (i: number): Promise<number> =>
    driver.propose({ customer: `customer-${i % CUSTOMERS}`, guaranteed: i % 64, note: 'x'.repeat(100) }, 60_000)
  for (let done = 0; done < changes; done += IN_FLIGHT) {
    await Promise.all(Array.from({ length: Math.min(IN_FLIGHT, changes - done) }, (_, i) => propose(done + i)))
  }
  const elapsedMs = timers.now() - startedAt
  await driver.stop()
  return elapsedMs
}

const sizeOf = (path: string): number =>
  readdirSync(path, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile())
    .reduce((sum, entry) => sum + statSync(join(entry.parentPath, entry.name)).size, 0)

/** Time until the files are read, and until the first new change is committed after the election. */
const recover = async (path: string, changes: number): Promise<{ openMs: number, commitMs: number }> => {
  const startedAt = timers.now()
  const { driver, machine } = await open(path, false)
  const openMs = timers.now() - startedAt
  await waitForLeader(driver)
  const electedAt = timers.now()
  const before = await driver.propose({ customer: 'probe', guaranteed: 0, note: '' }, 10_000)
  const commitMs = timers.now() - electedAt
  if (before <= changes || machine.version !== before) throw new Error(`recovered ${machine.version} versions after ${changes} changes`)
  await driver.stop()
  return { openMs, commitMs }
}

for (const changes of values.changes.map(Number)) {
  const root = mkdtempSync(join(tmpdir(), 'ibisstair-recovery-'))
  try {
    const path = join(root, 'data')
    const writeMs = await write(path, changes)
    console.log(`${changes} changes written in ${Math.round(writeMs)} ms, ${IN_FLIGHT} in flight; data folder ${sizeOf(path)} bytes`)
    for (let run = 0; run < Number(values.runs); run++) {
      const { openMs, commitMs } = await recover(path, changes + run)
      console.log(`  restart ${run + 1}: open ${openMs.toFixed(1)} ms, replay and first commit after the election ${commitMs.toFixed(1)} ms`)
    }
  } finally {
    rmSync(root, { recursive: true })
  }
}
