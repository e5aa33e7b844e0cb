import { asId, type EndpointId } from '@ibisstair/common'
import { RandomSource } from '@ibisstair/timers'
import t from 'tap'
import { MAX_ESTIMATED_ENDPOINTS } from '../src/constants.ts'
import { SpeedEstimator } from '../src/index.ts'

const SPEEDS = [0.6, 1, 1.6]
const TASK_MS = 5_000
const toId = (i: number): EndpointId => asId<EndpointId>(`w${i}`)

/** Endpoints of known speeds that run steps of random work; time advances by a second with each step. */
class Fleet {
  readonly estimator = new SpeedEstimator()
  readonly #random: RandomSource
  readonly #tailShare: number
  nowMs = 0
  #steps = 0

  constructor (seed: number, readonly speeds: number[], tailShare = 0.03) {
    this.#random = new RandomSource(seed)
    this.#tailShare = tailShare
  }

  /** Runs a step of single tasks, one on each of the endpoints. */
  runStep (endpoints: readonly number[]): void {
    const workMs = this.#drawWorkMs()
    for (const i of endpoints) this.#end(i, [i], workMs * (0.85 + 0.3 * this.#random.float()) * this.#drawTail() / this.speeds[i]!, `${i}`)
    this.nowMs += 1_000
    this.#steps += 1
  }

  /** Runs a gang, all members of which report the same rate. */
  runGang (endpoints: readonly number[]): void {
    const runMs = this.#drawWorkMs() * this.#drawTail() / Math.min(...endpoints.map((i) => this.speeds[i]!))
    for (const i of endpoints) this.#end(i, endpoints, runMs, '1')
    this.nowMs += 1_000
    this.#steps += 1
  }

  get (i: number): number {
    return this.estimator.getSpeed(toId(i), this.nowMs)?.speed ?? 1
  }

  getConfidence (i: number): number {
    return this.estimator.getSpeed(toId(i), this.nowMs)?.confidence ?? 0
  }

  #drawWorkMs (): number {
    return TASK_MS * (0.5 + this.#random.float())
  }

  #drawTail (): number {
    return this.#random.float() < this.#tailShare ? 7 : 1
  }

  #end (i: number, members: readonly number[], runMs: number, run: string): void {
    this.estimator.recordEnd({ endpoint: toId(i), members: members.map(toId), service: 's', queue: 'q', step: `j${this.#steps}`, run, runMs, nowMs: this.nowMs })
  }
}

const range = (from: number, count: number): number[] => Array.from({ length: count }, (_, i) => from + i)

t.test('three runs of an endpoint tell 0.6 from 1 and 1.6, with tasks that take seven times as long', async (t) => {
  // Guards against speeds that are known only after a load period of 30 s is over.
  let wrong = 0
  for (let seed = 1; seed <= 5; seed++) {
    const fleet = new Fleet(seed, range(0, 30).map((i) => SPEEDS[i % 3]!))
    for (let round = 0; round < 3; round++) for (let first = 0; first < 30; first += 10) fleet.runStep(range(first, 10).map((i) => (i * (2 * round + 1) + 7 * round) % 30))
    wrong += fleet.speeds.filter((speed, i) => (speed < 0.77) !== (fleet.get(i) < 0.77)).length
  }
  t.ok(wrong <= 6, `${wrong} of 150 endpoints are on the wrong side`)
})

t.test('one run of a step with tasks on other endpoints counts, and a lone run says less', async (t) => {
  const fleet = new Fleet(1, [0.6, 1, 1, 1, 1, 1], 0)
  fleet.runStep(range(0, 6))
  t.ok(fleet.get(0) < 0.8 && fleet.getConfidence(0) > 0.5)
  const lone = new Fleet(1, [0.6], 0)
  lone.runStep([0])
  t.equal(lone.get(0), 1, 'nothing to compare with')
  t.equal(lone.getConfidence(0), 0)
})

t.test('no endpoint of a uniform fleet is taken for a slow one', async (t) => {
  // Guards against uniform fleets being placed by noise.
  for (let seed = 1; seed <= 5; seed++) {
    const fleet = new Fleet(seed, range(0, 24).map(() => 1))
    for (let step = 0; step < 30; step++) {
      fleet.runStep(range(step * 5, 8).map((i) => i % 24))
      t.same(range(0, 24).filter((i) => fleet.getConfidence(i) >= 0.5 && fleet.get(i) < 0.7), [], `seed ${seed}, step ${step}`)
    }
  }
})

