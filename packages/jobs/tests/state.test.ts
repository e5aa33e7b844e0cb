import { asId, type JobId } from '@ibisstair/common'
import { packValue, unpackValue } from '@ibisstair/storage'
import fc from 'fast-check'
import t from 'tap'
import { addResources, EARLY_CANCEL_RETENTION_MS, MAX_EARLY_CANCELS, NO_RESOURCES, SchedulingState, STATUS_RETENTION_MS, type ServiceConfig, type StateCommand } from '../src/index.ts'
import { accept, createEndpoint, createSpec, createStep, end, register, start, toEnd } from './support/samples.ts'

const a = createEndpoint('a')
const b = createEndpoint('bb')
const job = asId<JobId>('1')

const createState = (...commands: StateCommand[]): SchedulingState => {
  const state = new SchedulingState()
  for (const command of [register(a), register(b), ...commands]) state.apply(command)
  return state
}

const statusOf = (state: SchedulingState): string | undefined => state.jobs.get(job)?.status

t.test('a job that is submitted twice is accepted once', async (t) => {
  const state = createState(accept(createSpec('1', [createStep()])))
  t.match(state.apply(accept(createSpec('1', [createStep()]), 50)), { type: 'accepted', isNew: false })
  t.equal(state.jobs.size, 1)
  t.equal(state.jobs.countPending('q'), 1)
})

t.test('a job is completed when every task of every step is done', async (t) => {
  const steps = [createStep({ count: 2 }), createStep({ dependsOn: [0] })]
  const state = createState(accept(createSpec('1', steps)), start('1', 0, 1, [a, b]))
  t.equal(state.jobs.countPending('q'), 0)
  state.apply(end(a, [toEnd('1', 0, 0, 1, 'done')]))
  t.match(state.apply(start('1', 1, 1, [a])), { groups: [] }, 'the second step does not start before the first is done')
  state.apply(end(b, [toEnd('1', 0, 1, 1, 'done')]))
  state.apply(start('1', 1, 1, [a]))
  t.equal(statusOf(state), 'running')
  state.apply(end(a, [toEnd('1', 1, 0, 1, 'done')]))
  t.equal(statusOf(state), 'completed')
})

t.test('a task does not start while another run of it is active', async (t) => {
  // Guards against two concurrent runs of one task, which a lost answer to a start could cause.
  const state = createState(accept(createSpec('1', [createStep()])), start('1', 0, 1, [a]))
  t.match(state.apply(start('1', 0, 2, [b])), { groups: [] })
  t.equal(state.jobs.listRuns(b.life).size, 0)
})

t.test('a task that is done does not start again', async (t) => {
  const state = createState(accept(createSpec('1', [createStep({ count: 2 })])), start('1', 0, 1, [a, b]), end(a, [toEnd('1', 0, 0, 1, 'done')]))
  t.match(state.apply(start('1', 0, 2, [a])), { groups: [] })
})

t.test('the late result of a run that was counted as lost completes the task', async (t) => {
  const state = createState(accept(createSpec('1', [createStep()])), start('1', 0, 1, [a]), end(a, [toEnd('1', 0, 0, 1, 'lost')]), start('1', 0, 2, [b]))
  state.apply(end(a, [toEnd('1', 0, 0, 1, 'done')]))
  t.equal(statusOf(state), 'completed')
  t.equal(state.jobs.listRuns(b.life).size, 1, 'the second run occupies its endpoint until it ends')
})

t.test('a job fails when a task has failed maxAttempts times; other outcomes do not count', async (t) => {
  const state = createState(accept(createSpec('1', [createStep()])))
  const outcomes = ['failed', 'stopped', 'lapsed', 'lost', 'not-started', 'failed'] as const
  outcomes.forEach((outcome, i) => {
    t.equal(statusOf(state), i === 0 ? 'queued' : 'running')
    state.apply(start('1', 0, i + 1, [a]))
    state.apply(end(a, [toEnd('1', 0, 0, i + 1, outcome)]))
  })
  t.equal(statusOf(state), 'failed')
})

