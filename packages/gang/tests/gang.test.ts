import { asId } from '@ibisstair/common'
import type { JobRequest } from '@ibisstair/model'
import t from 'tap'
import { Gang, type CallResult, type EndpointOperation, type GangEffect, type GangSpec, type TaskView } from '../src/index.ts'

const request = (tasks: number, idempotent: boolean): JobRequest => ({
  key: asId('k'),
  customer: asId('c'),
  caller: asId('u'),
  kind: asId('kind'),
  urgency: 'normal',
  shape: { tasks, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'any' },
  deadlineMs: 60_000,
  expectedRunMs: 1_000,
  idempotent,
  payload: { input: 1 }
})

const toSpec = (tasks: number, idempotent = true): GangSpec => ({
  jobId: asId('job'),
  attempt: 1,
  request: request(tasks, idempotent),
  assignments: Array.from({ length: tasks }, (_, index) => ({ index, taskId: asId(`t${index}`), endpointId: asId(`e${index}`), incarnation: 1 })),
  leaseMs: 8_000,
  reservationMs: 2_000,
  checkpointGraceMs: 2_000,
  callMs: 1_000
})

const running: TaskView = { phase: 'running', everStarted: true }
const neverStarted: TaskView = { phase: 'stopped', everStarted: false }
const stopped: TaskView = { phase: 'stopped', everStarted: true }
const done = (answer: unknown): TaskView => ({ phase: 'done', everStarted: true, answer, runMs: 7 })
const ok = (task?: TaskView): CallResult => ({ status: 'ok', ...(task && { task }) })

const calls = (effects: readonly GangEffect[]): string[] =>
  effects.flatMap((effect) => effect.type === 'call' ? [`${effect.operation}${effect.index}`] : [])
const otherEffects = (effects: readonly GangEffect[]): GangEffect[] =>
  effects.filter(({ type }) => type !== 'call' && type !== 'wake')

const reply = (gang: Gang, index: number, operation: EndpointOperation, result: CallResult, nowMs: number): readonly GangEffect[] =>
  gang.handle({ type: 'reply', index, operation, result }, nowMs)

/** Brings a gang with two members to the given phase. */
const toPhase = (gang: Gang, phase: 'arming' | 'started' | 'running'): void => {
  gang.handle({ type: 'timer' }, 0)
  for (const i of [0, 1]) reply(gang, i, 'reserve', ok(), 1)
  if (phase === 'arming') return
  for (const i of [0, 1]) reply(gang, i, 'arm', ok(), 2)
  if (!gang.spec.request.idempotent) gang.handle({ type: 'recorded', ok: true }, 3)
  if (phase === 'started') return
  for (const i of [0, 1]) reply(gang, i, 'start', ok(running), 4)
}

t.test('a non-idempotent gang reserves, arms, records and starts in this order and returns every answer', async (t) => {
  const gang = Gang.create(toSpec(2, false))
  t.same(calls(gang.handle({ type: 'timer' }, 0)), ['reserve0', 'reserve1'])
  t.same(calls(reply(gang, 1, 'reserve', ok(), 1)), [], 'no arm before all are reserved')
  t.same(calls(reply(gang, 0, 'reserve', ok(), 1)), ['arm0', 'arm1'])
  reply(gang, 0, 'arm', ok(), 2)
  const armed = reply(gang, 1, 'arm', ok(), 2)
  t.same(otherEffects(armed), [{ type: 'record-start' }])
  t.same(calls(armed), [], 'no start before the record')
  t.same(calls(gang.handle({ type: 'recorded', ok: true }, 3)), ['start0', 'start1'])
  reply(gang, 0, 'start', ok(running), 4)
  t.same(otherEffects(reply(gang, 1, 'start', ok(running), 4)), [{ type: 'started' }])
  gang.handle({ type: 'task', index: 1, task: done('b') }, 10)
  const finished = gang.handle({ type: 'task', index: 0, task: done('a') }, 11)
  t.same(otherEffects(finished), [{ type: 'finished', result: { state: 'done', answers: [{ index: 0, body: 'a' }, { index: 1, body: 'b' }], runMs: 7 } }])
  t.same(calls(finished), [], 'no acknowledgement before the result is delivered')
  t.same(calls(gang.handle({ type: 'delivered' }, 12)), ['ack0', 'ack1'])
  for (const i of [0, 1]) reply(gang, i, 'ack', ok(), 13)
  t.ok(gang.isClosed)
})

t.test('a single idempotent task takes one round trip', async (t) => {
  const gang = Gang.create(toSpec(1))
  t.same(calls(gang.handle({ type: 'timer' }, 0)), ['run0'])
  t.same(otherEffects(reply(gang, 0, 'run', ok(running), 1)), [{ type: 'started' }])
})

t.test('a refused reservation stops all members and the job is not started', async (t) => {
  const gang = Gang.create(toSpec(2))
  gang.handle({ type: 'timer' }, 0)
  reply(gang, 0, 'reserve', ok(), 1)
  t.same(calls(reply(gang, 1, 'reserve', { status: 'refused', reason: 'no-capacity' }, 1)), ['stop0', 'stop1'])
  reply(gang, 0, 'stop', ok(neverStarted), 2)
  t.same(otherEffects(reply(gang, 1, 'stop', ok(neverStarted), 2)), [{ type: 'not-started', refusedBy: ['e1'] }])
  t.ok(gang.isClosed)
})

t.test('an unanswered start is retried, and a refused one stops the members that started', async (t) => {
  const gang = Gang.create(toSpec(2, false))
  toPhase(gang, 'started')
  reply(gang, 0, 'start', ok(running), 4)
  reply(gang, 1, 'start', { status: 'unknown' }, 1_003)
  t.same(calls(gang.handle({ type: 'timer' }, 1_253)), ['start1'])
  t.same(calls(reply(gang, 1, 'start', { status: 'refused', reason: 'ended' }, 1_260)), ['stop0', 'stop1'])
  reply(gang, 0, 'stop', ok(stopped), 1_261)
  const effects = otherEffects(reply(gang, 1, 'stop', ok(neverStarted), 1_261))
  t.match(effects, [{ type: 'finished', result: { state: 'unknown', lostEndpoints: ['e1'] } }], 'one member ran, so the outcome is not "not run"')
})

t.test('after a start was sent, "not run" is reported only when every member confirms it', async (t) => {
  const gang = Gang.create(toSpec(2, false))
  toPhase(gang, 'started')
  reply(gang, 0, 'start', { status: 'refused', reason: 'ended' }, 5)
  reply(gang, 0, 'stop', ok(neverStarted), 6)
  t.same(otherEffects(reply(gang, 1, 'stop', { status: 'unknown' }, 1_005)), [], 'member 1 has not confirmed')
  t.same(otherEffects(reply(gang, 1, 'stop', ok(neverStarted), 1_500)), [{ type: 'not-started', refusedBy: ['e0'] }])
})

t.test('an unreachable member makes non-idempotent work unknown and idempotent work lost', async (t) => {
  for (const idempotent of [true, false]) {
    const gang = Gang.create(toSpec(2, idempotent))
    toPhase(gang, 'running')
    t.same(calls(gang.handle({ type: 'endpoint-lost', endpointId: asId('e1') }, 100)), ['stop0', 'stop1'])
    reply(gang, 0, 'stop', ok(stopped), 101)
    const effects = otherEffects(reply(gang, 1, 'stop', { status: 'unknown' }, 1_100))
    t.match(effects, [{ type: 'finished', result: { state: idempotent ? 'lost' : 'unknown', lostEndpoints: ['e1'] } }])
  }
})
