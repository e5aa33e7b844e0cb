import { asId, type TaskId } from '@ibisstair/common'
import t from 'tap'
import { TaskTable, type TaskGrant, type TaskRequest, type TaskTableOptions } from '../src/index.ts'

const grant = (overrides: { accelerators?: number, slots?: number, idempotent?: boolean } = {}): TaskGrant => ({
  jobId: asId('job'),
  attempt: 1,
  index: 0,
  reservationMs: 2_000,
  leaseMs: 8_000,
  request: {
    key: asId('k'),
    customer: asId('c'),
    caller: asId('u'),
    kind: asId('kind'),
    urgency: 'normal',
    shape: { tasks: 1, acceleratorsPerTask: overrides.accelerators ?? 1, slotsPerTask: overrides.slots ?? 1, adjacency: 'any' },
    deadlineMs: 1,
    expectedRunMs: 1,
    idempotent: overrides.idempotent ?? true
  }
})

const createTable = (options: Partial<TaskTableOptions> = {}): TaskTable =>
  new TaskTable({ endpointId: asId('e'), incarnation: 3, slots: 4, accelerators: 4, ...options })

const id = (name: string): TaskId => asId(name)
const run = (name: string, overrides = {}): TaskRequest => ({ taskId: id(name), incarnation: 3, operation: 'run', grant: grant(overrides), payload: name })
const reserve = (name: string, overrides = {}): TaskRequest => ({ taskId: id(name), incarnation: 3, operation: 'reserve', grant: grant(overrides) })
const simple = (name: string, operation: 'start' | 'stop' | 'ack' | 'query'): TaskRequest => ({ taskId: id(name), incarnation: 3, operation })
const arm = (name: string): TaskRequest => ({ taskId: id(name), incarnation: 3, operation: 'arm', payload: name })

t.test('a gang member is reserved, armed, started, renewed, finished and acknowledged', async (t) => {
  const table = createTable()
  t.equal(table.handle(reserve('a'), 0).result.status, 'ok')
  t.match(table.handle(simple('a', 'start'), 1).result, { status: 'refused', reason: 'not-armed' })
  table.handle(arm('a'), 1)
  t.match(table.handle(simple('a', 'start'), 2).effects, [{ type: 'execute', payload: 'a' }])
  t.same(table.handle(simple('a', 'start'), 3).effects, [], 'a duplicated start does not run the task again')
  t.match(table.renew([{ taskId: id('a'), incarnation: 3, termMs: 8_000 }], 5_000).views, [{ phase: 'running' }])
  table.complete(id('a'), { state: 'done', answer: 42 }, 12_000)
  t.match(table.handle(simple('a', 'query'), 12_001).result, { task: { phase: 'done', answer: 42, runMs: 11_998 } })
  t.equal(table.getUnacknowledged().length, 1)
  table.handle(simple('a', 'ack'), 12_002)
  t.equal(table.getUnacknowledged().length, 0)
  t.notOk('answer' in table.getView(id('a')), 'an acknowledged answer is discarded')
  t.match(table.handle(run('a'), 12_003), { result: { status: 'ok', task: { phase: 'done' } }, effects: [] }, 'a late run does not run the task again')
})

t.test('reservations and leases expire by the clock of the endpoint', async (t) => {
  const table = createTable()
  table.handle(reserve('a'), 0)
  t.equal(table.getNextDeadlineMs(), 2_000)
  table.handle(arm('a'), 1_999)
  t.match(table.handle(simple('a', 'start'), 3_999).result, { status: 'refused', reason: 'ended', task: { phase: 'expired', everStarted: false } })
  table.handle(run('b'), 4_000)
  t.same(table.advance(12_000), [{ type: 'kill', taskId: 'b' }])
  t.match(table.renew([{ taskId: id('b'), incarnation: 3, termMs: 8_000 }], 12_001).views, [{ phase: 'expired', everStarted: true }])
  t.same(table.getStats().freeSlots, 4)
})

t.test('a shorter renewal never shortens a lease, and a start may shorten the first one', async (t) => {
  const table = createTable()
  table.handle(run('a'), 0)
  table.renew([{ taskId: id('a'), incarnation: 3, termMs: 100 }], 1_000)
  t.equal(table.getNextDeadlineMs(), 8_000)
  table.handle(reserve('b'), 1_000)
  table.handle(arm('b'), 1_000)
  table.handle({ taskId: id('b'), incarnation: 3, operation: 'start', leaseMs: 500 }, 1_000)
  t.equal(table.getNextDeadlineMs(), 1_500)
})

t.test('a stop before the start fences the task', async (t) => {
  const table = createTable()
  t.match(table.handle(simple('a', 'stop'), 0).result, { status: 'ok', task: { phase: 'stopped', everStarted: false } })
  for (const request of [reserve('a'), arm('a'), simple('a', 'start'), run('a')]) {
    t.match(table.handle(request, 1), { result: { status: 'refused' }, effects: [] }, request.operation)
  }
  table.handle(run('b'), 2)
  t.match(table.handle(simple('b', 'stop'), 3), { result: { task: { everStarted: true } }, effects: [{ type: 'kill' }] })
})

