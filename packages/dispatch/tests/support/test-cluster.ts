import { asId, type EndpointId, type JobId, type RackId } from '@ibisstair/common'
import { SpeedEstimator, type SpeedSnapshot } from '@ibisstair/estimation'
import { SchedulingState, type EndpointIncarnation, type EndpointRecord, type JobSpec, type QueueConfig, type Resources, type StateCommand, type StateResult, type StepSpec } from '@ibisstair/jobs'
import { packValue, unpackValue } from '@ibisstair/storage'
import { Metrics } from '@ibisstair/telemetry'
import { ManualTimerService, RandomSource } from '@ibisstair/timers'
import { accept, createEndpoint, createSpec, register } from '../../../jobs/tests/support/samples.ts'
import { COMMIT_TIMEOUT_MS } from '../../src/constants.ts'
import { Dispatcher, type EndpointPort, type LeaveNotice, NO_SCHEDULING_POLICY } from '../../src/index.ts'
import { FakeFleet, LEASE_MAX_MS, type FakeFaults } from './fake-fleet.ts'

const ANNOUNCE_MS = 500
const LATE_ANNOUNCEMENT_MIN_MS = 600
const LATE_ANNOUNCEMENT_MAX_MS = 4_000

/** A scheduler on virtual time over a fake fleet, with leaders that replace each other. */
export class TestCluster {
  readonly timers = new ManualTimerService()
  readonly random: RandomSource
  /** Replaced by `recover`. */
  state = new SchedulingState()
  readonly metrics = new Metrics({ node: 'n' })
  readonly logLines: Array<{ readonly message: string, readonly fields: Readonly<Record<string, unknown>> }> = []
  readonly fleet: FakeFleet
  /** How leaders that are elected from now on call the endpoints. */
  port: EndpointPort
  readonly endpoints: readonly EndpointRecord[]
  commitMs = 5
  /** Time that commits take; null if it is `commitMs`. After COMMIT_TIMEOUT_MS the proposer is told that the outcome is not known. */
  slowCommitMs: number | null = null
  /** When a leader began or lost or regained its quorum. */
  leaderChangedAtMs = 0
  /** Endpoints whose announcements do not arrive, though calls reach them. */
  readonly mutedAnnouncements = new Set<EndpointIncarnation>()
  /** How much longer endpoints announce that they stay slow; 0 for the others. */
  readonly coldLeftMs = new Map<EndpointIncarnation, number>()
  /** Share of the announcements that arrive late, after newer ones. */
  lateAnnouncementShare = 0
  /** Rules of the leaders that are elected from now on. */
  policy = NO_SCHEDULING_POLICY
  /** When the last of the slow commits is applied; commands are applied in the order of the log. */
  #commitsUntilMs = 0
  #announcements = 0
  #hasQuorum = true
  /** Commits that wait for the quorum, in the order of the log; those of a leader that was replaced are dropped. */
  #heldCommits: Array<() => void> = []
  #term = 0
  #dispatcher: Dispatcher | null = null
  #speeds: SpeedSnapshot | null = null
  /** End of the last leader's term as its successor knows it. */
  #announcedUntilMs: number | null = null

