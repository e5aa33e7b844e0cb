import { asId, type TaskId } from '@ibisstair/common'
import fc from 'fast-check'
import t from 'tap'
import { TaskTable, type TaskGrant, type TaskRequest } from '../src/index.ts'

const SEEDS = [11, 12, 13]
const RUNS = 400
const LEASE_MS = 800
const RESERVATION_MS = 200

const grant = (slots: number, accelerators: number, idempotent: boolean): TaskGrant => ({
  jobId: asId('job'),
  attempt: 1,
  index: 0,
  reservationMs: RESERVATION_MS,
  leaseMs: LEASE_MS,
  request: {
    key: asId('k'),
    customer: asId('c'),
    caller: asId('u'),
    kind: asId('kind'),
    urgency: 'normal',
    shape: { tasks: 1, acceleratorsPerTask: accelerators, slotsPerTask: slots, adjacency: 'any' },
    deadlineMs: 1,
    expectedRunMs: 1,
    idempotent
  }
})

const command = fc.record({
  operation: fc.constantFrom('reserve', 'arm', 'start', 'run', 'stop', 'ack', 'query', 'renew', 'complete', 'fail'),
  task: fc.integer({ min: 0, max: 7 }),
  incarnation: fc.integer({ min: 0, max: 9 }).map((n) => n === 0 ? 1 : 2),
  waitMs: fc.oneof({ weight: 5, arbitrary: fc.integer({ min: 0, max: 50 }) }, { weight: 1, arbitrary: fc.integer({ min: 0, max: 2_000 }) }),
  slots: fc.integer({ min: 0, max: 3 }),
  accelerators: fc.integer({ min: 0, max: 3 })
})

type Command = typeof command extends fc.Arbitrary<infer C> ? C : never

/** Applies the commands to a table and to a simple model of it; returns the first contradiction between them. */
const check = (commands: readonly Command[]): string | undefined => {
  const table = new TaskTable({ endpointId: asId('e'), incarnation: 2, slots: 4, accelerators: 4, maxUnacknowledged: 12 })
  const starts = new Map<string, number>()
  const running = new Map<string, { untilMs: number, accelerators: readonly number[] }>()
  const fenced = new Set<string>()
  let now = 0
  for (const { operation, task, incarnation, waitMs, slots, accelerators } of commands) {
    now += waitMs
    const taskId = asId<TaskId>(`t${task}`)
    const base = { taskId, incarnation }
    const wasRunning = running.get(taskId)
    let effects
    if (operation === 'renew') {
      effects = table.renew([{ ...base, termMs: LEASE_MS }], now).effects
      if (wasRunning && wasRunning.untilMs > now && incarnation === 2) wasRunning.untilMs = now + LEASE_MS
    } else if (operation === 'complete' || operation === 'fail') {
      effects = table.complete(taskId, operation === 'complete' ? { state: 'done', answer: task } : { state: 'failed', error: 'x' }, now)
      running.delete(taskId)
    } else {
      const request = { ...base, operation, grant: grant(slots, accelerators, task % 2 === 0), payload: task } as TaskRequest
      const response = table.handle(request, now)
      effects = response.effects
      const { result } = response
      if (incarnation === 1 && result.status === 'ok') return `${operation} of another incarnation accepted`
      if (operation === 'stop' && result.status === 'ok') {
        fenced.add(taskId)
        if (result.task?.everStarted !== starts.has(taskId)) return `stop of ${taskId} says everStarted ${result.task?.everStarted}`
      }
    }
    for (const effect of effects) {
      if (effect.type === 'kill') running.delete(effect.taskId)
      if (effect.type !== 'execute') continue
      if (fenced.has(effect.taskId)) return `${effect.taskId} started after a stop`
      if (starts.has(effect.taskId)) return `${effect.taskId} started twice`
      starts.set(effect.taskId, now)
      running.set(effect.taskId, { untilMs: now + LEASE_MS, accelerators: effect.accelerators })
    }
    const owned = [...running.values()].flatMap((r) => r.accelerators)
    if (new Set(owned).size !== owned.length) return 'an accelerator is assigned to two tasks'
    for (const [name, { untilMs }] of running) {
      if (untilMs <= now) return `${name} runs past its lease`
    }
  }
  table.advance(now + 10 * LEASE_MS)
  const { freeSlots, freeAccelerators, live } = table.getStats()
  return freeSlots === 4 && freeAccelerators === 4 && live === 0 ? undefined : 'capacity is not released'
}

// Guards against lost capacity, tasks that outlive their lease, and tasks that start twice or after a stop,
// whatever the order of messages.
for (const seed of SEEDS) {
  t.test(`a task table keeps its guarantees under any order of messages (seed ${seed}, ${RUNS} runs)`, async (t) => {
    let lastContradiction: string | undefined
    const details = fc.check(fc.property(fc.array(command, { maxLength: 120, size: 'max' }), (commands) => {
      const contradiction = check(commands)
      if (contradiction) lastContradiction = contradiction
      return contradiction === undefined
    }), { seed, numRuns: RUNS })
    t.notOk(details.failed, `${lastContradiction}: ${JSON.stringify(details.counterexample)}`)
  })
}
