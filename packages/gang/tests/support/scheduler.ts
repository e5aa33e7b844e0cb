import { asId, type TaskId } from '@ibisstair/common'
import type { TaskListing } from '@ibisstair/endpoint-tasks'
import type { Assignment } from '@ibisstair/model'
import type { Unsubscribe } from '@ibisstair/timers'
import { buildTaskRequest, Gang, type CallResult, type GangEffect, type GangEvent, type GangSpec, type LeaseRenewal, type TaskView } from '../../src/index.ts'
import type { FakeEndpoint } from './endpoint.ts'
import type { Job, SchedulerHost } from './types.ts'

const MAX_ATTEMPTS = 4
const MAX_RENEWAL_FAILURES = 3

interface GangEntry {
  readonly job: Job
  readonly gang: Gang
  readonly spec: GangSpec
  /** Whether another attempt has replaced this one, which is only stopped. */
  readonly isSuperseded: boolean
  wake: Unsubscribe
}

/** A control leader reduced to the gangs: owns them, makes their calls and renews their leases. */
export class FakeScheduler {
  readonly id: number
  readonly term: number
  isAlive = true
  frozenUntilMs = 0
  readonly #world: SchedulerHost
  readonly entries = new Map<string, GangEntry>()
  readonly #attempts = new Map<string, number>()
  readonly #failures = new Map<string, number>()
  readonly #knownIncarnation = new Map<string, number>()
  #isDeposed = false
  #isTakingOver = false
  #requestedAtMs = 0
  #isDraining = false
  readonly #inbox: Array<() => void> = []

  constructor (id: number, term: number, world: SchedulerHost) {
    this.id = id
    this.term = term
    this.#world = world
    world.timers.every(world.renewMs, () => this.#run(() => this.#renew()))
  }

  get isOpen (): boolean {
    return this.isAlive && [...this.entries.values()].some(({ gang }) => !gang.isClosed)
  }

  kill (): void {
    this.isAlive = false
  }

  depose (): void {
    this.#run(() => {
      if (this.#isDeposed) return
      this.#isDeposed = true
      for (const entry of [...this.entries.values()]) this.#handle(entry, { type: 'deposed' })
    })
  }

