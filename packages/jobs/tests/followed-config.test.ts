import { asId, type JobId } from '@ibisstair/common'
import { packValue, unpackValue } from '@ibisstair/storage'
import t from 'tap'
import { SchedulingState, type JobSpec, type QueueConfig, type StateCommand, type StepSpec } from '../src/index.ts'
import { accept, createEndpoint, createSpec, createStep, end, register, start, toEnd } from './support/samples.ts'

const a = createEndpoint('a')
const b = createEndpoint('bb')
const job = asId<JobId>('1')
const ROUTE = { host: 'jobs.example', pathPrefix: '/q/' }

const createQueue = (overrides: Partial<QueueConfig> = {}): QueueConfig =>
  ({ name: 'q', ...ROUTE, service: 's', priority: 1, maxAttempts: 2, stretch: 2, targetLatencyMs: 1_000, timeoutMs: 3_000, isPublic: false, ...overrides })

/** Commands of earlier builds have no time. */
const configure = (version: number, queues: readonly QueueConfig[], atMs?: number): StateCommand =>
  ({ type: 'configure', config: { version, queues, services: [...new Set(queues.map(({ service }) => service))], customers: [], document: '' }, ...(atMs !== undefined && { atMs }) })

const createState = (...commands: StateCommand[]): SchedulingState => {
  const state = new SchedulingState()
  for (const command of [register(a), register(b), ...commands]) state.apply(command)
  return state
}

const submit = (steps: readonly StepSpec[] = [createStep()], overrides: Partial<JobSpec> = {}): StateCommand =>
  ({ ...accept(createSpec('1', steps, { route: ROUTE, ...overrides })) as Extract<StateCommand, { type: 'accept' }>, configVersion: 1 })

const copyOf = (state: SchedulingState): SchedulingState => {
  const copy = new SchedulingState()
  copy.restore(unpackValue(packValue(state.toSnapshot())))
  return copy
}

const policyOf = (state: SchedulingState) => state.jobs.get(job)!.policy
const statusOf = (state: SchedulingState) => state.jobs.get(job)!.status

const MOVED = { service: 'next', priority: 0, maxAttempts: 5, stretch: 9, targetLatencyMs: 7 }

t.test('an accepted job follows its queue in each of its states', async (t) => {
  // A job kept the service of the moment at which it was accepted, and never ran once that service was empty.
  const steps = [createStep({ count: 2 }), createStep({ dependsOn: [0] })]
  const histories: Readonly<Record<string, StateCommand[]>> = {
    'it waits': [],
    'a task runs': [start('1', 0, 1, [a])],
    'a task has failed and waits': [start('1', 0, 1, [a]), end(a, [toEnd('1', 0, 0, 1, 'failed')])],
    'its first step is done': [start('1', 0, 1, [a, b]), end(a, [toEnd('1', 0, 0, 1, 'done')]), end(b, [toEnd('1', 0, 1, 1, 'done')])]
  }
  for (const [name, history] of Object.entries(histories)) {
    const state = createState(configure(1, [createQueue()], 0), submit(steps), ...history)
    const result = state.apply(configure(2, [createQueue(MOVED)], 10))
    t.match(result, { effect: { movedJobs: 1, failedJobs: [] } }, name)
    for (const [where, replica] of [['replayed', state], ['restored', copyOf(state)]] as const) {
      t.match(policyOf(replica), MOVED, `${name}, ${where}`)
      t.ok(replica.isServiceNamed('next'))
    }
  }
})

t.test('a job whose queue is gone keeps the last policy that the queue had, and follows it again once it is back', async (t) => {
  const state = createState(configure(1, [createQueue()], 0), submit(), configure(2, [createQueue(MOVED)], 1), configure(3, [], 2))
  for (const replica of [state, copyOf(state)]) {
    t.match(policyOf(replica), MOVED)
    t.equal(statusOf(replica), 'queued')
    t.ok(replica.isServiceNamed('next'), 'its endpoints are still needed')
    t.notOk(replica.isServiceNamed('s'))
    replica.apply(configure(4, [createQueue({ service: 'third' })], 3))
    t.equal(policyOf(replica).service, 'third')
  }
})