t.test('a failed run that is reported twice counts once, and one that is reported late counts', async (t) => {
  // A report whose commit was not answered is committed again. Counting it twice made the job fail too early.
  const state = createState(accept(createSpec('1', [createStep()])), start('1', 0, 1, [a]))
  state.apply(end(a, [toEnd('1', 0, 0, 1, 'failed')]))
  state.apply(end(a, [toEnd('1', 0, 0, 1, 'failed')]))
  t.equal(statusOf(state), 'running')
  state.apply(start('1', 0, 2, [a]))
  state.apply(end(a, [toEnd('1', 0, 0, 2, 'lost')]))
  state.apply(start('1', 0, 3, [b]))
  state.apply(end(a, [toEnd('1', 0, 0, 2, 'failed')]))
  t.equal(statusOf(state), 'failed')
})

t.test('a report from another endpoint does not end a run', async (t) => {
  // Such a report removed the run but not its usage, so its resources stayed occupied for ever.
  const state = createState(accept(createSpec('1', [createStep()])), start('1', 0, 1, [a]))
  state.apply(end(b, [toEnd('1', 0, 0, 1, 'stopped')]))
  t.ok(state.jobs.get(job)!.findTask(0, 0, 0)!.active)
  state.apply(end(a, [toEnd('1', 0, 0, 1, 'stopped')]))
  t.equal(state.jobs.getUsage(a.life).accelerators, 0)
})

t.test('a gang starts completely or not at all, and the completion of one member completes all', async (t) => {
  const gang = createStep({ count: 2, gang: true })
  const state = createState(accept(createSpec('1', [gang])))
  t.match(state.apply({ type: 'start', atMs: 0, groups: [{ job, occurrence: 0, step: 0, run: 1, members: [{ index: 0, endpoint: a.life }, { index: 1, endpoint: createEndpoint('gone').life }] }] }), { groups: [] })
  state.apply(start('1', 0, 1, [a, b]))
  state.apply(end(b, [toEnd('1', 0, 1, 1, 'done')]))
  t.equal(statusOf(state), 'completed')
})

t.test('a gang that fails counts one attempt, however many members report it', async (t) => {
  const state = createState(accept(createSpec('1', [createStep({ count: 2, gang: true })])), start('1', 0, 1, [a, b]))
  state.apply(end(a, [toEnd('1', 0, 0, 1, 'failed')]))
  state.apply(end(b, [toEnd('1', 0, 1, 1, 'failed')]))
  t.equal(statusOf(state), 'running')
})

t.test('the checkpoint of any member is used for the whole gang', async (t) => {
  const state = createState(accept(createSpec('1', [createStep({ count: 2, gang: true, checkpointing: true })])), start('1', 0, 1, [a, b]))
  state.apply(end(a, [toEnd('1', 0, 0, 1, 'stopped', 'saved')]))
  state.apply(end(b, [toEnd('1', 0, 1, 1, 'stopped', '')]))
  t.equal(state.jobs.get(job)!.getOccurrence(0).steps[0]!.checkpoint, 'saved')
})

t.test('a cancelled job starts nothing and stays cancelled', async (t) => {
  const state = createState(accept(createSpec('1', [createStep({ count: 2 })])), start('1', 0, 1, [a]))
  t.match(state.apply({ type: 'cancel', job, atMs: 5 }), { status: 'cancelled' })
  t.match(state.apply({ type: 'start', atMs: 6, groups: [{ job, occurrence: 0, step: 0, run: 1, members: [{ index: 1, endpoint: b.life }] }] }), { groups: [] })
  state.apply(end(a, [toEnd('1', 0, 0, 1, 'done')]))
  t.equal(statusOf(state), 'cancelled')
  t.equal(state.jobs.listRuns(a.life).size, 0)
})

t.test('a new incarnation at the same address ends the runs of the old one', async (t) => {
  const state = createState(accept(createSpec('1', [createStep()])), start('1', 0, 1, [a]))
  const restarted = createEndpoint('a', { bornMs: 9 })
  state.apply(register(restarted))
  t.equal(state.jobs.listRuns(a.life).size, 0)
  t.equal(state.jobs.get(job)!.findTask(0, 0, 0)!.active, null)
  t.notOk(state.endpoints.wouldChange(a), 'a late announcement of the old incarnation is ignored')
  state.apply(register(a))
  t.equal(state.endpoints.get(a.life), undefined)
})

