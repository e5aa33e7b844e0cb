import { asId } from '@ibisstair/common'
import type { TaskTableProtection } from '@ibisstair/endpoint-tasks'
import type { JobRequest, TaskAnswer } from '@ibisstair/model'
import { ManualTimerService, RandomSource } from '@ibisstair/timers'
import type { GangEffect, GangProtection, GangSpec } from '../../src/index.ts'
import { FakeEndpoint, MAX_DRIFT_PER_MILLE, type Execution, type Work } from './endpoint.ts'
import { FakeNetwork, type NetworkOptions } from './network.ts'
import { FakeScheduler } from './scheduler.ts'
import type { Job, SchedulerHost, StartRecord } from './types.ts'

export interface JobPlan {
  readonly atMs: number
  readonly tasks: number
  readonly idempotent: boolean
  readonly work: Work
}

export type Fault =
  /** `deposedAfterMs`: when the previous leader learns of its successor, if it lives. */
  | { readonly type: 'kill-leader', readonly atStep: number, readonly electionMs: number }
  | { readonly type: 'freeze-leader', readonly atStep: number, readonly freezeMs: number, readonly electionMs: number, readonly deposedAfterMs: number }
  | { readonly type: 'second-leader', readonly atStep: number, readonly electionMs: number, readonly deposedAfterMs: number }
  | { readonly type: 'kill-leader-at', readonly atMs: number, readonly electionMs: number }
  | { readonly type: 'kill-endpoint', readonly atMs: number, readonly endpoint: number, readonly downMs: number }
  | { readonly type: 'hang-endpoint', readonly atMs: number, readonly endpoint: number, readonly hangMs: number }
  | { readonly type: 'cut', readonly atMs: number, readonly endpoint: number, readonly cutMs: number }
  | { readonly type: 'cancel' | 'preempt' | 'throttle', readonly atMs: number, readonly job: number }

export interface Scenario {
  readonly seed: number
  readonly endpoints: number
  readonly slots: number
  readonly leaseMs: number
  readonly renewMs?: number
  /** Whether the clocks of the endpoints run at different rates. */
  readonly drifts?: boolean
  readonly network: NetworkOptions
  readonly jobs: readonly JobPlan[]
  readonly faults: readonly Fault[]
}

export interface TestOverrides {
  readonly gang?: Partial<Record<GangProtection, boolean>>
  readonly table?: Partial<Record<TaskTableProtection, boolean>>
  /** Makes the record group accept proposals of a deposed leader. */
  readonly noTerms?: boolean
}

/** The domain group's record of non-idempotent starts. Accepts proposals of the newest term only. */
class FakeRegister {
  readonly #records = new Map<string, StartRecord>()
  readonly #timers: ManualTimerService
  readonly #random: RandomSource
  readonly #noTerms: boolean
  term = 0

  constructor (timers: ManualTimerService, random: RandomSource, noTerms: boolean) {
    this.#timers = timers
    this.#random = random
    this.#noTerms = noTerms
  }

  get (jobId: string): StartRecord | undefined {
    return this.#records.get(jobId)
  }

  record (term: number, jobId: string, spec: GangSpec, done: (ok: boolean) => void): void {
    const delayMs = this.#random.float() < 0.1 ? this.#random.int(1, 3_000) : this.#random.int(1, 10)
    this.#timers.subscribe(delayMs, () => {
      const existing = this.#records.get(jobId)
      const ok = this.#isCurrent(term) && (!existing || existing.outcome === 'not-run')
      if (ok) this.#records.set(jobId, { spec, outcome: undefined })
      const replyRoll = this.#random.float()
      if (replyRoll < 0.03) return
      // A committed record whose answer was lost is reported as a failure.
      this.#timers.subscribe(this.#random.int(1, 10), () => done(ok && replyRoll >= 0.06))
    })
  }

  /** Returns false if the proposer is no longer the leader. */
  resolve (term: number, jobId: string, outcome: string): boolean {
    if (!this.#isCurrent(term)) return false
    const existing = this.#records.get(jobId)
    if (existing) existing.outcome = outcome
    return true
  }

  #isCurrent (term: number): boolean {
    return term === this.term || this.#noTerms
  }
}

