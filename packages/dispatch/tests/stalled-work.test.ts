import { asId, type JobId, type RackId } from '@ibisstair/common'
import { SchedulingState } from '@ibisstair/jobs'
import t from 'tap'
import { accept, createEndpoint, createSpec, createStep, register } from '../../jobs/tests/support/samples.ts'
import { Planner } from '../src/index.ts'
import { createFleetView } from './support/fleet-view.ts'
import { ACCELERATORS, Fleet } from './support/planned-fleet.ts'
import { runRandomDay } from './support/random-fleet.ts'

/** Within this time, work that fits must have started on an idle fleet. */
const MAX_STALL_MS = 3_000
const PASS_MS = 100

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

const WHOLE_ENDPOINT = { cpuMilli: 1_000, memMb: 100, accelerators: ACCELERATORS }

/** Leaves nothing free on its endpoint, whatever is measured. */
const FULL_ENDPOINT = { cpuMilli: 32_000, memMb: 131_072, accelerators: ACCELERATORS }

/** Stalls of 3 s and more while the planner may use endpoints with room for the work twice over. */
const listStalls = ({ observer }: Fleet): string[] => observer.stalls.filter(({ room }) => room === 'usable').map(({ work, lastedMs }) => `${work} for ${lastedMs} ms`)

/** Urgent jobs that are cancelled at once, so that many more like them are expected. */
const submitUrgentBursts = (fleet: Fleet, count: number): void => {
  for (let i = 0; i < 8; i++) {
    fleet.submit(`u${i}`, { count, estimateMs: 12_000 }, { priority: 0 })
    fleet.run(PASS_MS)
    fleet.cancel(`u${i}`)
    fleet.run(400)
  }
}

/** Six racks with less than a third of the endpoints in use, of which three racks get no new work. */
const createHalfUsableFleet = (): Fleet => {
  const fleet = new Fleet([5, 5, 5, 5, 5, 5])
  for (const rack of [0, 1, 2]) fleet.submit(`b${rack}`, { count: 3, longRunning: true, dataRack: asId<RackId>(`r${rack}`), resources: FULL_ENDPOINT }, { priority: 1 })
  fleet.run(PASS_MS)
  fleet.takeOutOfUse([3, 4, 5].flatMap((rack) => fleet.listRack(rack)), 60_000)
  return fleet
}

for (const [name, step] of Object.entries({
  'tightly coupled tasks start across racks': { count: 18, tightlyCoupled: true },
  'a tightly coupled gang starts across racks': { count: 18, gang: true, tightlyCoupled: true },
  'a gang starts far from its data': { count: 20, gang: true, dataRack: asId<RackId>('r0') }
})) {
  t.test(`${name} on an idle fleet of which half is out of use`, async (t) => {
    // Only usable endpoints counted, so that the fleet was taken to be busy and the job waited for ever.
    for (const priority of [1, 2]) {
      const fleet = createHalfUsableFleet()
      fleet.submit('a1', step, { priority })
      fleet.run(MAX_STALL_MS)
      t.equal(fleet.countRunning('a1'), step.count, `priority ${priority}`)
    }
  })
}

t.test('a deferrable gang starts on an idle fleet of which half is out of use', async (t) => {
  // The reserve for expected urgent work held it back without a limit in time, since the usable half was busy.
  const fleet = createHalfUsableFleet()
  fleet.submit('b9', { count: 20, longRunning: true }, { priority: 2 })
  fleet.run(PASS_MS)
  submitUrgentBursts(fleet, 40)
  fleet.submit('a1', { count: 14, gang: true }, { priority: 2 })
  fleet.run(MAX_STALL_MS + PASS_MS)
  t.equal(fleet.countRunning('a1'), 14)
})

t.test('a gang starts far from its data while most accelerators but few cores and little memory are in use', async (t) => {
  // The fleet was taken to be busy by its accelerators alone.
  for (const priority of [1, 2]) {
    const fleet = new Fleet([4, 4, 4, 4])
    fleet.submit('b1', { count: 16, maxPerEndpoint: 1, longRunning: true, resources: { cpuMilli: 1_000, memMb: 100, accelerators: 6 } }, { priority: 1 })
    fleet.run(PASS_MS)
    fleet.submit('a1', { count: 12, gang: true, dataRack: asId<RackId>('r0') }, { priority })
    fleet.run(MAX_STALL_MS)
    t.equal(fleet.countRunning('a1'), 12, `priority ${priority}`)
  }
})

