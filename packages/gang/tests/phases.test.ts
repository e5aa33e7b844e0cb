import { asId } from '@ibisstair/common'
import type { JobRequest } from '@ibisstair/model'
import t from 'tap'
import { Gang, type CallResult, type EndpointOperation, type GangEffect, type GangOptions, type GangSpec, type TaskView } from '../src/index.ts'

const PHASES = ['new', 'reserving', 'arming', 'recording', 'starting', 'running', 'checkpointing'] as const
type Phase = typeof PHASES[number]

const running: TaskView = { phase: 'running', everStarted: true }
const neverStarted: TaskView = { phase: 'stopped', everStarted: false }
const stopped: TaskView = { phase: 'stopped', everStarted: true }
const done = (answer: unknown): TaskView => ({ phase: 'done', everStarted: true, answer, runMs: 7 })
const ok = (task?: TaskView): CallResult => ({ status: 'ok', ...(task && { task }) })

const toSpec = (tasks: number, idempotent: boolean): GangSpec => {
  const request: JobRequest = {
    key: asId('k'),
    customer: asId('c'),
    caller: asId('u'),
    kind: asId('kind'),
    urgency: 'normal',
    shape: { tasks, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'any' },
    deadlineMs: 60_000,
    expectedRunMs: 1_000,
    idempotent,
    payload: null
  }
  const assignments = Array.from({ length: tasks }, (_, index) => ({ index, taskId: asId<GangSpec['assignments'][number]['taskId']>(`t${index}`), endpointId: asId<GangSpec['assignments'][number]['endpointId']>(`e${index}`), incarnation: 1 }))
  return { jobId: asId('job'), attempt: 1, request, assignments, leaseMs: 8_000, reservationMs: 2_000, checkpointGraceMs: 2_000, callMs: 1_000 }
}

const calls = (effects: readonly GangEffect[]): string[] =>
  effects.flatMap((effect) => effect.type === 'call' ? [`${effect.operation}${effect.index}`] : [])
const resultEffects = (effects: readonly GangEffect[]): GangEffect[] =>
  effects.filter(({ type }) => type === 'finished' || type === 'not-started')
const reply = (gang: Gang, index: number, operation: EndpointOperation, result: CallResult, nowMs: number): readonly GangEffect[] =>
  gang.handle({ type: 'reply', index, operation, result }, nowMs)

const toPhase = (phase: Phase, idempotent = false): Gang => {
  const gang = Gang.create(toSpec(2, idempotent))
  const steps: Array<[Phase, () => unknown]> = [
    ['reserving', () => gang.handle({ type: 'timer' }, 0)],
    ['arming', () => [0, 1].forEach((i) => reply(gang, i, 'reserve', ok(), 1))],
    ['recording', () => [0, 1].forEach((i) => reply(gang, i, 'arm', ok(), 2))],
    ['starting', () => gang.handle({ type: 'recorded', ok: true }, 3)],
    ['running', () => [0, 1].forEach((i) => reply(gang, i, 'start', ok(running), 4))],
    ['checkpointing', () => gang.handle({ type: 'preempt' }, 5)]
  ]
  for (const [name, step] of steps.slice(0, PHASES.indexOf(phase))) {
    step()
    if (name === phase) break
  }
  return gang
}

const hasStarted = (phase: Phase): boolean => phase === 'running' || phase === 'checkpointing'

// Guards against a cancellation that leaves members running or reports "not run" for work that ran.
t.test('a cancellation in any phase stops all members and reports correctly whether the work started', async (t) => {
  for (const phase of PHASES) {
    const gang = toPhase(phase)
    t.equal(gang.phase, phase)
    const first = gang.handle({ type: 'cancel' }, 10)
    if (phase === 'new') {
      t.match(resultEffects(first), [{ result: { state: 'cancelled', everStarted: false } }], phase)
      t.same(calls(first), [], 'nothing was sent')
      continue
    }
    t.same(calls(first), ['stop0', 'stop1'], phase)
    t.same(resultEffects(first), [], `${phase}: not before the members confirm`)
    const view = hasStarted(phase) ? stopped : neverStarted
    reply(gang, 0, 'stop', ok(view), 11)
    t.match(resultEffects(reply(gang, 1, 'stop', ok(view), 12)), [{ result: { state: 'cancelled', everStarted: hasStarted(phase) } }], phase)
    t.same(resultEffects(gang.handle({ type: 'cancel' }, 13)), [], 'one result only')
  }
})

