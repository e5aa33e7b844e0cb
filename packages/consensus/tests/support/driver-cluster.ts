import { asId, IbisError } from '@ibisstair/common'
import type { ErrorKind, NodeId } from '@ibisstair/common'
import { DataFolder, MemoryDisk } from '@ibisstair/storage'
import { ManualTimerService, RandomSource } from '@ibisstair/timers'
import { ReplicaDriver } from '../../src/index.ts'
import type { Mechanism, Member, ReplicaStatus, StateMachine } from '../../src/index.ts'
import { SafetyError } from './history.ts'

/** Returns the position of each command in the order of application, so that repeated or reordered commands are detected. */
export class ListMachine implements StateMachine<string, number> {
  commands: string[] = []

  apply (command: string): number {
    if (command === 'fail') throw new IbisError('version-conflict', 'the command requests a failure')
    this.commands.push(command)
    return this.commands.length
  }

  toSnapshot (): unknown {
    return this.commands
  }

  restore (snapshot: unknown): void {
    this.commands = [...snapshot as string[]]
  }
}

interface Node {
  readonly id: NodeId
  disk: MemoryDisk
  driver: ReplicaDriver<string, number> | null
  machine: ListMachine
  processNumber: number
  isStarting: boolean
  isFull: boolean
  fatal: IbisError | null
}

export interface DriverClusterOptions {
  readonly voters: number
  readonly witnesses?: number
  /** Learners of a group that decides about its voters by itself. */
  readonly learners?: number
  readonly seed: number
  readonly snapshotEvery?: number
  readonly disabled?: readonly Mechanism[]
  readonly ignoreSync?: boolean
}

export interface Faults {
  readonly drop: number
  readonly duplicate: number
  readonly delayMs: number
}

const NO_FAULTS: Faults = { drop: 0, duplicate: 0, delayMs: 2 }
const DATA_FOLDER = '/data'
const MAX_DISK_DELAY_MS = 3
const RESTART_MS = 1000

/** Error kinds that guarantee that the command was not and will not be committed. */
const NOT_RUN_KINDS: readonly ErrorKind[] = ['not-leader', 'no-quorum', 'disk-full', 'overloaded', 'shutting-down']

const nextTurn = (): Promise<void> => new Promise((resolve) => { setImmediate(resolve) })

/** A cluster of drivers with fake disks, network and time, all driven by one seed. */
export class DriverCluster {
  readonly timers = new ManualTimerService()
  readonly nodes: Node[] = []
  /** Commands whose proposals resolved, with their position. */
  readonly acknowledged = new Map<string, number>()
  readonly refused = new Set<string>()
  readonly outcomes = new Map<string, number>()
  readonly members: readonly Member[]
  readonly #random: RandomSource
  readonly #options: DriverClusterOptions
  #faults = NO_FAULTS
  #partitionOf = new Map<NodeId, number>()
  #proposalCount = 0

  private constructor (options: DriverClusterOptions) {
    this.#options = options
    this.#random = new RandomSource(options.seed)
    const { voters, witnesses = 0, learners = 0 } = options
    this.members = Array.from({ length: voters + witnesses + learners }, (_, i) => ({
      node: asId<NodeId>(`n${i}`), incarnation: '1', role: i < voters + witnesses ? 'voter' : 'learner', witness: i >= voters && i < voters + witnesses
    }))
  }