t.test('a deferrable gang starts while most accelerators but few cores and little memory are in use', async (t) => {
  // The reserve for expected urgent work held it back without a limit in time.
  const fleet = new Fleet([4, 4, 4, 4])
  fleet.submit('b1', { count: 16, maxPerEndpoint: 1, longRunning: true, resources: { cpuMilli: 1_000, memMb: 100, accelerators: 5 } }, { priority: 1 })
  fleet.submit('b2', { count: 30, longRunning: true }, { priority: 2 })
  fleet.run(2_500)
  submitUrgentBursts(fleet, 12)
  fleet.submit('a1', { count: 8, gang: true }, { priority: 2 })
  fleet.run(MAX_STALL_MS)
  t.equal(fleet.countRunning('a1'), 8)
})

t.test('tightly coupled tasks start across racks of endpoints without accelerators while most memory is free', async (t) => {
  // The fleet was taken to be busy by its cores alone.
  for (const priority of [1, 2]) {
    const fleet = new Fleet([4, 4, 4, 4], { capacity: { cpuMilli: 32_000, memMb: 131_072, accelerators: 0 } })
    fleet.submit('b1', { count: 16, maxPerEndpoint: 1, longRunning: true, resources: { cpuMilli: 20_000, memMb: 100, accelerators: 0 } }, { priority: 1 })
    fleet.run(PASS_MS)
    fleet.submit('a1', { count: 20, tightlyCoupled: true, resources: { cpuMilli: 3_000, memMb: 100, accelerators: 0 } }, { priority })
    fleet.run(MAX_STALL_MS)
    t.equal(fleet.countRunning('a1'), 20, `priority ${priority}`)
  }
})

for (const [name, step] of Object.entries({
  'a gang far from its data': { count: 15, gang: true, dataRack: asId<RackId>('r0') },
  'single tasks far from their data': { count: 12, dataRack: asId<RackId>('r0') },
  'a tightly coupled gang across racks': { count: 12, gang: true, tightlyCoupled: true }
})) {
  t.test(`each occurrence of a repeated job starts ${name} while an earlier one runs`, async (t) => {
    // The runs of the whole job counted, so that a later occurrence waited until the earlier ones had ended.
    for (const priority of [0, 1, 2]) {
      const fleet = new Fleet([2, 2, 2, 2, 2, 2])
      for (const rack of [2, 3, 4, 5]) fleet.submit(`b${rack}`, { count: 5, longRunning: true, dataRack: asId<RackId>(`r${rack}`) }, { priority: 1 })
      fleet.run(PASS_MS)
      fleet.submit('a1', step, { priority, recurrence: { occurrences: 3, startAtMs: 0, intervalMs: 1_000 } })
      fleet.run(8_000)
      t.strictSame(listStalls(fleet), [], `priority ${priority}`)
    }
  })
}

t.test('each occurrence of a repeated deferrable gang starts on an idle fleet while an earlier one runs', async (t) => {
  // The runs of the whole job counted, so that the reserve for expected urgent work held back the later occurrences.
  const fleet = new Fleet([4, 4, 4, 4])
  submitUrgentBursts(fleet, 40)
  fleet.submit('a1', { count: 10, gang: true }, { priority: 2, recurrence: { occurrences: 5, startAtMs: fleet.nowMs, intervalMs: 500 } })
  fleet.run(8_000)
  t.strictSame(listStalls(fleet), [])
})

t.test('tasks that last start far from their data while others of their step start near it one by one', async (t) => {
  // Each start of one of them began the patience of all anew.
  for (const priority of [0, 1, 2]) {
    const fleet = new Fleet([2, 5, 5], { endsRuns: true })
    for (let i = 0; i < 16; i++) fleet.submit(`b${i}`, { dataRack: asId<RackId>('r0'), estimateMs: 1_000 * (i + 1) }, { priority: 0 })
    fleet.run(PASS_MS)
    fleet.submit('a1', { count: 16, longRunning: true, dataRack: asId<RackId>('r0') }, { priority })
    fleet.run(20_000)
    t.strictSame(listStalls(fleet), [], `priority ${priority}`)
  }
})

t.test('a task that lasts starts again while another of its step is on probation', async (t) => {
  // All others of the step waited until the suspect had passed its probation, here 16 s.
  for (const priority of [0, 1, 2]) {
    const fleet = new Fleet([4, 4])
    fleet.submit('a1', { count: 6, longRunning: true, resources: WHOLE_ENDPOINT }, { priority })
    fleet.run(8_000)
    fleet.crash(fleet.findEndpointOf('a1')!)
    fleet.run(8_000)
    fleet.crash(fleet.findEndpointOf('a1', { startedAfterMs: 1_000 })!)
    fleet.run(500)
    fleet.remove(fleet.findEndpointOf('a1')!)
    fleet.run(20_000)
    t.strictSame(listStalls(fleet), [], `priority ${priority}`)
  }
})

