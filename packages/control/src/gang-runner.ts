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

/** Carries out the effects of the gangs of one leader and feeds the answers back to them. */
export class GangRunner {
  readonly #timers: TimerService
  readonly #owner: GangOwner
  readonly #gangs = new Map<JobId, Gang>()
  readonly #members = new Map<TaskId, Member>()
  readonly #wakes = new Map<Gang, Unsubscribe>()
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

  /** The first event begins the work of the gang. */
  add (gang: Gang): void {
    const { jobId, assignments } = gang.spec
    this.#gangs.set(jobId, gang)
    for (const { taskId, index } of assignments) this.#members.set(taskId, { gang, index })
    this.handle(gang, { type: 'timer' })
  }

  handle (gang: Gang, event: GangEvent): void {
    if (this.#isStopped && event.type !== 'deposed') return
    const effects = gang.handle(event, this.#timers.now())
    for (const effect of effects) this.#carryOut(gang, effect)
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

  /** The renewals that are due, collected for one call to each endpoint. */
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

  /** This process leads no more: nothing is renewed, started or stopped any longer. */
  depose (): void {
    this.#isStopped = true
    for (const gang of [...this.#gangs.values()]) this.handle(gang, { type: 'deposed' })
    for (const stop of this.#wakes.values()) stop()
    this.#wakes.clear()
    this.#gangs.clear()
    this.#members.clear()
  }

  #carryOut (gang: Gang, effect: GangEffect): void {
    match(effect)
      .with({ type: 'call' }, (call) => this.#call(gang, call))
      .with({ type: 'wake' }, ({ atMs }) => this.#wake(gang, atMs))
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
    const answered: Promise<CallResult> = link ? link.operate(request) : Promise.resolve({ status: 'unknown' })
    answered.then((result) => this.handle(gang, { type: 'reply', index, operation, result })).catch((err: Error) => {
      // A violated rule inside the gang was reported by `invariant`; its leases end by themselves.
      this.#remove(gang)
      throw err
    })
  }

  #wake (gang: Gang, atMs: number): void {
    this.#wakes.get(gang)?.()
    // System timers may fire a millisecond early, and the gang asks only once for the same time.
    const delayMs = Math.ceil(atMs - this.#timers.now())
    this.#wakes.set(gang, this.#timers.subscribe(delayMs, () => {
      if (this.#timers.now() < atMs) this.#wake(gang, atMs)
      else this.handle(gang, { type: 'timer' })
    }))
  }

  #remove (gang: Gang): void {
    this.#wakes.get(gang)?.()
    this.#wakes.delete(gang)
    const { jobId, assignments } = gang.spec
    if (this.#gangs.get(jobId) === gang) this.#gangs.delete(jobId)
    for (const { taskId } of assignments) this.#members.delete(taskId)
  }
}
