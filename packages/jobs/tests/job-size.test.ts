import { asId, type JobId } from '@ibisstair/common'
import { packValue, unpackValue } from '@ibisstair/storage'
import t from 'tap'
import { checkJob, MAX_OPEN_TASKS, MAX_OPEN_TASKS_PER_JOB, SchedulingState, type JobEntry, type Recurrence, type StateCommand, type StepSpec } from '../src/index.ts'
import { accept, createEndpoint, createSpec, createStep, register, toEnd } from './support/samples.ts'

const endpoint = createEndpoint('a')
const every = (occurrences: number): Recurrence => ({ occurrences, startAtMs: 0, intervalMs: 0 })

const acceptOne = (steps: readonly StepSpec[], recurrence: Recurrence | null = null): { readonly state: SchedulingState, readonly job: JobEntry } => {
  const state = new SchedulingState()
  state.apply(register(endpoint))
  state.apply(accept(createSpec('1', steps, { recurrence })))
  return { state, job: state.jobs.get(asId<JobId>('1'))! }
}

/** Runs one task to its end. */
const runTask = (state: SchedulingState, occurrence: number, step = 0): void => {
  const commands: StateCommand[] = [
    { type: 'start', groups: [{ job: asId<JobId>('1'), occurrence, step, run: 1, members: [{ index: 0, endpoint: endpoint.life }] }], atMs: 0 },
    { type: 'end', endpoint: endpoint.life, ends: [{ ...toEnd('1', step, 0, 1, 'done'), task: asId(`1.${occurrence}.${step}.0`) }], atMs: 0 }
  ]
  for (const command of commands) state.apply(command)
}

t.test('a job with many due occurrences does not exhaust the memory of one replica after the other', async (t) => {
  // Every leader created the state of all occurrences that were due, and ran out of memory.
  const { job } = acceptOne([createStep({ count: 4_096 })], every(10_000))
  const due = job.listDueOccurrences(1)
  t.same(due, [0, 1])
  for (const occurrence of due) job.getOccurrence(occurrence)
  t.equal(job.maxOpenTasks, MAX_OPEN_TASKS_PER_JOB)
})

t.test('occurrences close in order as they are done, and the job completes', async (t) => {
  const { state, job } = acceptOne([createStep()], every(3))
  runTask(state, 1)
  t.same(job.listDueOccurrences(1), [0, 1, 2], 'an earlier occurrence is still open')
  runTask(state, 0)
  t.same(job.listDueOccurrences(1), [2])
  t.equal(job.findTask(0, 0, 0), undefined)
  t.same(state.apply({ type: 'start', groups: [{ job: asId<JobId>('1'), occurrence: 0, step: 0, run: 2, members: [{ index: 0, endpoint: endpoint.life }] }], atMs: 0 }), { type: 'started', groups: [] }, 'a closed occurrence does not run again')

  const restored = new SchedulingState()
  restored.restore(unpackValue(packValue(state.toSnapshot())))
  t.same(restored.jobs.get(asId<JobId>('1'))!.listDueOccurrences(1), [2])
  runTask(restored, 2)
  t.equal(restored.jobs.get(asId<JobId>('1'))!.status, 'completed')
})

t.test('occurrences beyond the largest number that may be open run once earlier ones are done', async (t) => {
  const { state, job } = acceptOne([createStep(), createStep({ count: MAX_OPEN_TASKS_PER_JOB - 1, dependsOn: [0], longRunning: true })], every(2))
  t.same(job.listDueOccurrences(1), [0])
  runTask(state, 0)
  t.same(job.listDueOccurrences(1), [0], 'a step that lasts keeps its occurrence open')
})

t.test('the state of a job is dropped once it has ended and no run is active', async (t) => {
  const { state, job } = acceptOne([createStep({ count: 2 })])
  state.apply({ type: 'start', groups: [{ job: asId<JobId>('1'), occurrence: 0, step: 0, run: 1, members: [{ index: 0, endpoint: endpoint.life }] }], atMs: 0 })
  state.apply({ type: 'cancel', job: asId<JobId>('1'), atMs: 1 })
  t.equal(job.listBegunOccurrences().length, 1, 'a run is still active')
  state.apply({ type: 'end', endpoint: endpoint.life, ends: [toEnd('1', 0, 0, 1, 'stopped')], atMs: 2 })
  t.equal(job.listBegunOccurrences().length, 0)
  t.equal(state.jobs.listRuns(endpoint.life).size, 0)
  t.equal(job.status, 'cancelled')
})

t.test('jobs whose tasks exceed the room of a replica are refused until others have ended', async (t) => {
  const state = new SchedulingState()
  const largest = [createStep({ count: MAX_OPEN_TASKS_PER_JOB })]
  const fitting = Math.floor(MAX_OPEN_TASKS / MAX_OPEN_TASKS_PER_JOB)
  for (let i = 0; i < fitting; i++) t.match(state.apply(accept(createSpec(`a${i}`, largest))), { type: 'accepted' })
  t.same(state.apply(accept(createSpec('b', largest))), { type: 'refused', reason: 'too-many-tasks' })
  t.match(state.apply(accept(createSpec('a0', largest))), { type: 'accepted', isNew: false }, 'a job that is known is accepted again')
  state.apply({ type: 'cancel', job: asId<JobId>('a0'), atMs: 0 })
  t.match(state.apply(accept(createSpec('b', largest))), { type: 'accepted' })

  const restored = new SchedulingState()
  restored.restore(unpackValue(packValue(state.toSnapshot())))
  t.equal(restored.jobs.openTasks, state.jobs.openTasks)
})

t.test('a job that replicas could not keep or plan is invalid', async (t) => {
  const valid = [createStep()]
  checkJob({ steps: valid, recurrence: every(10_000) })
  const invalid: Array<readonly [RegExp, Parameters<typeof checkJob>[0]]> = [
    [/number of steps is 0/, { steps: [], recurrence: null }],
    [/number of tasks is 8194/, { steps: [createStep({ count: 4_097 }), createStep({ count: 4_097 })], recurrence: null }],
    [/task count of step 0 is 0.5/, { steps: [createStep({ count: 0.5 })], recurrence: null }],
    [/estimate of step 0 is Infinity/, { steps: [createStep({ estimateMs: Infinity })], recurrence: null }],
    [/dependency of step 1 is 7/, { steps: [createStep(), createStep({ dependsOn: [7] })], recurrence: null }],
    [/memMb of step 0 is -1/, { steps: [createStep({ resources: { cpuMilli: 1, memMb: -1, accelerators: 0 } })], recurrence: null }],
    [/number of occurrences is 10001/, { steps: valid, recurrence: every(10_001) }],
    [/interval is Infinity/, { steps: valid, recurrence: { ...every(2), intervalMs: Infinity } }],
    [/start time is Infinity/, { steps: valid, recurrence: { ...every(2), startAtMs: Infinity } }]
  ]
  for (const [message, size] of invalid) t.throws(() => checkJob(size), { kind: 'invalid-request', message })
})