t.test('a request for another incarnation is refused, and the refusal has no task view', async (t) => {
  const table = createTable()
  const { result } = table.handle({ taskId: id('a'), incarnation: 2, operation: 'stop' }, 0)
  t.same(result, { status: 'refused', reason: 'wrong-incarnation' })
})

t.test('slots and accelerators are never over-committed', async (t) => {
  const table = createTable({ slots: 3, accelerators: 4 })
  t.equal(table.handle(reserve('a', { accelerators: 3 }), 0).result.status, 'ok')
  t.match(table.handle(reserve('b', { accelerators: 2 }), 0).result, { reason: 'no-capacity' })
  t.equal(table.handle(reserve('c', { accelerators: 0, slots: 2 }), 0).result.status, 'ok')
  t.match(table.handle(reserve('d'), 0).result, { reason: 'no-capacity' })
})

t.test('accelerators of a task are adjacent if a free range is long enough', async (t) => {
  const table = createTable({ slots: 8, accelerators: 8 })
  const pick = (name: string, accelerators: number): unknown =>
    table.handle(run(name, { accelerators }), 0).effects.flatMap((effect) => effect.type === 'execute' ? effect.accelerators : [])
  t.same(pick('a', 2), [0, 1])
  t.same(pick('b', 2), [2, 3])
  table.handle(simple('a', 'stop'), 0)
  t.same(pick('c', 3), [4, 5, 6])
  t.same(pick('d', 1), [7], 'the shortest free range that fits')
  t.same(pick('e', 2), [0, 1])
})

t.test('a leaving endpoint refuses reservations but continues the tasks that it holds', async (t) => {
  const table = createTable()
  table.handle(reserve('a'), 0)
  table.leave()
  t.match(table.handle(reserve('b'), 0).result, { reason: 'leaving' })
  t.equal(table.handle(arm('a'), 0).result.status, 'ok')
})

t.test('an answer above the size limit fails the task', async (t) => {
  const table = createTable()
  table.handle(run('a'), 0)
  table.complete(id('a'), { state: 'done', answer: 'x'.repeat(70_000) }, 1)
  t.match(table.getView(id('a')), { phase: 'failed', error: 'answer-too-large' })
})

t.test('kept answers are limited: idempotent ones are dropped, others cause new work to be refused', async (t) => {
  const table = createTable({ maxUnacknowledged: 2 })
  const finish = (name: string, idempotent: boolean, nowMs: number): string => {
    const { result } = table.handle(run(name, { idempotent }), nowMs)
    table.complete(id(name), { state: 'done', answer: name }, nowMs)
    return result.status === 'refused' ? result.reason : result.status
  }
  t.equal(finish('a', false, 0), 'ok')
  t.equal(finish('b', true, 1), 'ok')
  t.equal(finish('c', false, 2), 'ok')
  t.notOk('answer' in table.getView(id('b')), 'the idempotent answer was dropped')
  t.equal(table.getView(id('a')).answer, 'a')
  t.equal(finish('d', false, 3), 'results-full')
  t.equal(finish('e', false, 700_000), 'ok', 'after the time limit of the answers')
})

// Guards against a false "not run": an endpoint that has dropped old records cannot confirm that an old task never started.
t.test('a stop for a task whose record may have been dropped is refused but still fences the task', async (t) => {
  const table = createTable({ endedTtlMs: 1_000 })
  table.handle(run('a', { idempotent: false }), 0)
  table.complete(id('a'), { state: 'done', answer: 1 }, 10)
  table.advance(100_000)
  t.equal(table.getView(id('a')).phase, 'absent')
  t.match(table.handle(simple('a', 'stop'), 100_000).result, { status: 'refused', reason: 'forgotten' })
  t.match(table.handle({ ...simple('new', 'stop'), ageMs: 5_000 } as TaskRequest, 100_000).result, { status: 'ok', task: { everStarted: false } }, 'the record of a recent task cannot have been dropped')
  t.match(table.handle(run('a'), 100_001), { result: { reason: 'ended' }, effects: [] })
})

t.test('the number of records of ended tasks is limited', async (t) => {
  const table = createTable({ maxEnded: 3 })
  for (let i = 0; i < 10; i++) {
    table.handle(run(`t${i}`), i)
    table.handle(simple(`t${i}`, 'stop'), i)
  }
  t.ok(table.getStats().ended <= 3)
  const guarded = createTable({ maxEnded: 2 })
  for (const name of ['a', 'b']) {
    guarded.handle(run(name, { idempotent: false }), 0)
    guarded.handle(simple(name, 'stop'), 0)
  }
  t.match(guarded.handle(run('c'), 1).result, { reason: 'fences-full' }, 'records of non-idempotent work are not dropped for new work')
})