t.test('a queue is known by its route, and by its name to jobs of earlier builds', async (t) => {
  const renamed = createQueue({ ...MOVED, name: 'renamed' })
  const other = createQueue({ pathPrefix: '/other/', service: 'other' })
  const state = createState(configure(1, [createQueue()], 0), submit(), configure(2, [renamed, other], 1))
  t.equal(policyOf(state).service, 'next')
  for (const replica of [state, copyOf(state)]) {
    t.equal(replica.jobs.countPending('renamed'), 1, 'callers of the queue see it as pending')
    t.equal(replica.jobs.countPending('q'), 0)
  }
  state.apply(start('1', 0, 1, [a]))
  t.equal(state.jobs.countPending('renamed'), 0)
  state.apply(configure(3, [{ ...renamed, pathPrefix: '/moved/', service: 'third' }, other], 2))
  t.equal(policyOf(state).service, 'third', 'by its new name once its route has changed')
  const old = createState(accept(createSpec('1', [createStep()])), configure(1, [renamed, other], 0))
  t.equal(policyOf(old).service, 'other')
  old.apply(configure(2, [{ ...other, name: 'third', service: 'third' }], 1))
  t.equal(policyOf(old).service, 'third', 'by the route that its queue had')
})

t.test('a job that was accepted beside a change of the configuration follows the newer one', async (t) => {
  const state = createState(configure(1, [createQueue()], 0), configure(2, [createQueue(MOVED)], 1), submit())
  t.match(policyOf(state), MOVED)
  const gone = createState(configure(1, [createQueue()], 0), configure(2, [], 1), submit())
  t.equal(policyOf(gone).service, 's')
})

t.test('a higher number of attempts counts for tasks that have failed already', async (t) => {
  const state = createState(configure(1, [createQueue()], 0), submit(), start('1', 0, 1, [a]), end(a, [toEnd('1', 0, 0, 1, 'failed')]), configure(2, [createQueue({ maxAttempts: 3 })], 1))
  state.apply(start('1', 0, 2, [a]))
  state.apply(end(a, [toEnd('1', 0, 0, 2, 'failed')]))
  t.equal(statusOf(state), 'running')
  state.apply(start('1', 0, 3, [a]))
  state.apply(end(a, [toEnd('1', 0, 0, 3, 'failed')]))
  t.equal(statusOf(state), 'failed')
})

t.test('no task starts after as many failures as a lower number of attempts allows', async (t) => {
  for (const gang of [false, true]) {
    const failedOnce = [configure(1, [createQueue({ maxAttempts: 3 })], 0), submit([createStep({ gang })], { maxAttempts: 3 }), start('1', 0, 1, [a]), end(a, [toEnd('1', 0, 0, 1, 'failed')])]
    const lower = configure(2, [createQueue({ maxAttempts: 1 })], 10)
    const waiting = createState(...failedOnce)
    t.match(waiting.apply(lower), { effect: { failedJobs: ['1'] } })
    t.equal(statusOf(waiting), 'failed')
    t.match(waiting.apply(start('1', 0, 2, [a])), { groups: [] })

    const running = createState(...failedOnce, start('1', 0, 2, [a]))
    t.match(running.apply(lower), { effect: { failedJobs: [] } }, 'the run in progress may succeed')
    const lost = copyOf(running)
    running.apply(end(a, [toEnd('1', 0, 0, 2, 'done')]))
    t.equal(statusOf(running), 'completed')
    lost.apply(end(a, [toEnd('1', 0, 0, 2, 'stopped')]))
    t.equal(statusOf(lost), 'failed')
  }
})

t.test('tasks that last have no limit of attempts, whatever the configuration says', async (t) => {
  const state = createState(configure(1, [createQueue()], 0), submit([createStep({ longRunning: true })]), start('1', 0, 1, [a]), end(a, [toEnd('1', 0, 0, 1, 'failed')]), configure(2, [createQueue({ maxAttempts: 1, service: 'next' })], 1))
  t.equal(statusOf(state), 'running')
  t.equal(policyOf(state).service, 'next')
})

t.test('the log and the snapshot of an earlier build give the same state', async (t) => {
  // Such a build left accepted jobs as they were; what decides in the replicated state must not depend on how it was read.
  const history = [configure(1, [createQueue()]), accept(createSpec('1', [createStep()])), start('1', 0, 1, [a]), end(a, [toEnd('1', 0, 0, 1, 'failed')]), configure(2, [createQueue({ ...MOVED, maxAttempts: 1 })])]
  const replayed = createState(...history)
  const snapshot = JSON.parse(JSON.stringify(createState(...history).toSnapshot())) as { jobs: Array<{ policy?: unknown }> }
  for (const entry of snapshot.jobs) delete entry.policy
  const restored = new SchedulingState()
  restored.restore(snapshot)
  t.equal(JSON.stringify(restored.toSnapshot()), JSON.stringify(replayed.toSnapshot()))
  for (const replica of [replayed, restored]) {
    t.match(policyOf(replica), { service: 'next', priority: 0, maxAttempts: 2 })
    replica.apply(start('1', 0, 2, [a]))
    t.equal(statusOf(replica), 'running')
  }
})