for (const [name, longRunning] of [['a task', false], ['a task that lasts', true]] as const) {
  t.test(`${name} starts beside a suspect on the only endpoint with its label`, async (t) => {
    // The endpoint was kept for the suspect until it had passed its probation, here 16 s.
    for (const priority of [0, 1, 2]) {
      const fleet = new Fleet([4, 4])
      for (const endpoint of fleet.endpoints.slice(0, 3)) fleet.changeLabels(endpoint, ['fast'])
      fleet.submit('b1', { longRunning: true, requiredLabel: 'fast' }, { priority: 1 })
      for (let i = 0; i < 2; i++) {
        fleet.run(8_000)
        fleet.crash(fleet.findEndpointOf('b1')!)
      }
      fleet.run(500)
      const kept = fleet.findEndpointOf('b1')!
      for (const endpoint of fleet.endpoints) if (endpoint !== kept && endpoint.labels.includes('fast')) fleet.remove(endpoint)
      fleet.submit('a1', { longRunning, requiredLabel: 'fast' }, { priority })
      fleet.run(20_000)
      t.strictSame(listStalls(fleet), [], `priority ${priority}`)
    }
  })
}

t.test('a suspect whose starts are refused does not wait for an empty endpoint anew each time', async (t) => {
  // No endpoint is empty. Each refused start took the work out of the list for a pass, so that the second of
  // MAX_SUSPECT_WAIT_MS began anew.
  const fleet = new Fleet([4])
  fleet.submit('s1', { count: 1, longRunning: true }, { priority: 1 })
  fleet.run(8_000)
  for (let i = 0; i < 2; i++) {
    fleet.crash(fleet.findEndpointOf('s1')!)
    fleet.run(i === 0 ? 8_000 : 0)
  }
  fleet.submit('b1', { count: 4, maxPerEndpoint: 1, longRunning: true }, { priority: 0 })
  fleet.run(0)
  let attempts = 0
  for (let ms = 0; ms < 4_000; ms += PASS_MS) {
    fleet.run(PASS_MS)
    const endpoint = fleet.findEndpointOf('s1')
    if (!endpoint) continue
    attempts += 1
    fleet.run(PASS_MS)
    ms += PASS_MS
    const ends = [...fleet.state.jobs.listRuns(endpoint.life).values()].filter(({ task }) => task.startsWith('s1.')).map(({ task, run }) => ({ task, run, outcome: 'stopped' as const, checkpoint: '' }))
    fleet.state.apply({ type: 'end', endpoint: endpoint.life, ends, atMs: fleet.nowMs })
  }
  t.ok(attempts > 8, `${attempts} attempts in 4 s`)
})

t.test('urgent work looks for other victims when the ones it has chosen do not end', async (t) => {
  // The claim expires after 1.5 s, and the search chose the same runs again: nothing remembered that a stop had had no effect.
  const state = new SchedulingState()
  const planner = new Planner()
  for (let i = 0; i < 3; i++) state.apply(register(createEndpoint(`w${i}`, { address: `10.0.0.${i}:1` })))
  const whole = { cpuMilli: 1_000, memMb: 100, accelerators: ACCELERATORS }
  const fleet = createFleetView()
  const preempted = new Set<string>()
  const plan = (nowMs: number): void => {
    const { starts, preempted: stopped } = planner.plan({ state, fleet, nowMs, wallMs: nowMs, mayPreempt: true })
    state.apply({ type: 'start', groups: starts, atMs: nowMs })
    for (const task of stopped) preempted.add(task)
  }
  for (let i = 0; i < 3; i++) {
    state.apply(accept(createSpec(`b${i}`, [createStep({ resources: whole, estimateMs: 60_000 })], { priority: 2 - Math.min(i, 1) }), 0))
    plan(100 * i)
  }
  plan(400)
  state.apply(accept(createSpec('a1', [createStep({ resources: whole, estimateMs: 60_000 })], { priority: 0 }), 500))
  for (let nowMs = 500; nowMs < 20_000; nowMs += PASS_MS) plan(nowMs)
  t.ok(preempted.size > 1, `in 20 s only ${[...preempted].join()} of 3 runs was to be stopped`)
})

t.test('deferrable work starts on a fleet that is idle in cores and memory while gangs wait for accelerators (seed 606)', async (t) => {
  // The capacity that is reserved for the gangs held it back, for as long as they waited.
  const { observer } = runRandomDay(606)
  t.strictSame(observer.stalls.filter(({ room }) => room === 'usable').map(({ work, lastedMs }) => `${work} waits for ${lastedMs} ms`), [])
})
