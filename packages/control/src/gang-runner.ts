import type { EndpointId, JobId, TaskId } from '@ibisstair/common'
import type { CallResult, TaskRenewal, TaskView } from '@ibisstair/endpoint-tasks'
import { buildTaskRequest, type Gang, type GangEffect, type GangEvent, type GangResult } from '@ibisstair/gang'
import type { TimerService, Unsubscribe } from '@ibisstair/timers'
import { match } from 'ts-pattern'
import type { EndpointLink } from './link.ts'

export interface GangOwner {
  getLink (endpointId: EndpointId): EndpointLink | undefined
  /** Commits the start record of a non-idempotent job; the gang waits for the `recorded` event. */
  recordStart (gang: Gang): void
  handleStarted (gang: Gang): void
  handleNotStarted (gang: Gang, effect: GangEffect & { type: 'not-started' }): void
  handleResult (gang: Gang, result: GangResult): void
}

interface Member {
  readonly gang: Gang
  readonly index: number
}

/** Applies the effects that the gangs of one session return, and passes the replies back to them as events. */
export class GangRunner {
  readonly #timers: TimerService
  readonly #owner: GangOwner
  readonly #gangs = new Map<JobId, Gang>()
  readonly #members = new Map<TaskId, Member>()
  readonly #wakeTimers = new Map<Gang, Unsubscribe>()
  #isStopped = false

  constructor (timers: TimerService, owner: GangOwner) {
    this.#timers = timers
    this.#owner = owner
  }

  get size (): number {
    return this.#gangs.size
  }

  get (jobId: JobId): Gang | undefined {
    return this.#gangs.get(jobId)
  }

  /** Registers the gang and starts it with a first `timer` event. */
  add (gang: Gang): void {
    const { jobId, assignments } = gang.spec
    this.#gangs.set(jobId, gang)
    for (const { taskId, index } of assignments) this.#members.set(taskId, { gang, index })
    this.handle(gang, { type: 'timer' })
  }

  handle (gang: Gang, event: GangEvent): void {
    if (this.#isStopped && event.type !== 'deposed') return
    const effects = gang.handle(event, this.#timers.now())
    for (const effect of effects) this.#applyEffect(gang, effect)
    if (gang.isClosed) this.#remove(gang)
  }

  handleViews (views: ReadonlyMap<TaskId, TaskView>, requestedAtMs?: number): void {
    for (const [taskId, task] of views) {
      const member = this.#members.get(taskId)
      if (member) this.handle(member.gang, { type: 'task', index: member.index, task, ...(requestedAtMs !== undefined && { requestedAtMs }) })
    }
  }

  handleEndpointLost (endpointId: EndpointId): void {
    for (const gang of [...this.#gangs.values()]) {
      const isMember = gang.spec.assignments.some((assignment) => assignment.endpointId === endpointId)
      if (isMember) this.handle(gang, { type: 'endpoint-lost', endpointId })
    }
  }

  /** Returns the lease renewals that are due, grouped by endpoint. */
  collectRenewals (): Map<EndpointId, TaskRenewal[]> {
    const byEndpoint = new Map<EndpointId, TaskRenewal[]>()
    const now = this.#timers.now()
    for (const gang of this.#gangs.values()) {
      for (const { endpointId, taskId, incarnation, termMs } of gang.getRenewals(now)) {
        const renewals = byEndpoint.get(endpointId)
        if (renewals) renewals.push({ taskId, incarnation, termMs })
        else byEndpoint.set(endpointId, [{ taskId, incarnation, termMs }])
      }
    }
    return byEndpoint
  }

  /** Called when this process is no longer the leader: from then on nothing is renewed, started or stopped. */
  depose (): void {
    this.#isStopped = true
    for (const gang of [...this.#gangs.values()]) this.handle(gang, { type: 'deposed' })
    for (const stop of this.#wakeTimers.values()) stop()
    this.#wakeTimers.clear()
    this.#gangs.clear()
    this.#members.clear()
  }

  #applyEffect (gang: Gang, effect: GangEffect): void {
    match(effect)
      .with({ type: 'call' }, (call) => this.#call(gang, call))
      .with({ type: 'wake' }, ({ atMs }) => this.#setWakeTimer(gang, atMs))
      .with({ type: 'record-start' }, () => this.#owner.recordStart(gang))
      .with({ type: 'started' }, () => this.#owner.handleStarted(gang))
      .with({ type: 'not-started' }, (notStarted) => this.#owner.handleNotStarted(gang, notStarted))
      .with({ type: 'finished' }, ({ result }) => this.#owner.handleResult(gang, result))
      .exhaustive()
  }

  #call (gang: Gang, effect: GangEffect & { type: 'call' }): void {
    const { index, operation } = effect
    const assignment = gang.spec.assignments.find((item) => item.index === index)
    const link = assignment && this.#owner.getLink(assignment.endpointId)
    const request = buildTaskRequest(gang.spec, effect, gang.getAgeMs(this.#timers.now()))
    const reply: Promise<CallResult> = link ? link.operate(request) : Promise.resolve({ status: 'unknown' })
    reply.then((result) => this.handle(gang, { type: 'reply', index, operation, result })).catch((err: Error) => {
      // `invariant` has reported the violation inside the gang; its leases expire without renewals.
      this.#remove(gang)
      throw err
    })
  }

  #setWakeTimer (gang: Gang, atMs: number): void {
    this.#wakeTimers.get(gang)?.()
    // System timers may fire a millisecond early, and the gang requests each wake-up only once.
    const delayMs = Math.ceil(atMs - this.#timers.now())
    this.#wakeTimers.set(gang, this.#timers.subscribe(delayMs, () => {
      if (this.#timers.now() < atMs) this.#setWakeTimer(gang, atMs)
      else this.handle(gang, { type: 'timer' })
    }))
  }

  #remove (gang: Gang): void {
    this.#wakeTimers.get(gang)?.()
    this.#wakeTimers.delete(gang)
    const { jobId, assignments } = gang.spec
    if (this.#gangs.get(jobId) === gang) this.#gangs.delete(jobId)
    for (const { taskId } of assignments) this.#members.delete(taskId)
  }
}