t.test('a late announcement of an incarnation that has left or was replaced does not bring it back', async (t) => {
  const state = new SchedulingState()
  const old = createEndpoint('w1', { bornMs: 1 })
  const successor = createEndpoint('w1', { bornMs: 2 })
  for (const endpoint of [old, successor]) state.apply(register(endpoint))
  state.apply({ type: 'remove-endpoint', life: successor.life, atMs: 0, hasEnded: true })
  const restored = new SchedulingState()
  restored.restore(JSON.parse(JSON.stringify(state.toSnapshot())))
  for (const each of [state, restored]) {
    for (const endpoint of [old, successor]) each.apply(register(endpoint))
    t.equal(each.endpoints.size, 0)
  }
})

t.test('an endpoint that was removed because it was silent may announce itself again', async (t) => {
  const state = new SchedulingState()
  const endpoint = createEndpoint('w1')
  state.apply(register(endpoint))
  state.apply({ type: 'remove-endpoint', life: endpoint.life, atMs: 0 })
  state.apply(register(endpoint))
  t.equal(state.endpoints.size, 1)
})

t.test('a draining endpoint does not return to service in the same incarnation', async (t) => {
  const state = createState(register({ ...a, draining: true }), register(a))
  t.ok(state.endpoints.get(a.life)?.draining)
})

t.test('the highest version of the configuration is in force', async (t) => {
  const state = createState()
  const config = (version: number): ServiceConfig => ({ version, queues: [], services: [], customers: [], document: `${version}` })
  for (const version of [4, 2, 7, 7]) state.apply({ type: 'configure', config: config(version) })
  t.equal(state.config.config?.document, '7')
})

t.test('ended jobs are removed after the retention time and not before', async (t) => {
  const state = createState(accept(createSpec('1', [createStep()])), { type: 'cancel', job, atMs: 10 })
  state.apply(accept(createSpec('2', [createStep()]), 10 + STATUS_RETENTION_MS - 1))
  t.ok(state.jobs.get(job))
  state.apply(accept(createSpec('3', [createStep()]), 11 + STATUS_RETENTION_MS))
  t.notOk(state.jobs.get(job))
})

const commandArbitrary = fc.oneof(
  fc.record({ op: fc.constant('accept' as const), job: fc.integer({ min: 1, max: 4 }), gang: fc.boolean(), count: fc.integer({ min: 1, max: 3 }) }),
  fc.record({ op: fc.constant('start' as const), job: fc.integer({ min: 1, max: 4 }), run: fc.integer({ min: 1, max: 5 }), on: fc.array(fc.constantFrom(a, b), { minLength: 1, maxLength: 3 }) }),
  fc.record({ op: fc.constant('end' as const), job: fc.integer({ min: 1, max: 4 }), run: fc.integer({ min: 1, max: 5 }), index: fc.integer({ min: 0, max: 2 }), on: fc.constantFrom(a, b), outcome: fc.constantFrom('done', 'failed', 'stopped', 'lost', 'not-started') }),
  fc.record({ op: fc.constant('cancel' as const), job: fc.integer({ min: 1, max: 4 }) }),
  fc.record({ op: fc.constant('remove' as const), on: fc.constantFrom(a, b) }),
  fc.record({ op: fc.constant('register' as const), on: fc.constantFrom(a, b) }),
  fc.record({ op: fc.constant('configure' as const), version: fc.integer({ min: 1, max: 9 }), name: fc.constantFrom('q', 'r'), service: fc.constantFrom('s', 'next'), maxAttempts: fc.integer({ min: 1, max: 3 }), isDropped: fc.boolean() })
)

type Step = typeof commandArbitrary extends fc.Arbitrary<infer T> ? T : never