interface Report {
  readonly spec: GangSpec
  readonly effect: GangEffect
}

const END_MS = 120_000
const RENEW_MS = 1_000

/** Simulates gangs and task tables with faults on virtual time; `run` returns the violated guarantees. */
export class World implements SchedulerHost {
  readonly timers = new ManualTimerService()
  readonly random: RandomSource
  readonly network: FakeNetwork
  readonly register: FakeRegister
  readonly endpoints: readonly FakeEndpoint[]
  readonly jobs: readonly Job[]
  readonly executions: Execution[] = []
  readonly reports: Report[] = []
  readonly findings: string[] = []
  readonly #specs = new Map<string, GangSpec>()
  readonly leaseMs: number
  readonly renewMs: number
  readonly gangTestOverrides: Partial<Record<GangProtection, boolean>>
  readonly #scenario: Scenario
  readonly #schedulers: FakeScheduler[] = []
  #leader: FakeScheduler
  #steps = 0
  #isElecting = false

  constructor (scenario: Scenario, testOverrides: TestOverrides = {}) {
    this.#scenario = scenario
    this.leaseMs = scenario.leaseMs
    this.renewMs = scenario.renewMs ?? RENEW_MS
    this.gangTestOverrides = testOverrides.gang ?? {}
    this.random = new RandomSource(scenario.seed)
    this.network = new FakeNetwork(scenario.network, this.timers, this.random)
    this.register = new FakeRegister(this.timers, this.random, testOverrides.noTerms ?? false)
    this.endpoints = Array.from({ length: scenario.endpoints }, (_, i) =>
      new FakeEndpoint(`e${i}`, scenario.slots, this.executions, this.timers, this.random, scenario.drifts ?? false, testOverrides.table ?? {}, (taskId) => this.#checkArmed(taskId)))
    this.jobs = scenario.jobs.map((plan, i) => ({ id: `j${i}`, request: World.#toRequest(plan, i), isSubmitted: false, outcome: undefined }))
    this.#leader = this.#elect()
  }

  static #toRequest (plan: JobPlan, i: number): JobRequest {
    return {
      key: asId(`k${i}`),
      customer: asId('customer'),
      caller: asId('caller'),
      kind: asId('kind'),
      urgency: 'normal',
      shape: { tasks: plan.tasks, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'any' },
      deadlineMs: 60_000,
      expectedRunMs: 1_000,
      idempotent: plan.idempotent,
      payload: plan.work
    }
  }

  getEndpoint (id: string): FakeEndpoint {
    return this.endpoints.find((endpoint) => endpoint.id === id)!
  }

  complete (job: Job, outcome: string): void {
    job.outcome ??= outcome
  }

  onOpened (spec: GangSpec): void {
    const { taskId } = spec.assignments[0]!
    const prefix = taskId.slice(0, taskId.lastIndexOf('.'))
    if (!this.#specs.has(prefix)) this.#specs.set(prefix, spec)
  }

  /** Checks, when a task starts, that every member of its gang has been armed. */
  #checkArmed (taskId: string): void {
    const spec = this.#specs.get(taskId.slice(0, taskId.lastIndexOf('.')))
    if (!spec || spec.assignments.length === 1) return
    for (const member of spec.assignments) {
      const endpoint = this.getEndpoint(member.endpointId)
      if (!endpoint.isUp || endpoint.incarnation !== member.incarnation) continue
      const { phase } = endpoint.table.getView(member.taskId)
      if (phase === 'absent' || phase === 'reserved') this.findings.push(`armed: ${taskId} starts while ${member.taskId} is ${phase}`)
    }
  }

  onReported (spec: GangSpec, effects: readonly GangEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'finished' || effect.type === 'not-started') this.reports.push({ spec, effect })
    }
  }

  /** Counts the effects of leaders, so that a fault can be injected after any of them. */
  onStep (schedulerId: number): void {
    if (schedulerId !== this.#leader.id || this.#isElecting) return
    this.#steps += 1
    for (const fault of this.#scenario.faults) {
      if ('atStep' in fault && fault.atStep === this.#steps) this.#injectLeaderFault(fault)
    }
  }

  run (): string[] {
    this.#scenario.jobs.forEach((plan, i) => {
      this.timers.subscribe(plan.atMs, () => {
        this.jobs[i]!.isSubmitted = true
        if (!this.#isElecting) this.#leader.submit(this.jobs[i]!)
      })
    })
    for (const fault of this.#scenario.faults) {
      if ('atMs' in fault) this.timers.subscribe(fault.atMs, () => this.#injectFault(fault))
    }
    this.timers.subscribe(45_000, () => this.#endFaults())
    this.timers.advance(END_MS)
    return this.#check()
  }

  #elect (): FakeScheduler {
    this.register.term += 1
    const scheduler = new FakeScheduler(this.#schedulers.length, this.register.term, this)
    this.#schedulers.push(scheduler)
    return scheduler
  }

  #replaceLeader (electionMs: number, deposedAfterMs: number): void {
    const previous = this.#leader
    this.#isElecting = true
    this.timers.subscribe(electionMs, () => {
      this.#leader = this.#elect()
      this.#isElecting = false
      this.#leader.takeOver()
    })
    this.timers.subscribe(electionMs + deposedAfterMs, () => previous.depose())
  }

  #injectLeaderFault (fault: Fault & { atStep: number }): void {
    switch (fault.type) {
      case 'kill-leader':
        this.#leader.kill()
        this.#replaceLeader(fault.electionMs, 0)
        return
      case 'freeze-leader':
        this.#leader.frozenUntilMs = this.timers.now() + fault.freezeMs
        this.#replaceLeader(fault.electionMs, fault.deposedAfterMs)
        return
      case 'second-leader':
        this.#replaceLeader(fault.electionMs, fault.deposedAfterMs)
        break
      default:
    }
  }

  #injectFault (fault: Fault & { atMs: number }): void {
    switch (fault.type) {
      case 'kill-leader-at':
        this.#leader.kill()
        this.#replaceLeader(fault.electionMs, 0)
        return
      case 'kill-endpoint': {
        const endpoint = this.endpoints[fault.endpoint % this.endpoints.length]!
        endpoint.kill()
        this.timers.subscribe(fault.downMs, () => endpoint.restart())
        return
      }
      case 'hang-endpoint':
        this.endpoints[fault.endpoint % this.endpoints.length]!.hungUntilMs = this.timers.now() + fault.hangMs
        return
      case 'cut':
        this.network.cut(this.#leader.id, this.endpoints[fault.endpoint % this.endpoints.length]!, fault.cutMs)
        return
      case 'throttle':
        this.#leader.command(`j${fault.job}`, { type: 'throttle', fraction: 0.5 })
        return
      case 'cancel':
      case 'preempt':
        this.#leader.command(`j${fault.job}`, { type: fault.type })
        break
      default:
    }
  }

  #endFaults (): void {
    this.network.areFaultsOff = true
    for (const endpoint of this.endpoints) endpoint.restart()
  }

  #check (): string[] {
    return [
      ...new Set(this.findings),
      ...this.#checkNoPartialRun(),
      ...this.#checkResults(),
      ...this.#checkNotRun(),
      ...this.#checkAtMostOnce(),
      ...this.#checkAllEnded()
    ]
  }

  /** Checks that no gang runs partially for longer than a lease plus the delays of the messages before and after it. */
  #checkNoPartialRun (): string[] {
    const gangs = new Map<string, Execution[]>()
    for (const execution of this.executions) {
      const gang = execution.taskId.slice(0, execution.taskId.lastIndexOf('.'))
      gangs.set(gang, [...gangs.get(gang) ?? [], execution])
    }
    const drift = this.#scenario.drifts ? 2 * MAX_DRIFT_PER_MILLE / 1_000 : 0
    const boundMs = this.leaseMs * (1 + drift) + 2 * this.network.worstDelayMs + 10
    return [...gangs].flatMap(([gang, executions]) => {
      const tasks = this.jobs.find(({ id }) => id === executions[0]!.jobId)!.request.shape.tasks
      if (tasks === 1) return []
      const isIncomplete = new Set(executions.map(({ index }) => index)).size < tasks
      const breakTimesMs = executions.flatMap(({ endState, endMs }) => endState === 'done' ? [] : [endMs ?? Infinity])
      if (isIncomplete) breakTimesMs.push(Math.min(...executions.map(({ startMs }) => startMs)))
      const brokenMs = Math.min(...breakTimesMs)
      if (brokenMs === Infinity) return []
      const lastEndMs = Math.max(...executions.map(({ endMs }) => endMs ?? Infinity))
      return lastEndMs - brokenMs > boundMs ? [`partial: ${gang} ran on for ${lastEndMs - brokenMs} ms, the bound is ${boundMs} ms`] : []
    })
  }