// Guards against a deposed leader that still starts or stops tasks or renews their leases.
t.test('a deposed leader makes no call in any phase', async (t) => {
  for (const phase of PHASES) {
    const gang = toPhase(phase)
    const effects = gang.handle({ type: 'deposed' }, 10)
    t.same(effects, [{ type: 'finished', result: { state: 'deposed' } }], phase)
    t.same(gang.getRenewals(11), [], 'no renewal')
    const later = [
      ...gang.handle({ type: 'timer' }, 20_000),
      ...gang.handle({ type: 'recorded', ok: true }, 20_000),
      ...reply(gang, 0, 'start', ok(running), 20_000),
      ...gang.handle({ type: 'cancel' }, 20_000)
    ]
    t.same(later, [], phase)
  }
})

// Guards the time limit for reclaiming a guaranteed shape: the grace period plus the timeout of one stop call.
t.test('a preempted gang is stopped after the grace period even if its members ignore the checkpoint', async (t) => {
  const gang = toPhase('running')
  const effects = gang.handle({ type: 'preempt' }, 10)
  t.same(calls(effects), ['checkpoint0', 'checkpoint1'])
  t.same(gang.getRenewals(20).length, 2, 'leases are renewed during the grace period')
  t.same(calls(gang.handle({ type: 'timer' }, 2_009)).filter((call) => call.startsWith('stop')), [])
  t.same(calls(gang.handle({ type: 'timer' }, 2_010)), ['stop0', 'stop1'])
  reply(gang, 0, 'stop', ok(stopped), 2_011)
  t.match(resultEffects(reply(gang, 1, 'stop', { status: 'unknown' }, 3_010)), [{ result: { state: 'preempted' } }], 'one unanswered stop call is enough')
  t.same(calls(gang.handle({ type: 'timer' }, 3_260)), ['stop1'], 'the stop of the silent member is retried')
})

t.test('a preempted gang is stopped as soon as every member has completed its checkpoint', async (t) => {
  const gang = toPhase('checkpointing')
  reply(gang, 0, 'checkpoint', ok({ ...running, checkpointed: true }), 100)
  t.same(calls(gang.handle({ type: 'task', index: 1, task: { ...running, checkpointed: true } }, 200)), ['stop0', 'stop1'])
})

t.test('a gang that is preempted before it starts is not started', async (t) => {
  for (const phase of ['reserving', 'arming', 'recording', 'starting'] as const) {
    const gang = toPhase(phase)
    gang.handle({ type: 'preempt' }, 10)
    reply(gang, 0, 'stop', ok(neverStarted), 11)
    t.match(resultEffects(reply(gang, 1, 'stop', ok(neverStarted), 12)), [{ type: 'not-started' }], phase)
  }
})

t.test('work that finishes while it is stopped is delivered as done', async (t) => {
  const gang = toPhase('checkpointing')
  gang.handle({ type: 'timer' }, 2_010)
  reply(gang, 0, 'stop', ok(done('a')), 2_011)
  t.match(resultEffects(reply(gang, 1, 'stop', ok(done('b')), 2_012)), [{ result: { state: 'done', answers: [{ body: 'a' }, { body: 'b' }] } }])
})

t.test('a throttle is sent to running members; one that arrives before the start is sent after it', async (t) => {
  const gang = toPhase('running')
  t.match(gang.handle({ type: 'throttle', fraction: 0.5 }, 10), [{ operation: 'throttle', fraction: 0.5 }, { operation: 'throttle', fraction: 0.5 }])
  const early = toPhase('starting')
  t.same(calls(early.handle({ type: 'throttle', fraction: 0.25 }, 4)), [])
  reply(early, 0, 'start', ok(running), 5)
  t.same(calls(reply(early, 1, 'start', ok(running), 5)), ['throttle0', 'throttle1'])
})

// Guards against a start record that commits after reservations have expired: some members would start and others refuse.
t.test('a start record that commits too late causes no start', async (t) => {
  const gang = toPhase('recording')
  const effects = gang.handle({ type: 'recorded', ok: true }, 1_600)
  t.same(calls(effects), ['stop0', 'stop1'])
  reply(gang, 0, 'stop', ok(neverStarted), 1_601)
  t.match(resultEffects(reply(gang, 1, 'stop', ok(neverStarted), 1_601)), [{ type: 'not-started' }])
})

// Guards against stopping a complete gang because one start answer was lost.
t.test('a start whose answer is lost is retried; without the retry the same gang is stopped', async (t) => {
  const startWithLostAnswer = (options: GangOptions): Gang => {
    const gang = Gang.create(toSpec(2, false), options)
    gang.handle({ type: 'timer' }, 0)
    for (const i of [0, 1]) reply(gang, i, 'reserve', ok(), 1)
    for (const i of [0, 1]) reply(gang, i, 'arm', ok(), 2)
    gang.handle({ type: 'recorded', ok: true }, 3)
    reply(gang, 0, 'start', ok(running), 4)
    reply(gang, 1, 'start', { status: 'unknown' }, 1_003)
    gang.handle({ type: 'timer' }, 1_253)
    reply(gang, 1, 'start', ok(running), 1_260)
    return gang
  }
  t.equal(startWithLostAnswer({}).phase, 'running')
  t.equal(startWithLostAnswer({ testOverrides: { noStartRetry: true } }).phase, 'stopping')
})

