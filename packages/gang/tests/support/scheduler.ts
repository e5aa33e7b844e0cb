import { asId, type TaskId } from '@ibisstair/common'
import type { TaskListing } from '@ibisstair/endpoint-tasks'
import type { Assignment } from '@ibisstair/model'
import type { Unsubscribe } from '@ibisstair/timers'
import { buildTaskRequest, Gang, type CallResult, type GangEffect, type GangEvent, type GangSpec, type LeaseRenewal, type TaskView } from '../../src/index.ts'
import type { FakeEndpoint } from './endpoint.ts'
import type { Job, SchedulerHost } from './types.ts'

const MAX_ATTEMPTS = 4
const FAILURES_UNTIL_LOST = 3

interface Slot {
  readonly job: Job
  readonly gang: Gang
  readonly spec: GangSpec
  /** A superseded attempt that is only cleaned up. */
  readonly isLeftover: boolean
  wake: Unsubscribe
}

/** A control leader reduced to what gangs need: it owns them, makes their calls and renews their leases. */
export class FakeScheduler {
  readonly id: number
  readonly term: number
  isAlive = true
  frozenUntilMs = 0
  readonly #world: SchedulerHost
  readonly slots = new Map<string, Slot>()
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
    return this.isAlive && [...this.slots.values()].some(({ gang }) => !gang.isClosed)
  }

  kill (): void {
    this.isAlive = false
  }

  depose (): void {
    this.#run(() => {
      if (this.#isDeposed) return
      this.#isDeposed = true
      for (const slot of [...this.slots.values()]) this.#handle(slot, { type: 'deposed' })
    })
  }

  /** Adopts, stops or resolves what the previous leader left, then starts the rest. */
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
      for (const slot of this.slots.values()) {
        if (slot.job.id === jobId && !slot.isLeftover) this.#handle(slot, event)
      }
    })
  }

  #takeOverJob (job: Job, found: { listing: TaskListing, endpoint: FakeEndpoint, incarnation: number }[]): void {
    const groups = new Map<string, typeof found>()
    for (const item of found) {
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
      const { spec, views } = this.#toFoundSpec(job, items)
      const isWhole = spec.assignments.length === job.request.shape.tasks && views.every(({ phase, everStarted }) => everStarted && (phase === 'running' || phase === 'done'))
      const isLeftover = current !== undefined || !isWhole || !job.request.idempotent
      const gang = Gang.adopt(spec, views, { requestedAtMs: this.#requestedAtMs, testOverrides: this.#world.gangTestOverrides })
      if (!isLeftover) current = prefix
      const slot = this.#open(job, gang, spec, isLeftover)
      if (isLeftover && !gang.isClosed) this.#handle(slot, { type: 'cancel' })
    }
    if (current === undefined) this.#create(job)
  }

  #toFoundSpec (job: Job, items: { listing: TaskListing, endpoint: FakeEndpoint, incarnation: number }[]): { spec: GangSpec, views: TaskView[] } {
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

  #open (job: Job, gang: Gang, spec: GangSpec, isLeftover: boolean): Slot {
    this.#world.onOpened(spec)
    const slot: Slot = { job, gang, spec, isLeftover, wake: () => {} }
    const prefix = spec.assignments[0]!.taskId.slice(0, spec.assignments[0]!.taskId.lastIndexOf('.'))
    this.slots.set(prefix, slot)
    for (const { endpointId, incarnation } of spec.assignments) this.#knownIncarnation.set(endpointId, incarnation)
    this.#handle(slot, { type: 'timer' })
    return slot
  }

  /** Runs now, or after the freeze in the order of arrival, or never once the process is dead. */
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

  #handle (slot: Slot, event: GangEvent): void {
    if (!this.isAlive) return
    const effects = slot.gang.handle(event, this.#world.timers.now())
    this.#world.onReported(slot.spec, effects)
    for (const effect of effects) {
      this.#world.onStep(this.id)
      this.#run(() => this.#execute(slot, effect))
    }
  }

  #execute (slot: Slot, effect: GangEffect): void {
    if (this.#isDeposed && effect.type === 'call') this.#world.findings.push(`deposed: scheduler ${this.id} still calls ${effect.operation}`)
    switch (effect.type) {
      case 'call': return this.#call(slot, effect)
      case 'wake':
        slot.wake()
        slot.wake = this.#world.timers.subscribe(effect.atMs - this.#world.timers.now(), () => this.#run(() => this.#handle(slot, { type: 'timer' })))
        return
      case 'record-start':
        return this.#world.register.record(this.term, slot.job.id, slot.spec, (ok) => this.#run(() => this.#handle(slot, { type: 'recorded', ok })))
      case 'not-started':
        if (slot.isLeftover) return
        if (!this.#world.register.resolve(this.term, slot.job.id, 'not-run')) return
        this.#world.timers.subscribe(500, () => this.#run(() => this.#create(slot.job)))
        return
      // The members of an adopted gang may be close to the end of their leases.
      case 'started': return this.#renew()
      case 'finished': return this.#onFinished(slot, effect)
      default:
    }
  }

  #onFinished (slot: Slot, effect: GangEffect & { type: 'finished' }): void {
    const { state } = effect.result
    if (state === 'deposed') return
    if (!slot.isLeftover) {
      const isRetried = slot.job.request.idempotent && (state === 'lost' || state === 'preempted')
      if (isRetried) this.#world.timers.subscribe(500, () => this.#run(() => this.#create(slot.job)))
      else if (this.#world.register.resolve(this.term, slot.job.id, state)) this.#world.complete(slot.job, state)
      else if (slot.job.request.idempotent) this.#world.complete(slot.job, state)
    }
    this.#run(() => this.#handle(slot, { type: 'delivered' }))
  }

  #call (slot: Slot, effect: GangEffect & { type: 'call' }): void {
    const { index, operation } = effect
    const assignment = slot.spec.assignments.find((a) => a.index === index)!
    const endpoint = this.#world.getEndpoint(assignment.endpointId)
    const request = buildTaskRequest(slot.spec, effect, slot.gang.getAgeMs(this.#world.timers.now()))
    let isAnswered = false
    const answer = (result: CallResult): void => {
      // Late and doubled answers reach the gang as well.
      isAnswered = true
      this.#run(() => this.#handle(slot, { type: 'reply', index, operation, result }))
    }
    this.#world.network.request(this.id, endpoint, () => {
      const { result, effects } = endpoint.table.handle(request, endpoint.now())
      endpoint.apply(effects)
      return result
    }, answer)
    this.#world.timers.subscribe(slot.spec.callMs, () => this.#run(() => {
      if (!isAnswered) this.#handle(slot, { type: 'reply', index, operation, result: { status: 'unknown' } })
    }))
  }

  /** Batch renewal for each endpoint; the answer also carries finished tasks. */
  #renew (): void {
    if (this.#isDeposed) return
    const now = this.#world.timers.now()
    const batches = new Map<string, { slot: Slot, renewal: LeaseRenewal }[]>()
    for (const slot of this.slots.values()) {
      if (slot.gang.isClosed) continue
      for (const renewal of slot.gang.getRenewals(now)) {
        const batch = batches.get(renewal.endpointId) ?? []
        batch.push({ slot, renewal })
        batches.set(renewal.endpointId, batch)
      }
    }
    for (const [name, batch] of batches) this.#renewAt(name, batch)
  }

  #renewAt (name: string, batch: { slot: Slot, renewal: LeaseRenewal }[]): void {
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
        batch.forEach(({ slot, renewal }, i) => this.#handle(slot, { type: 'task', index: renewal.index, task: views[i]! }))
      })
    })
    this.#world.timers.subscribe(1_000, () => this.#run(() => {
      if (isAnswered) return
      const failures = (this.#failures.get(name) ?? 0) + 1
      this.#failures.set(name, failures)
      if (failures < FAILURES_UNTIL_LOST) return
      this.#failures.set(name, 0)
      for (const slot of [...this.slots.values()]) this.#handle(slot, { type: 'endpoint-lost', endpointId: asId(name) })
    }))
  }
}