  #checkResults (): string[] {
    return this.reports.flatMap(({ spec, effect }) => {
      if (effect.type !== 'finished' || effect.result.state !== 'done') return []
      const { answers } = effect.result
      const expected = spec.assignments.map(({ index }) => `${spec.jobId}/${index}`).sort()
      const got = answers.map(({ body }: TaskAnswer) => (body as { from: string }).from).sort()
      const isWhole = answers.length === spec.request.shape.tasks && expected.every((name, i) => name === got[i])
      return isWhole ? [] : [`result: ${spec.jobId} got ${got.join(',')}`]
    })
  }

  #checkNotRun (): string[] {
    return this.reports.flatMap(({ spec, effect }) => {
      const claimsNotRun = effect.type === 'not-started' ||
        (effect.type === 'finished' && effect.result.state === 'cancelled' && !effect.result.everStarted)
      if (!claimsNotRun) return []
      const taskIds = new Set<string>(spec.assignments.map(({ taskId }) => taskId))
      const ran = this.executions.filter(({ taskId }) => taskIds.has(taskId))
      return ran.length > 0 ? [`not-run is untrue: ${ran.map(({ taskId }) => taskId).join(',')} started`] : []
    })
  }

  #checkAtMostOnce (): string[] {
    return this.jobs.flatMap(({ id, request }) => {
      if (request.idempotent) return []
      const starts = new Map<number, number>()
      for (const { jobId, index } of this.executions) {
        if (jobId === id) starts.set(index, (starts.get(index) ?? 0) + 1)
      }
      const maxStarts = Math.max(0, ...starts.values())
      return maxStarts > 1 ? [`at most once: ${id} started ${maxStarts} times`] : []
    })
  }

  #checkAllEnded (): string[] {
    const open = this.jobs.filter(({ outcome }) => outcome === undefined).map(({ id }) => `no end: ${id}`)
    const gangs = this.#schedulers.filter(({ isOpen }) => isOpen).flatMap((scheduler) => [...scheduler.entries.values()]
      .filter(({ gang }) => !gang.isClosed)
      .map(({ spec, gang }) => `gang not closed: ${spec.jobId} attempt ${spec.attempt} of scheduler ${scheduler.id} is ${gang.phase}`))
    const held = this.endpoints.flatMap(({ id, table, slots }) => {
      const { freeSlots, freeAccelerators } = table.getStats()
      return freeSlots === slots && freeAccelerators === slots ? [] : [`capacity: ${id} has ${freeSlots} of ${slots} slots free`]
    })
    return [...open, ...gangs, ...held]
  }
}