t.test('a repeated start carries the remaining time of the first lease', async (t) => {
  const gang = toPhase('starting')
  reply(gang, 0, 'start', ok(running), 4)
  reply(gang, 1, 'start', { status: 'unknown' }, 1_003)
  t.match(gang.handle({ type: 'timer' }, 1_253), [{ operation: 'start', index: 1, leaseMs: 6_750 }])
})

t.test('the reason for a refused start record is returned to the caller', async (t) => {
  const gang = toPhase('recording')
  const error = { kind: 'no-quorum', detail: 'x', execution: 'not-run', resendSafe: true, advice: 'y' } as const
  gang.handle({ type: 'recorded', ok: false, error }, 10)
  reply(gang, 0, 'stop', ok(neverStarted), 11)
  t.match(resultEffects(reply(gang, 1, 'stop', ok(neverStarted), 11)), [{ type: 'not-started', error: { kind: 'no-quorum' } }])
})

t.test('an answer above the size limit fails its task, and the other members are stopped', async (t) => {
  const gang = toPhase('running')
  t.same(calls(gang.handle({ type: 'task', index: 0, task: done('x'.repeat(65_537)) }, 10)), ['stop1'])
  t.match(resultEffects(reply(gang, 1, 'stop', ok(stopped), 11)), [{ result: { state: 'failed', failedBy: ['e0'], error: { kind: 'answer-too-large', execution: 'ran' } } }])
})

t.test('answers whose total size is above the limit fail the job', async (t) => {
  const gang = Gang.adopt(toSpec(40, true), Array.from({ length: 40 }, () => running))
  gang.handle({ type: 'timer' }, 0)
  const effects = Array.from({ length: 40 }, (_, index) => gang.handle({ type: 'task', index, task: done('x'.repeat(60_000)) }, 1)).flat()
  t.match(resultEffects(effects), [{ result: { state: 'failed', error: { kind: 'answer-too-large' } } }])
})

t.test('late, duplicated and reordered answers change nothing', async (t) => {
  const gang = toPhase('starting')
  reply(gang, 0, 'start', ok(running), 4)
  t.same(calls(reply(gang, 0, 'reserve', { status: 'refused', reason: 'no-capacity' }, 5)), [], 'a duplicated reserve answer')
  t.same(calls(reply(gang, 0, 'arm', { status: 'unknown' }, 5)), [], 'a late timeout')
  gang.handle({ type: 'task', index: 1, task: done('b') }, 6)
  reply(gang, 1, 'start', ok(running), 7)
  gang.handle({ type: 'task', index: 1, task: running }, 8)
  gang.handle({ type: 'task', index: 1, task: done('other') }, 9)
  t.match(resultEffects(gang.handle({ type: 'task', index: 0, task: done('a') }, 10)), [{ result: { state: 'done', answers: [{ body: 'a' }, { body: 'b' }] } }])
  t.same(gang.handle({ type: 'task', index: 0, task: done('a') }, 11), [], 'one result only')
})

t.test('a member that is silent for a whole lease is lost, and no lease is renewed beyond that time', async (t) => {
  const gang = toPhase('running')
  gang.handle({ type: 'task', index: 0, task: running }, 5_000)
  t.match(gang.getRenewals(6_000), [{ termMs: 2_003 }, { termMs: 2_003 }], 'the last request that the silent member answered was its start, sent at 3 ms')
  t.same(calls(gang.handle({ type: 'timer' }, 8_003)), ['stop0', 'stop1'])
})

// Guards against leases renewed for too long by a process that was frozen between a request and the handling of its answer.
t.test('an answer shows that the member was alive when the request was sent', async (t) => {
  const gang = toPhase('running')
  gang.getRenewals(3_000)
  for (const index of [0, 1]) gang.handle({ type: 'task', index, task: running }, 5_000)
  t.match(gang.getRenewals(5_000), [{ termMs: 6_000 }, { termMs: 6_000 }])
  for (const index of [0, 1]) gang.handle({ type: 'task', index, task: running, requestedAtMs: 4_000 }, 5_500)
  t.match(gang.getRenewals(6_000), [{ termMs: 6_000 }, { termMs: 6_000 }], 'the owner may pass the time of the request')
})

// Guards against a process that was frozen and takes an old buffered answer as proof that the member is alive.
t.test('a process that was frozen for longer than the lease reports the gang as lost', async (t) => {
  const gang = toPhase('running')
  const effects = gang.handle({ type: 'task', index: 0, task: running }, 20_000)
  t.match(resultEffects(effects), [{ result: { state: 'unknown', lostEndpoints: ['e0', 'e1'] } }])
  t.same(calls(effects), [], 'the leases have expired, and another leader may have adopted the gang')
  t.same(gang.getRenewals(20_001), [])
})

