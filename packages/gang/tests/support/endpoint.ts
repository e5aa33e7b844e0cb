import { asId, type EndpointId, type TaskId } from '@ibisstair/common'
import { TaskTable, type TaskEffect, type TaskGrant, type TaskTableProtection } from '@ibisstair/endpoint-tasks'
import type { ManualTimerService, RandomSource, Unsubscribe } from '@ibisstair/timers'

export const MAX_DRIFT_PER_MILLE = 5

/** One execution of a task, as the fake endpoint records it. */
export interface Execution {
  readonly jobId: string
  readonly attempt: number
  readonly index: number
  readonly taskId: TaskId
  readonly startMs: number
  endMs: number | undefined
  endState: 'done' | 'failed' | 'stopped' | 'killed' | undefined
}

/** The payload of a task, which tells the executor how to behave. */
export interface Work {
  readonly runMs: number
  readonly fails: boolean
  readonly ignoresCheckpoint: boolean
  readonly answerBytes: number
}

export const toAnswer = (grant: TaskGrant, work: Work): unknown =>
  ({ from: `${grant.jobId}/${grant.index}`, fill: 'x'.repeat(work.answerBytes) })

/** Executes the effects of a TaskTable on virtual time and records every execution. */
export class FakeEndpoint {
  readonly id: EndpointId
  readonly slots: number
  table: TaskTable
  isUp = true
  hungUntilMs = 0
  readonly #onExecute: (taskId: TaskId) => void
  readonly executions: Execution[]
  readonly #timers: ManualTimerService
  readonly #random: RandomSource
  readonly #clockOffsetMs: number
  /** Speed of this clock relative to virtual time; the clocks of machines differ by less than one percent. */
  readonly #clockRate: number
  readonly #testOverrides: Partial<Record<TaskTableProtection, boolean>>
  readonly #running = new Map<TaskId, { execution: Execution, cancel: Unsubscribe, work: Work }>()
  #incarnation = 1
  #deadline: Unsubscribe = () => {}

  constructor (name: string, slots: number, executions: Execution[], timers: ManualTimerService, random: RandomSource, drifts: boolean, testOverrides: Partial<Record<TaskTableProtection, boolean>>, onExecute: (taskId: TaskId) => void) {
    this.id = asId(name)
    this.slots = slots
    this.executions = executions
    this.#onExecute = onExecute
    this.#timers = timers
    this.#random = random
    this.#clockOffsetMs = random.int(0, 1_000_000)
    this.#clockRate = drifts ? 1 + random.int(-MAX_DRIFT_PER_MILLE, MAX_DRIFT_PER_MILLE) / 1_000 : 1
    this.#testOverrides = testOverrides
    this.table = this.#createTable()
  }

  get incarnation (): number {
    return this.#incarnation
  }

  /** The endpoint's own clock. */
  now (): number {
    return this.#timers.now() * this.#clockRate + this.#clockOffsetMs
  }

  kill (): void {
    this.isUp = false
    this.#deadline()
    for (const taskId of [...this.#running.keys()]) this.#stopExecution(taskId, 'killed')
  }

  restart (): void {
    if (this.isUp) return
    this.#incarnation += 1
    this.table = this.#createTable()
    this.isUp = true
  }

  apply (effects: readonly TaskEffect[]): void {
    for (const effect of effects) {
      switch (effect.type) {
        case 'execute':
          this.#execute(effect.taskId, effect.grant, effect.payload as Work)
          break
        case 'kill':
          this.#stopExecution(effect.taskId, 'stopped')
          break
        case 'checkpoint': {
          const running = this.#running.get(effect.taskId)
          if (running && !running.work.ignoresCheckpoint) this.#timers.subscribe(this.#random.int(10, 1_500), () => this.table.markCheckpointed(effect.taskId))
          break
        }
        default:
      }
    }
    this.#scheduleDeadline()
  }

  #createTable (): TaskTable {
    return new TaskTable({
      endpointId: this.id,
      incarnation: this.#incarnation,
      slots: this.slots,
      accelerators: this.slots,
      testOverrides: this.#testOverrides
    })
  }

  #execute (taskId: TaskId, grant: TaskGrant, work: Work): void {
    const execution: Execution = {
      jobId: grant.jobId, attempt: grant.attempt, index: grant.index, taskId, startMs: this.#timers.now(), endMs: undefined, endState: undefined
    }
    this.executions.push(execution)
    this.#onExecute(taskId)
    const runMs = work.runMs + this.#random.int(0, 300)
    const cancel = this.#timers.subscribe(runMs, () => {
      execution.endMs = this.#timers.now()
      execution.endState = work.fails ? 'failed' : 'done'
      this.#running.delete(taskId)
      this.apply(this.table.complete(taskId, work.fails ? { state: 'failed', error: 'boom' } : { state: 'done', answer: toAnswer(grant, work) }, this.now()))
    })
    this.#running.set(taskId, { execution, cancel, work })
  }

  #stopExecution (taskId: TaskId, endState: 'stopped' | 'killed'): void {
    const running = this.#running.get(taskId)
    if (!running) return
    running.cancel()
    running.execution.endMs = this.#timers.now()
    running.execution.endState = endState
    this.#running.delete(taskId)
  }

  #scheduleDeadline (): void {
    this.#deadline()
    const next = this.table.getNextDeadlineMs()
    if (next === undefined) return
    this.#deadline = this.#timers.subscribe(Math.ceil((next - this.now()) / this.#clockRate), () => {
      if (this.isUp) this.apply(this.table.advance(this.now()))
    })
  }
}
