import { asId, type JobId, type TaskId } from '@ibisstair/common'
import { SchedulingState, toTaskId, type ActiveRun, type EndpointRecord, type StateCommand, type StepSpec } from '@ibisstair/jobs'
import t from 'tap'
import { accept, createEndpoint, createSpec, createStep, orderDrain, register, start } from '../../jobs/tests/support/samples.ts'
import { selectDrainMoves } from '../src/drain-moves.ts'
import { Zones } from './support/zones.ts'

const lasting = (part: Partial<StepSpec> = {}): StepSpec => createStep({ count: 4, longRunning: true, checkpointing: true, ...part })

const createZoneEndpoint = (id: string, domain: string, accelerators = 8): EndpointRecord =>
  createEndpoint(id, { domain: asId(domain), address: `10.0.0.1:${id.charCodeAt(0)}`, capacity: { cpuMilli: 32_000, memMb: 131_072, accelerators } })

const a = createZoneEndpoint('a', 'z1')
const toTask = (job: string, index: number): TaskId => toTaskId({ job: asId<JobId>(job), occurrence: 0, step: 0, index })

const select = (state: SchedulingState, part: { readonly isSteady?: (run: ActiveRun) => boolean } = {}): TaskId[] =>
  selectDrainMoves({ state, isUsable: ({ domain }) => !state.domainDrains.isDrained(domain), isSteady: () => true, ...part }).map(({ task }) => task)

/** Two jobs, all of whose tasks run on the endpoint in z1, which is drained. */
const createState = (others: readonly EndpointRecord[], step: StepSpec): SchedulingState => {
  const state = new SchedulingState()
  const commands: StateCommand[] = [a, ...others].map((endpoint) => register(endpoint))
  commands.push(accept(createSpec('1', [step])), accept(createSpec('2', [step])), start('1', 0, 1, [a, a, a, a]), start('2', 0, 1, [a, a, a, a]))
  for (const command of commands) state.apply(command)
  orderDrain(state, 'z1', true)
  return state
}

t.test('one task of each step moves, and only while another endpoint has room for it', async (t) => {
  t.same(select(createState([createZoneEndpoint('b', 'z2')], lasting())), [toTask('1', 0), toTask('2', 0)])
  t.same(select(createState([createZoneEndpoint('b', 'z2', 1)], lasting())), [toTask('1', 0)], 'the room is given once')
  t.same(select(createState([createZoneEndpoint('b', 'z1')], lasting())), [], 'no room in the drained domain')
  t.same(select(createState([createZoneEndpoint('b', 'z2')], lasting({ requiredLabel: 'x' }))), [])
  t.same(select(createState([createEndpoint('b', { domain: asId('z2'), service: 'other' })], lasting())), [], 'no room in another service')
})

t.test('tasks without checkpoints and tasks that end by themselves stay', async (t) => {
  // Guards against stops that lose work for the drain.
  const others = [createZoneEndpoint('b', 'z2')]
  t.same(select(createState(others, lasting({ checkpointing: false }))), [])
  t.same(select(createState(others, lasting({ longRunning: false }))), [])
})

t.test('no further task of a step moves while one is being moved, waits or is not confirmed', async (t) => {
  const state = createState([createZoneEndpoint('b', 'z2')], lasting())
  t.same(select(state, { isSteady: ({ task }) => task !== toTask('1', 3) }), [toTask('2', 0)])
  state.apply({ type: 'end', endpoint: a.life, ends: [{ task: toTask('1', 0), run: 1, outcome: 'stopped', checkpoint: 'c' }], atMs: 0 })
  t.same(select(state), [toTask('2', 0)])
})

t.test('a task that was moved gets its room before another step is stopped', async (t) => {
  const state = createState([createZoneEndpoint('b', 'z2', 1)], lasting())
  state.apply({ type: 'end', endpoint: a.life, ends: [{ task: toTask('1', 0), run: 1, outcome: 'stopped', checkpoint: 'c' }], atMs: 0 })
  t.same(select(state), [])
})

t.test('a gang moves as a whole, or stays', async (t) => {
  t.same(select(createState([createZoneEndpoint('b', 'z2', 3)], lasting({ gang: true }))), [])
  t.same(select(createState([createZoneEndpoint('b', 'z2', 4)], lasting({ gang: true }))), [0, 1, 2, 3].map((i) => toTask('1', i)))
})

/** Returns the most tasks of the job that did not run at a time while the cluster ran. */
const runAndCountMissing = async (cluster: Zones, id: string, count: number, ms: number): Promise<number> => {
  let most = 0
  for (let i = 0; i < ms; i++) {
    await cluster.run(1)
    most = Math.max(most, count - cluster.state.jobs.get(asId(id))!.activeRuns)
  }
  return most
}

t.test('long-running tasks leave a drained domain one after the other, also under a new leader', async (t) => {
  for (const isReplaced of [false, true]) {
    const cluster = new Zones(1)
    cluster.submit('s1', [lasting({ count: 8, maxPerEndpoint: 2 })])
    await cluster.run(2_000)
    const zone = cluster.zoneWithMostRuns
    t.equal(cluster.countRunsIn(zone), 4)
    orderDrain(cluster.state, zone, true)
    if (isReplaced) cluster.timers.subscribe(300, () => cluster.elect())
    t.ok(await runAndCountMissing(cluster, 's1', 8, 8_000) <= 1, 'one task at a time')
    t.equal(cluster.countRunsIn(zone), 0)
    t.equal(cluster.state.jobs.get(asId('s1'))!.activeRuns, 8)
    t.ok(cluster.metrics.read().counters['domains.moved']! >= 4)
    t.same(cluster.fleet.violations, [])
  }
})