t.test('adoption continues a complete gang and stops any other', async (t) => {
  const whole = Gang.adopt(toSpec(2, true), [running, done('b')])
  t.same(calls(whole.handle({ type: 'timer' }, 0)), [])
  t.match(whole.getRenewals(1), [{ index: 0 }])
  t.match(resultEffects(whole.handle({ type: 'task', index: 0, task: done('a') }, 2)), [{ result: { state: 'done' } }])
  const broken = Gang.adopt(toSpec(2, true), [running, undefined])
  t.same(calls(broken.handle({ type: 'timer' }, 0)), ['stop0', 'stop1'])
  reply(broken, 0, 'stop', ok(stopped), 1)
  t.match(resultEffects(reply(broken, 1, 'stop', { status: 'unknown' }, 1_000)), [{ result: { state: 'lost', lostEndpoints: ['e1'] } }])
})

t.test('an adopted gang with unreported members is not reported as "not run"', async (t) => {
  const spec = toSpec(2, true)
  const gang = Gang.adopt({ ...spec, assignments: spec.assignments.slice(0, 1) }, [{ phase: 'armed', everStarted: false }])
  t.same(calls(gang.handle({ type: 'timer' }, 0)), ['stop0'])
  t.match(resultEffects(reply(gang, 0, 'stop', ok(neverStarted), 1)), [{ result: { state: 'lost' } }])
})

t.test('a recorded start resolves to a continued gang, to "not run" or to "unknown"', async (t) => {
  const toResolve = (): Gang => {
    const gang = Gang.resolve(toSpec(2, false))
    t.same(calls(gang.handle({ type: 'timer' }, 0)), ['query0', 'query1'])
    return gang
  }
  const whole = toResolve()
  reply(whole, 0, 'query', ok(running), 1)
  t.match(reply(whole, 1, 'query', ok(done('b')), 1), [{ type: 'started' }])
  t.equal(whole.phase, 'running')

  const unstarted = toResolve()
  reply(unstarted, 0, 'query', ok({ phase: 'armed', everStarted: false }), 1)
  t.same(calls(reply(unstarted, 1, 'query', ok({ phase: 'absent', everStarted: false }), 1)), ['stop0', 'stop1'], 'a query does not fence the task')
  reply(unstarted, 0, 'stop', ok(neverStarted), 2)
  t.match(resultEffects(reply(unstarted, 1, 'stop', ok(neverStarted), 2)), [{ type: 'not-started' }])

  const restarted = toResolve()
  reply(restarted, 0, 'query', { status: 'refused', reason: 'wrong-incarnation' }, 1)
  reply(restarted, 0, 'stop', { status: 'refused', reason: 'wrong-incarnation' }, 2)
  t.match(resultEffects(reply(restarted, 1, 'stop', ok(neverStarted), 2)), [{ result: { state: 'unknown', error: { kind: 'outcome-unknown', execution: 'unknown' } } }])

  const silent = toResolve()
  reply(silent, 0, 'query', ok({ phase: 'absent', everStarted: false }), 1)
  reply(silent, 1, 'query', { status: 'unknown' }, 1_000)
  silent.handle({ type: 'timer' }, 2_000)
  reply(silent, 0, 'stop', ok(neverStarted), 2_001)
  t.same(resultEffects(reply(silent, 1, 'stop', { status: 'unknown' }, 3_000)), [], 'the silent member may still confirm')
  t.match(resultEffects(silent.handle({ type: 'timer' }, 9_001)), [{ result: { state: 'unknown', lostEndpoints: ['e1'] } }], 'reported once every lease has expired')
})

t.test('a start that the client could not deliver counts as not sent', async (t) => {
  const gang = Gang.create(toSpec(1, false))
  gang.handle({ type: 'timer' }, 0)
  gang.handle({ type: 'recorded', ok: true }, 1)
  t.same(calls(reply(gang, 0, 'run', { status: 'refused', reason: 'connection refused' }, 2)), ['stop0'])
  t.match(resultEffects(reply(gang, 0, 'stop', { status: 'refused', reason: 'connection refused' }, 3)), [{ type: 'not-started', refusedBy: ['e0'] }])
})

t.test('an acknowledgement is retried a limited number of times', async (t) => {
  const gang = Gang.create(toSpec(1, true))
  gang.handle({ type: 'timer' }, 0)
  reply(gang, 0, 'run', ok(done('a')), 1)
  t.same(calls(gang.handle({ type: 'delivered' }, 2)), ['ack0'])
  let sent = 1
  for (let now = 1_000; now < 20_000; now += 250) sent += calls(gang.handle({ type: 'timer' }, now)).length
  t.equal(sent, 3)
  t.ok(gang.isClosed)
})