const configure = ({ version, name, service, maxAttempts, isDropped }: Extract<Step, { op: 'configure' }>, atMs: number): StateCommand => {
  const queue = { name, host: 'h', pathPrefix: `/${name}/`, service, priority: 1, maxAttempts, stretch: 2, targetLatencyMs: 1_000, timeoutMs: 3_000, isPublic: false }
  return { type: 'configure', config: { version, queues: isDropped ? [] : [queue], services: [service], customers: [], document: '' }, atMs }
}

const toCommand = (step: Step, i: number): StateCommand => {
  switch (step.op) {
    case 'accept': return accept(createSpec(`${step.job}`, [createStep({ count: step.count, gang: step.gang })]), i)
    case 'start': return start(`${step.job}`, 0, step.run, step.on, i)
    case 'end': return end(step.on, [toEnd(`${step.job}`, 0, step.index, step.run, step.outcome as 'done')], i)
    case 'cancel': return { type: 'cancel', job: asId<JobId>(`${step.job}`), atMs: i }
    case 'remove': return { type: 'remove-endpoint', life: step.on.life, atMs: i }
    case 'register': return register(step.on, i)
    case 'configure': return configure(step, i)
  }
}

t.test('usage equals the sum of active runs, a task has at most one run, and a snapshot restores the same state', async (t) => {
  fc.assert(fc.property(fc.array(commandArbitrary, { maxLength: 60 }), (steps) => {
    const state = createState()
    steps.forEach((step, i) => state.apply(toCommand(step, i)))
    for (const { life: incarnation } of [a, b]) {
      const runs = [...state.jobs.listRuns(incarnation).values()]
      const sum = runs.reduce((total) => addResources(total, createStep().resources), NO_RESOURCES)
      if (JSON.stringify(sum) !== JSON.stringify(state.jobs.getUsage(incarnation))) return false
    }
    const tasks = [a, b].flatMap(({ life: incarnation }) => [...state.jobs.listRuns(incarnation).keys()])
    const copy = new SchedulingState()
    copy.restore(unpackValue(packValue(state.toSnapshot())))
    const isSame = JSON.stringify(copy.toSnapshot()) === JSON.stringify(state.toSnapshot())
    const isIndexed = [a, b].every(({ life: incarnation }) => JSON.stringify(copy.jobs.getUsage(incarnation)) === JSON.stringify(state.jobs.getUsage(incarnation)))
    const arePendingSame = ['q', 'r'].every((queue) => copy.jobs.countPending(queue) === state.jobs.countPending(queue))
    return new Set(tasks).size === tasks.length && isSame && isIndexed && arePendingSame
  }), { seed: 7, numRuns: 300 })
  t.pass()
})

t.test('a job whose cancellation overtook its submission never starts', async (t) => {
  // An entry that had been frozen handed the job in after another entry had answered the cancellation; it ran.
  const cancelAtMs = 1_000
  for (const isRestored of [false, true]) {
    let state = createState({ type: 'cancel', job, atMs: cancelAtMs })
    if (isRestored) {
      const snapshot = unpackValue(packValue(state.toSnapshot()))
      state = new SchedulingState()
      state.restore(snapshot)
    }
    t.match(state.apply(accept(createSpec('1', [createStep()]), cancelAtMs + 4_000)), { type: 'accepted', status: 'cancelled' })
    t.match(state.apply(start('1', 0, 1, [a])), { groups: [] })
    t.equal(state.jobs.countPending('q'), 0)
  }
})

t.test('cancellations of unknown jobs are forgotten after a while and bounded in number', async (t) => {
  const state = createState({ type: 'cancel', job, atMs: 0 })
  state.apply(accept(createSpec('1', [createStep()]), EARLY_CANCEL_RETENTION_MS + 1))
  t.equal(statusOf(state), 'queued')
  const other = createState()
  for (let i = 0; i < MAX_EARLY_CANCELS + 100; i++) other.apply({ type: 'cancel', job: asId<JobId>(`c${i}`), atMs: 0 })
  t.equal(other.toSnapshot().earlyCancels!.length, MAX_EARLY_CANCELS)
})
