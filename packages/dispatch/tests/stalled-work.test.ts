import { asId, type JobId, type RackId } from '@ibisstair/common'
import { SchedulingState, type EndpointRecord, type JobSpec, type StepSpec } from '@ibisstair/jobs'
import t from 'tap'
import { accept, createEndpoint, createSpec, createStep, register } from '../../jobs/tests/support/samples.ts'
import { Planner } from '../src/index.ts'

const ACCELERATORS = 8
/** Within this time, work that fits must have started on an idle fleet. */
const MAX_STALL_MS = 3_000
const PASS_MS = 100

/** Racks with the given numbers of endpoints; every start succeeds, and nothing ends by itself. */
class Fleet {
  readonly state = new SchedulingState()
  readonly #planner = new Planner()
  #endpoints: EndpointRecord[] = []
  nowMs = 0

  constructor (racks: readonly number[]) {
    racks.forEach((count, rack) => {
      for (let i = 0; i < count; i++) {
        const endpoint = createEndpoint(`w${rack}-${i}`, { address: `10.0.${rack}.${i}:1`, rack: asId<RackId>(`r${rack}`), capacity: { cpuMilli: 32_000, memMb: 131_072, accelerators: ACCELERATORS } })
        this.#endpoints.push(endpoint)
        this.state.apply(register(endpoint))
      }
    })
  }

  submit (id: string, step: Partial<StepSpec>, part: Partial<JobSpec>): void {
    this.state.apply(accept(createSpec(id, [createStep({ resources: { cpuMilli: 1_000, memMb: 100, accelerators: 1 }, estimateMs: 2_500, ...step })], part), this.nowMs))
  }

  run (ms: number): void {
    const endMs = this.nowMs + ms
    for (; this.nowMs < endMs; this.nowMs += PASS_MS) {
      const { starts } = this.#planner.plan({
        state: this.state,
        fleet: { isUsable: () => true, getPenalty: () => 0, estimateRemainingMs: () => null },
        nowMs: this.nowMs,
        wallMs: this.nowMs,
        mayPreempt: true
      })
      this.state.apply({ type: 'start', groups: starts, atMs: this.nowMs })
    }
  }

  /** Takes away an endpoint on which the job runs. */
  removeEndpointOf (id: string): void {
    const index = this.#endpoints.findIndex(({ life }) => [...this.state.jobs.listRuns(life).keys()].some((task) => task.startsWith(`${id}.`)))
    const [{ life }] = this.#endpoints.splice(index, 1) as [EndpointRecord]
    this.state.apply({ type: 'remove-endpoint', life, atMs: this.nowMs, hasEnded: true, cause: 'left' })
  }

  countRunning (id: string): number {
    return this.state.jobs.get(asId<JobId>(id))!.activeRuns
  }
}

t.test('tightly coupled tasks that fit no single rack start at once on an idle fleet', async (t) => {
  // A rack that has become too small for the step was taken to be only busy, so that the job waited for ever.
  for (const priority of [0, 1, 2]) {
    const fleet = new Fleet([5, 5, 5])
    fleet.submit('a1', { count: 48, tightlyCoupled: true }, { priority })
    fleet.run(PASS_MS)
    t.ok(fleet.countRunning('a1') > 0, `priority ${priority}`)
  }
})

t.test('tightly coupled tasks whose rack is held by work that lasts start elsewhere', async (t) => {
  const fleet = new Fleet([5, 5])
  for (const rack of ['r0', 'r1']) fleet.submit(`b${rack}`, { count: 12, longRunning: true, dataRack: asId<RackId>(rack) }, { priority: 1 })
  fleet.run(PASS_MS)
  fleet.submit('a1', { count: 32, tightlyCoupled: true }, { priority: 1 })
  fleet.run(MAX_STALL_MS)
  t.equal(fleet.countRunning('a1'), 32)
})

t.test('a task that lasts starts again while a large gang waits', async (t) => {
  // Free capacity was kept for the gang without a limit in time, although it could never start.
  const fleet = new Fleet([6, 5, 5])
  fleet.submit('a1', { count: 4, longRunning: true, resources: { cpuMilli: 1_000, memMb: 100, accelerators: ACCELERATORS } }, { priority: 2 })
  fleet.run(PASS_MS)
  fleet.submit('b1', { count: 13, gang: true, resources: { cpuMilli: 1_000, memMb: 100, accelerators: ACCELERATORS } }, { priority: 1 })
  fleet.run(PASS_MS)
  fleet.removeEndpointOf('a1')
  fleet.run(MAX_STALL_MS)
  t.equal(fleet.countRunning('a1'), 4)
})

t.test('tasks that last start in another rack when an endpoint of their data rack is taken away', async (t) => {
  // The data rack could hold one task if it were idle, which it never is while the others last.
  const fleet = new Fleet([2, 5, 5])
  fleet.submit('a1', { count: 16, longRunning: true, dataRack: asId<RackId>('r0') }, { priority: 1 })
  fleet.run(PASS_MS)
  t.equal(fleet.countRunning('a1'), 16)
  fleet.removeEndpointOf('a1')
  fleet.run(MAX_STALL_MS)
  t.equal(fleet.countRunning('a1'), 16)
})

t.test('urgent work that lasts does not count as a new arrival again and again', async (t) => {
  // Its reserve kept most of an idle fleet free, so that deferrable work did not start.
  const fleet = new Fleet([5, 5, 5])
  fleet.submit('a1', { count: 20, longRunning: true, estimateMs: 60_000 }, { priority: 0 })
  fleet.submit('b1', { count: 24, longRunning: true, estimateMs: 60_000 }, { priority: 2 })
  fleet.run(40_000)
  t.equal(fleet.countRunning('b1'), 24)
  fleet.submit('c1', { count: 7, resources: { cpuMilli: 1_000, memMb: 100, accelerators: ACCELERATORS } }, { priority: 2 })
  fleet.run(MAX_STALL_MS)
  t.equal(fleet.countRunning('c1'), 7)
})

t.test('a deferrable job on an idle fleet starts although much urgent work is expected', async (t) => {
  const fleet = new Fleet([5, 5, 5])
  for (let i = 0; i < 8; i++) {
    fleet.submit(`a${i}`, { count: 40, estimateMs: 10_000 }, { priority: 0 })
    fleet.run(500)
    fleet.state.apply({ type: 'cancel', job: asId<JobId>(`a${i}`), atMs: fleet.nowMs })
    for (const { life } of [...fleet.state.endpoints.list()]) {
      const ends = [...fleet.state.jobs.listRuns(life).values()].map(({ task, run }) => ({ task, run, outcome: 'stopped' as const, checkpoint: '' }))
      fleet.state.apply({ type: 'end', endpoint: life, ends, atMs: fleet.nowMs })
    }
  }
  fleet.submit('b1', { count: 20, longRunning: true }, { priority: 2 })
  fleet.submit('c1', { count: 4, gang: true, resources: { cpuMilli: 1_000, memMb: 100, accelerators: ACCELERATORS } }, { priority: 2 })
  fleet.run(MAX_STALL_MS)
  t.equal(fleet.countRunning('b1'), 20)
  t.equal(fleet.countRunning('c1'), 4)
})