  static async create (options: DriverClusterOptions): Promise<DriverCluster> {
    const cluster = new DriverCluster(options)
    for (const { node } of cluster.members) {
      const created: Node = { id: node, disk: cluster.#createDisk(), driver: null, machine: new ListMachine(), processNumber: 0, isStarting: false, isFull: false, fatal: null }
      cluster.nodes.push(created)
      const init = DataFolder.init(created.disk.attach(), DATA_FOLDER)
      await cluster.run(100)
      await init
      cluster.start(created)
    }
    return cluster
  }

  async run (ms: number): Promise<void> {
    const end = this.timers.now() + ms
    await nextTurn()
    while (this.timers.runNext(end)) await nextTurn()
    this.timers.advance(end - this.timers.now())
    await nextTurn()
  }

  node (i: number): Node {
    return this.nodes[i % this.nodes.length]!
  }

  statusOf (node: Node): ReplicaStatus | null {
    return node.driver?.getStatus() ?? null
  }

  get leaders (): Node[] {
    return this.nodes.filter((node) => this.statusOf(node)?.role === 'leader')
  }

  propose (node: Node, timeoutMs = 3000): void {
    const command = `c${this.#proposalCount++}`
    const { driver } = node
    if (!driver) return
    driver.propose(command, timeoutMs).then((position) => {
      this.#countOutcome('committed')
      this.acknowledged.set(command, position)
    }, (err: IbisError) => {
      this.#countOutcome(err.kind)
      if (NOT_RUN_KINDS.includes(err.kind)) this.refused.add(command)
    })
  }

  crash (node: Node): void {
    node.processNumber += 1
    node.disk.crash(this.#random)
    this.#discardProcess(node)
  }

  /** Starts the process; this takes time, because the files are read through the fake disk. */
  start (node: Node): void {
    if (node.driver || node.isStarting) return
    node.isStarting = true
    const { processNumber } = node
    this.#open(node, processNumber).then((driver) => {
      if (node.processNumber !== processNumber) return
      node.driver = driver
    }, (err: unknown) => {
      if (node.processNumber !== processNumber) return
      // With a full disk, the process exits and is restarted later.
      if (err instanceof IbisError && err.kind === 'disk-full') this.timers.subscribe(RESTART_MS, () => this.#restart(node, processNumber))
      else node.fatal = IbisError.from(err)
    }).finally(() => {
      if (node.processNumber === processNumber) node.isStarting = false
    })
  }

  canLoseDisk (node: Node): boolean {
    const configurations = this.nodes.map((other) => this.statusOf(other)?.members ?? [])
    // A node that is down may hold a configuration that the others do not know.
    if (this.nodes.some((other) => !other.driver || this.statusOf(other)?.members.length === 0)) return false
    return configurations.every((members) => {
      const voters = members.filter((member) => member.role === 'voter')
      const intact = voters.filter((member) => this.nodes.some((other) => other !== node && this.statusOf(other)?.node === member.node && this.statusOf(other)?.incarnation === member.incarnation))
      return intact.length * 2 > voters.length
    })
  }

  loseDisk (node: Node): void {
    node.processNumber += 1
    node.disk.lose()
    this.#discardProcess(node)
  }

  setFull (node: Node, isFull: boolean): void {
    node.isFull = isFull
    node.disk.setCapacity(isFull ? node.disk.usedBytes + 200 : Infinity)
  }

  partition (parts: readonly number[]): void {
    this.#partitionOf = new Map(this.nodes.map((node, i) => [node.id, parts[i % parts.length] ?? 0]))
  }

  setFaults (faults: Faults): void {
    this.#faults = faults
  }

  healNetwork (): void {
    this.#partitionOf.clear()
    this.#faults = NO_FAULTS
  }

  heal (): void {
    this.healNetwork()
    for (const node of this.nodes) {
      if (node.isFull) this.setFull(node, false)
      this.start(node)
    }
  }

  checkNoFailure (): void {
    for (const node of this.nodes) {
      if (node.fatal) throw new SafetyError(`${node.id} failed: ${node.fatal.message}`)
    }
  }

  /** Checks that the state machines agree, have each acknowledged command at its position, and no refused command. */
  checkMachines (): void {
    const longest = this.nodes.map((node) => node.machine.commands).reduce((a, b) => a.length >= b.length ? a : b)
    for (const { id, machine } of this.nodes) {
      const firstDifference = machine.commands.findIndex((command, i) => command !== longest[i])
      if (firstDifference >= 0) throw new SafetyError(`${id} applied ${machine.commands[firstDifference]} as number ${firstDifference + 1}, another replica ${longest[firstDifference]}`)
    }
    if (new Set(longest).size !== longest.length) throw new SafetyError('a command was applied twice')
    for (const [command, position] of this.acknowledged) {
      if (longest[position - 1] !== command) throw new SafetyError(`${command} was acknowledged as number ${position}, which is ${longest[position - 1]}`)
    }
    const appliedRefused = longest.find((command) => this.refused.has(command))
    if (appliedRefused) throw new SafetyError(`${appliedRefused} was refused as not run and is applied`)
  }

  #countOutcome (outcome: string): void {
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1)
  }

  #createDisk (): MemoryDisk {
    return new MemoryDisk({ delay: () => this.timers.delay(this.#random.int(0, MAX_DISK_DELAY_MS)), ignoreSync: this.#options.ignoreSync ?? false })
  }

  #discardProcess (node: Node): void {
    const { driver } = node
    node.driver = null
    node.isStarting = false
    node.machine = new ListMachine()
    driver?.stop().catch(() => {})
  }

  #restart (node: Node, processNumber: number): void {
    if (node.processNumber === processNumber) this.start(node)
  }

  async #open (node: Node, processNumber: number): Promise<ReplicaDriver<string, number>> {
    const folder = await DataFolder.open(node.disk.attach(), DATA_FOLDER, new RandomSource(this.#random.int(1, 0x7fffffff)))
    const machine = new ListMachine()
    const driver = await ReplicaDriver.open<string, number>({
      group: 'g',
      node: node.id,
      folder,
      timers: this.timers,
      random: new RandomSource(this.#random.int(1, 0x7fffffff)),
      transport: { send: (_group, to, message) => this.#transmit(node, processNumber, to, message) },
      machine,
      initialMembers: this.members,
      ...(this.#options.learners !== undefined && { minVoters: this.#options.voters }),
      snapshotEveryEntries: this.#options.snapshotEvery ?? 20,
      disabled: this.#options.disabled ?? [],
      onFatal: (err) => { if (node.processNumber === processNumber) node.fatal = err }
    })
    if (node.processNumber === processNumber) node.machine = machine
    return driver
  }

  #transmit (node: Node, processNumber: number, to: NodeId, message: unknown): void {
    const target = this.nodes.find((other) => other.id === to)
    if (!target || node.processNumber !== processNumber || this.#partitionOf.get(node.id) !== this.#partitionOf.get(to)) return
    const copies = this.#random.float() < this.#faults.duplicate ? 2 : 1
    for (let i = 0; i < copies; i++) {
      if (this.#random.float() < this.#faults.drop) continue
      const text = JSON.stringify(message)
      this.timers.subscribe(this.#random.int(0, this.#faults.delayMs), () => {
        if (this.#partitionOf.get(node.id) === this.#partitionOf.get(to)) target.driver?.handleMessage(node.id, JSON.parse(text))
      })
    }
  }
}