  /** Adopts, stops or resolves the gangs of the previous leader, then starts the jobs without a gang. */
  takeOver (): void {
    this.#requestedAtMs = this.#world.timers.now()
    this.#isTakingOver = true
    const listings = new Map<TaskId, { listing: TaskListing, endpoint: FakeEndpoint, incarnation: number }>()
    for (const endpoint of this.#world.endpoints) {
      this.#world.network.request(this.id, endpoint,
        () => ({ incarnation: endpoint.incarnation, list: endpoint.table.list() }),
        ({ incarnation, list }) => {
          for (const listing of list) listings.set(listing.taskId, { listing, endpoint, incarnation })
        })
    }
    this.#world.timers.subscribe(1_500, () => this.#run(() => {
      this.#isTakingOver = false
      this.#world.timers.subscribe(0, () => this.#run(() => this.#renew()))
      for (const job of this.#world.jobs) {
        if (job.isSubmitted && job.outcome === undefined) this.#takeOverJob(job, [...listings.values()].filter(({ listing }) => listing.grant.jobId === job.id))
      }
    }))
  }

  submit (job: Job): void {
    this.#run(() => {
      if (!this.#isTakingOver) this.#create(job)
    })
  }

  command (jobId: string, event: GangEvent): void {
    this.#run(() => {
      for (const entry of this.entries.values()) {
        if (entry.job.id === jobId && !entry.isSuperseded) this.#handle(entry, event)
      }
    })
  }

  #takeOverJob (job: Job, listedTasks: { listing: TaskListing, endpoint: FakeEndpoint, incarnation: number }[]): void {
    const groups = new Map<string, typeof listedTasks>()
    for (const item of listedTasks) {
      const prefix = item.listing.taskId.slice(0, item.listing.taskId.lastIndexOf('.'))
      groups.set(prefix, [...groups.get(prefix) ?? [], item])
    }
    const record = this.#world.register.get(job.id)
    let current: string | undefined
    if (record && record.outcome === undefined) {
      const spec = record.spec
      current = spec.assignments[0]!.taskId.slice(0, spec.assignments[0]!.taskId.lastIndexOf('.'))
      this.#open(job, Gang.resolve(spec, { testOverrides: this.#world.gangTestOverrides }), spec, false)
    }
    for (const [prefix, items] of groups) {
      if (prefix === current) continue
      const { spec, views } = this.#toAdoptedSpec(job, items)
      const isComplete = spec.assignments.length === job.request.shape.tasks && views.every(({ phase, everStarted }) => everStarted && (phase === 'running' || phase === 'done'))
      const isSuperseded = current !== undefined || !isComplete || !job.request.idempotent
      const gang = Gang.adopt(spec, views, { requestedAtMs: this.#requestedAtMs, testOverrides: this.#world.gangTestOverrides })
      if (!isSuperseded) current = prefix
      const entry = this.#open(job, gang, spec, isSuperseded)
      if (isSuperseded && !gang.isClosed) this.#handle(entry, { type: 'cancel' })
    }
    if (current === undefined) this.#create(job)
  }

  #toAdoptedSpec (job: Job, items: { listing: TaskListing, endpoint: FakeEndpoint, incarnation: number }[]): { spec: GangSpec, views: TaskView[] } {
    const sorted = items.sort((a, b) => a.listing.grant.index - b.listing.grant.index)
    const assignments = sorted.map(({ listing, endpoint, incarnation }) => ({ index: listing.grant.index, taskId: listing.taskId, endpointId: endpoint.id, incarnation }))
    return { spec: this.#toSpec(job, sorted[0]!.listing.grant.attempt, assignments), views: sorted.map(({ listing }) => listing.view) }
  }

  #toSpec (job: Job, attempt: number, assignments: readonly Assignment[]): GangSpec {
    return {
      jobId: asId(job.id),
      attempt,
      request: job.request,
      assignments,
      leaseMs: this.#world.leaseMs,
      reservationMs: 2_000,
      checkpointGraceMs: 2_000,
      callMs: 1_000
    }
  }

  #create (job: Job): void {
    if (this.#isDeposed || job.outcome !== undefined) return
    const attempt = (this.#attempts.get(job.id) ?? 0) + 1
    if (attempt > MAX_ATTEMPTS) return this.#world.complete(job, 'gave-up')
    this.#attempts.set(job.id, attempt)
    const placed = this.#world.random.shuffle(this.#world.endpoints)
    const assignments = Array.from({ length: job.request.shape.tasks }, (_, index) => {
      const endpoint = placed[index % placed.length]!
      return { index, taskId: asId<TaskId>(`${job.id}.${this.term}.${attempt}.${index}`), endpointId: endpoint.id, incarnation: endpoint.incarnation }
    })
    const spec = this.#toSpec(job, this.term * 100 + attempt, assignments)
    this.#open(job, Gang.create(spec, { testOverrides: this.#world.gangTestOverrides }), spec, false)
  }

  #open (job: Job, gang: Gang, spec: GangSpec, isSuperseded: boolean): GangEntry {
    this.#world.onOpened(spec)
    const entry: GangEntry = { job, gang, spec, isSuperseded, wake: () => {} }
    const prefix = spec.assignments[0]!.taskId.slice(0, spec.assignments[0]!.taskId.lastIndexOf('.'))
    this.entries.set(prefix, entry)
    for (const { endpointId, incarnation } of spec.assignments) this.#knownIncarnation.set(endpointId, incarnation)
    this.#handle(entry, { type: 'timer' })
    return entry
  }

  /** Runs `fn` now; during a freeze, afterwards in the order of arrival; never once the process is dead. */
  #run (fn: () => void): void {
    if (!this.isAlive) return
    const waitMs = this.frozenUntilMs - this.#world.timers.now()
    if (waitMs <= 0 && (this.#inbox.length === 0 || this.#isDraining)) return fn()
    if (this.#inbox.length === 0) this.#world.timers.subscribe(Math.max(0, waitMs), () => this.#drain())
    this.#inbox.push(fn)
  }

  #drain (): void {
    const waitMs = this.frozenUntilMs - this.#world.timers.now()
    if (waitMs > 0) {
      this.#world.timers.subscribe(waitMs, () => this.#drain())
      return
    }
    this.#isDraining = true
    while (this.#inbox.length > 0 && this.isAlive) this.#inbox.shift()?.()
    this.#isDraining = false
  }

  #handle (entry: GangEntry, event: GangEvent): void {
    if (!this.isAlive) return
    const effects = entry.gang.handle(event, this.#world.timers.now())
    this.#world.onReported(entry.spec, effects)
    for (const effect of effects) {
      this.#world.onStep(this.id)
      this.#run(() => this.#execute(entry, effect))
    }
  }

  #execute (entry: GangEntry, effect: GangEffect): void {
    if (this.#isDeposed && effect.type === 'call') this.#world.findings.push(`deposed: scheduler ${this.id} still calls ${effect.operation}`)
    switch (effect.type) {
      case 'call': return this.#call(entry, effect)
      case 'wake':
        entry.wake()
        entry.wake = this.#world.timers.subscribe(effect.atMs - this.#world.timers.now(), () => this.#run(() => this.#handle(entry, { type: 'timer' })))
        return
      case 'record-start':
        return this.#world.register.record(this.term, entry.job.id, entry.spec, (ok) => this.#run(() => this.#handle(entry, { type: 'recorded', ok })))
      case 'not-started':
        if (entry.isSuperseded) return
        if (!this.#world.register.resolve(this.term, entry.job.id, 'not-run')) return
        this.#world.timers.subscribe(500, () => this.#run(() => this.#create(entry.job)))
        return
      // The members of an adopted gang may be close to the end of their leases.
      case 'started': return this.#renew()
      case 'finished': return this.#onFinished(entry, effect)
      default:
    }
  }

  #onFinished (entry: GangEntry, effect: GangEffect & { type: 'finished' }): void {
    const { state } = effect.result
    if (state === 'deposed') return
    if (!entry.isSuperseded) {
      const isRetried = entry.job.request.idempotent && (state === 'lost' || state === 'preempted')
      if (isRetried) this.#world.timers.subscribe(500, () => this.#run(() => this.#create(entry.job)))
      else if (this.#world.register.resolve(this.term, entry.job.id, state)) this.#world.complete(entry.job, state)
      else if (entry.job.request.idempotent) this.#world.complete(entry.job, state)
    }
    this.#run(() => this.#handle(entry, { type: 'delivered' }))
  }

  #call (entry: GangEntry, effect: GangEffect & { type: 'call' }): void {
    const { index, operation } = effect
    const assignment = entry.spec.assignments.find((a) => a.index === index)!
    const endpoint = this.#world.getEndpoint(assignment.endpointId)
    const request = buildTaskRequest(entry.spec, effect, entry.gang.getAgeMs(this.#world.timers.now()))
    let isAnswered = false
    const answer = (result: CallResult): void => {
      // Late and duplicated answers reach the gang as well.
      isAnswered = true
      this.#run(() => this.#handle(entry, { type: 'reply', index, operation, result }))
    }
    this.#world.network.request(this.id, endpoint, () => {
      const { result, effects } = endpoint.table.handle(request, endpoint.now())
      endpoint.apply(effects)
      return result
    }, answer)
    this.#world.timers.subscribe(entry.spec.callMs, () => this.#run(() => {
      if (!isAnswered) this.#handle(entry, { type: 'reply', index, operation, result: { status: 'unknown' } })
    }))
  }

  /** Renews the leases in one batch for each endpoint; the answer also reports finished tasks. */
  #renew (): void {
    if (this.#isDeposed) return
    const now = this.#world.timers.now()
    const batches = new Map<string, { entry: GangEntry, renewal: LeaseRenewal }[]>()
    for (const entry of this.entries.values()) {
      if (entry.gang.isClosed) continue
      for (const renewal of entry.gang.getRenewals(now)) {
        const batch = batches.get(renewal.endpointId) ?? []
        batch.push({ entry, renewal })
        batches.set(renewal.endpointId, batch)
      }
    }
    for (const [name, batch] of batches) this.#renewAt(name, batch)
  }

  #renewAt (name: string, batch: { entry: GangEntry, renewal: LeaseRenewal }[]): void {
    const endpoint = this.#world.getEndpoint(name)
    let isAnswered = false
    this.#world.network.request(this.id, endpoint, () => {
      const { views, effects } = endpoint.table.renew(batch.map(({ renewal }) => renewal), endpoint.now())
      endpoint.apply(effects)
      return views
    }, (views) => {
      isAnswered = true
      this.#run(() => {
        this.#failures.set(name, 0)
        batch.forEach(({ entry, renewal }, i) => this.#handle(entry, { type: 'task', index: renewal.index, task: views[i]! }))
      })
    })
    this.#world.timers.subscribe(1_000, () => this.#run(() => {
      if (isAnswered) return
      const failures = (this.#failures.get(name) ?? 0) + 1
      this.#failures.set(name, failures)
      if (failures < MAX_RENEWAL_FAILURES) return
      this.#failures.set(name, 0)
      for (const entry of [...this.entries.values()]) this.#handle(entry, { type: 'endpoint-lost', endpointId: asId(name) })
    }))
  }
}