t.test('the estimate follows an endpoint that turns slow and recovers', async (t) => {
  const fleet = new Fleet(3, range(0, 12).map(() => 1), 0)
  const runSteps = (steps: number): void => { for (let i = 0; i < steps; i++) fleet.runStep([0, ...range(1 + (5 * i) % 7, 4)]) }
  runSteps(10)
  t.ok(fleet.get(0) > 0.85)
  fleet.speeds[0] = 0.5
  runSteps(12)
  t.ok(fleet.get(0) < 0.7, `${fleet.get(0)} after it turned slow`)
  fleet.speeds[0] = 1
  runSteps(20)
  t.ok(fleet.get(0) > 0.8, `${fleet.get(0)} after it recovered`)
})

t.test('a slow gang points at its unknown members, and a fast one clears all of them', async (t) => {
  const fleet = new Fleet(4, range(0, 16).map((i) => i === 0 ? 0.5 : 1), 0)
  for (let i = 0; i < 6; i++) fleet.runStep(range(1, 15))
  for (let i = 0; i < 12; i++) fleet.runGang(i % 3 === 0 ? [0, 1 + i] : [1 + i, 2 + i])
  t.ok(fleet.get(0) < 0.75, `${fleet.get(0)} as the only unknown member of slow gangs`)
  t.ok(range(1, 15).every((i) => fleet.get(i) > 0.85), 'known members are not blamed')
})

t.test('rates that make no sense are ignored', async (t) => {
  const fleet = new Fleet(5, [1, 1, 1, 1], 0)
  for (let i = 0; i < 4; i++) fleet.runStep([0, 1, 2, 3])
  const before = fleet.get(0)
  for (const msPerPercent of [NaN, -1, 0, Infinity, 1e12]) {
    fleet.estimator.recordRate({ endpoint: toId(0), service: 's', queue: 'q', step: 'x', run: `${msPerPercent}`, msPerPercent, observedMs: 1_000, nowMs: fleet.nowMs })
  }
  fleet.nowMs += 1_000
  t.equal(fleet.get(0), before)
  t.equal(fleet.estimator.getSpeed(asId<EndpointId>('w0-new'), fleet.nowMs), null, 'another id is unknown')
})

t.test('a copy tells a new leader the speeds, new observations overrule it, and a broken copy is left out', async (t) => {
  const fleet = new Fleet(6, range(0, 12).map((i) => SPEEDS[i % 3]!), 0)
  for (let i = 0; i < 6; i++) fleet.runStep(range(0, 12))
  const snapshot = fleet.estimator.toSnapshot(fleet.nowMs)
  const next = new SpeedEstimator()
  next.restore(snapshot, fleet.nowMs)
  for (const i of range(0, 12)) t.ok(Math.abs(Math.log(next.getSpeed(toId(i), fleet.nowMs)!.speed / fleet.get(i))) < 0.1, `w${i}`)
  for (const i of [2, 5, 8]) next.recordEnd({ endpoint: toId(i), service: 's', queue: 'q', step: 'x', run: `${i}`, runMs: TASK_MS, nowMs: fleet.nowMs + 1_000 })
  for (const i of [2, 5, 8]) t.ok(next.getSpeed(toId(i), fleet.nowMs + 1_000)!.speed > 1.3, `w${i} is not usual because it is among the first that are observed`)
  const broken = new SpeedEstimator()
  broken.restore({ ids: 'w1 w2 w3', speeds: [-5, NaN], confidences: '9x' }, 0)
  t.same(range(1, 3).map((i) => broken.getSpeed(toId(i), 0)), [null, null, null])
})

t.test('the number of endpoints is bounded; the one observed the longest ago is dropped', async (t) => {
  const estimator = new SpeedEstimator()
  const count = MAX_ESTIMATED_ENDPOINTS + 10
  for (let i = 0; i < count; i++) estimator.recordEnd({ endpoint: toId(i), service: 's', queue: 'q', step: `j${i >> 3}`, run: `${i}`, runMs: TASK_MS, nowMs: i })
  t.equal(estimator.getSpeed(toId(9), count), null)
  t.not(estimator.getSpeed(toId(10), count), null)
})