  constructor (seed: number, faults: Partial<FakeFaults> = {}, endpoints?: readonly EndpointRecord[]) {
    this.random = new RandomSource(seed)
    this.endpoints = endpoints ?? ['w1', 'w2', 'w3', 'w4'].map((id, i) => createEndpoint(id, { address: `10.0.0.${i}:1`, rack: asId<RackId>(i < 2 ? 'r1' : 'r2') }))
    this.fleet = new FakeFleet(this.timers, this.random, this.endpoints, () => this.state, faults)
    this.port = this.fleet
    this.configure(1, [...new Set(this.endpoints.map(({ service }) => service))])
    for (const endpoint of this.endpoints) this.state.apply(register(endpoint))
    this.timers.every(ANNOUNCE_MS, () => this.#announceAll())
  }

  get hasQuorum (): boolean {
    return this.#hasQuorum
  }

  /** False while the leader has lost its quorum. What it had proposed before stays in its log, and is committed once the quorum is back. */
  set hasQuorum (hasQuorum: boolean) {
    this.#hasQuorum = hasQuorum
    if (!hasQuorum) return
    const held = this.#heldCommits
    this.#heldCommits = []
    for (const commit of held) commit()
  }

  /** Starts a new leader with a higher fencing token; the old one sends no more orders. */
  elect (): void {
    if (this.#dispatcher) this.depose()
    const term = ++this.#term
    this.leaderChangedAtMs = this.timers.now()
    const propose = async (command: StateCommand): Promise<StateResult> => {
      const copy = JSON.parse(JSON.stringify(command)) as StateCommand
      if (this.#term !== term || !this.hasQuorum) throw new Error('not the leader')
      const isSlow = this.slowCommitMs !== null || this.#commitsUntilMs > this.timers.now()
      return await (isSlow ? this.#commitSlowly(copy, term) : this.#commit(copy, term, this.commitMs))
    }
    const log = (message: string, fields: Readonly<Record<string, unknown>> = {}): void => { this.logLines.push({ message, fields }) }
    this.#dispatcher = new Dispatcher({
      state: this.state,
      propose,
      isLeading: () => this.#term === term && this.hasQuorum,
      port: this.port,
      timers: this.timers,
      logger: { error: log, warn: log, info: log, debug: log },
      metrics: this.metrics,
      fencingToken: term,
      leaseMaxMs: LEASE_MAX_MS,
      announcedUntilMs: this.#announcedUntilMs ?? this.timers.now(),
      policy: this.policy,
      speedEstimator: this.#createEstimator()
    })
    this.#dispatcher.start()
  }

  /** The next leader starts from a copy of the present one's speeds, or from none. */
  shareSpeeds (isShared: boolean): void {
    this.#speeds = isShared ? this.#dispatcher!.getSpeeds() : null
  }

  #createEstimator (): SpeedEstimator {
    const estimator = new SpeedEstimator()
    if (this.#speeds) estimator.restore(this.#speeds, this.timers.now())
    return estimator
  }

  /** Ends the leader; the next one restores its state from a snapshot, as after a restart or on a VM that lost its disk. */
  recover (): void {
    const snapshot = unpackValue(packValue(this.state.toSnapshot()))
    this.depose()
    this.#announcedUntilMs = -Infinity
    this.state = new SchedulingState()
    this.state.restore(snapshot)
    this.elect()
  }

  async run (ms: number): Promise<void> {
    const end = this.timers.now() + ms
    do for (let i = 0; i < 12; i++) await Promise.resolve()
    while (this.timers.runNext(end))
    this.timers.advance(end - this.timers.now())
  }

  #announceAll (): void {
    const reachable = this.fleet.listRecords().filter(({ life: incarnation }) => !this.fleet.faults.unreachable.has(incarnation) && !this.mutedAnnouncements.has(incarnation))
    for (const endpoint of reachable) {
      const isLate = this.lateAnnouncementShare > 0 && this.random.float() < this.lateAnnouncementShare
      const delayMs = isLate ? this.random.int(LATE_ANNOUNCEMENT_MIN_MS, LATE_ANNOUNCEMENT_MAX_MS) : 0
      const record = { ...endpoint, sequence: ++this.#announcements }
      // A late announcement carries the clock of the moment at which it was sent.
      const clockMs = this.fleet.readClock(endpoint.life)
      if (isLate) this.timers.subscribe(delayMs, () => this.announce(record, clockMs))
      else this.announce(record, clockMs)
    }
  }

  announce (record: EndpointRecord, clockMs: number): void {
    this.#dispatcher?.announce(record, clockMs, this.coldLeftMs.get(record.life)).catch(() => {})
  }

  /** Ends the leader and starts none. */
  depose (): void {
    this.#dispatcher?.close()
    this.#dispatcher = null
    this.#announcedUntilMs = this.timers.now()
    this.#term += 1
  }

  configure (version: number, services: readonly string[], queues: readonly QueueConfig[] = []): void {
    this.state.apply({ type: 'configure', config: { version, queues, services, customers: [], document: '' } })
  }

  submit (id: string, steps: readonly StepSpec[], priority = 1, overrides: Partial<JobSpec> = {}): void {
    this.state.apply(accept(createSpec(id, steps, { priority, maxAttempts: 50, ...overrides }), this.timers.now()))
  }

  get areCommitsSlow (): boolean {
    return this.slowCommitMs !== null || this.#commitsUntilMs > this.timers.now()
  }

  async #commitSlowly (command: StateCommand, term: number): Promise<StateResult> {
    this.#commitsUntilMs = Math.max(this.#commitsUntilMs, this.timers.now() + (this.slowCommitMs ?? this.commitMs))
    return await this.#commit(command, term, this.#commitsUntilMs - this.timers.now())
  }

  /** Rejects after COMMIT_TIMEOUT_MS, or when the leader is replaced; in the first case the command may still be applied. */
  async #commit (command: StateCommand, term: number, delayMs: number): Promise<StateResult> {
    return await new Promise((resolve, reject) => {
      const apply = (): void => {
        if (this.#term === term) resolve(this.state.apply(command))
        else reject(new Error('not the leader'))
      }
      this.timers.subscribe(COMMIT_TIMEOUT_MS, () => reject(new Error('not committed in time')))
      this.timers.subscribe(delayMs, () => {
        if (this.hasQuorum) apply()
        else this.#heldCommits.push(apply)
      })
    })
  }

  cancel (id: string): void {
    this.state.apply({ type: 'cancel', job: asId<JobId>(id), atMs: this.timers.now() })
  }

  /** Resolves once the endpoint gets the answer to its message. */
  async leave (id: string, bornMs: number | null, claims: Partial<LeaveNotice> = {}): Promise<void> {
    await this.#dispatcher?.leave({ endpointId: asId<EndpointId>(id), bornMs, service: null, address: null, ...claims })
  }

  /** Announces the endpoints with another capacity from now on. */
  setCapacity (id: string, capacity: Partial<Resources>): void {
    this.fleet.setCapacity(asId<EndpointId>(id), capacity)
  }

  statusOf (id: string): string | undefined {
    return this.state.jobs.get(asId<JobId>(id))?.status
  }
}
