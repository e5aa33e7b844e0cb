import t from 'tap'
import { NO_SCHEDULING_POLICY } from '../src/index.ts'
import { PlanningPass } from '../src/planning-pass.ts'
import { listReadyWork, type ReadyWork } from '../src/ready-work.ts'
import { findStarvingGang, selectReservingGangs } from '../src/reserving-gangs.ts'
import { createFleetView } from './support/fleet-view.ts'
import { ACCELERATORS, Fleet } from './support/planned-fleet.ts'

const WHOLE_ENDPOINT = { cpuMilli: 1_000, memMb: 100, accelerators: ACCELERATORS }
const FAIR_SHARES = { ...NO_SCHEDULING_POLICY, fairShares: true }
/** Objective of a gang that runs for 1 s with a stretch of 1 and a target latency of 0. */
const OBJECTIVE_MS = 1_000

const createPass = ({ state, nowMs }: Fleet, policy = FAIR_SHARES): PlanningPass =>
  new PlanningPass({ state, fleet: createFleetView(), nowMs, wallMs: nowMs, mayPreempt: true, policy })

const listReady = ({ state, nowMs }: Fleet): ReadyWork[] => [...state.jobs.listActive()].flatMap((job) => listReadyWork(job, nowMs))

const submitGang = (fleet: Fleet, id: string, stretch = 1): void =>
  fleet.submit(id, { count: 2, gang: true, resources: WHOLE_ENDPOINT, estimateMs: OBJECTIVE_MS }, { priority: 1, stretch, targetLatencyMs: 0 })

t.test('one of three reservations is for the gang that has waited longest relative to its objective', async (t) => {
  // In the order of the pass it may come after any number of others for ever.
  const fleet = new Fleet([1])
  for (const id of ['g1', 'g2', 'g3']) submitGang(fleet, id, 10)
  fleet.nowMs = 100
  submitGang(fleet, 'g4')
  fleet.nowMs = 1_000
  const select = (policy = FAIR_SHARES): string[] => selectReservingGangs(listReady(fleet), createPass(fleet, policy)).map(({ job }) => job.spec.id)
  t.same(select(), ['g1', 'g2', 'g4'])
  t.same(select(NO_SCHEDULING_POLICY), ['g1', 'g2', 'g3'])
})

t.test('a gang starves from three objectives on, unless tasks that last leave no room for it', async (t) => {
  const fleet = new Fleet([2])
  submitGang(fleet, 'g1')
  const find = (policy = FAIR_SHARES): string | undefined => findStarvingGang(listReady(fleet), createPass(fleet, policy))?.job.spec.id
  fleet.nowMs = 3 * OBJECTIVE_MS - 1
  t.equal(find(), undefined)
  fleet.nowMs = 3 * OBJECTIVE_MS
  t.equal(find(), 'g1')
  t.equal(find(NO_SCHEDULING_POLICY), undefined)
  fleet.submit('l1', { resources: WHOLE_ENDPOINT, longRunning: true }, { priority: 0 })
  fleet.run(100)
  t.equal(fleet.countRunning('l1'), 1)
  t.equal(find(), undefined, 'a reservation would keep others out in vain')
})
