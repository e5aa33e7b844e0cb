import { asId, type JobId } from '@ibisstair/common'
import { packValue, unpackValue } from '@ibisstair/storage'
import t from 'tap'
import { SchedulingState, type EndpointRecord, type Silence, type StateCommand, type StateResult } from '../src/index.ts'
import { accept, createEndpoint, createSpec, createStep, end, register, start, toEnd } from './support/samples.ts'

const job = asId<JobId>('1')
const ADDRESSES = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1']

/** A life of the endpoint at an address; each restart has a new id. */
const createLife = (address: number, life: number, overrides: Partial<EndpointRecord> = {}): EndpointRecord =>
  createEndpoint(`e${address}-${life}`, { address: ADDRESSES[address]!, bornMs: life, ...overrides })

const silentSince = ({ life }: EndpointRecord, sinceMs: number | null, together: readonly EndpointRecord[] = []): Silence =>
  ({ life, sinceMs, together: together.map((other) => other.life) })

class Fixture {
  state = new SchedulingState()
  #run = 0
  nowMs = 0

  constructor (tasks = 1) {
    for (const address of [0, 1, 2, 3]) this.apply(register(createLife(address, 1)))
    this.apply(accept(createSpec('1', [createStep({ count: tasks })])))
  }

  apply (command: StateCommand): StateResult {
    return this.state.apply(command)
  }

  /** Starts the task on an endpoint. */
  start (endpoint: EndpointRecord): void {
    this.apply(start('1', 0, ++this.#run, [endpoint], this.nowMs))
  }

  /** The endpoint falls silent after `ranMs` and returns as another incarnation. */
  crash (endpoint: EndpointRecord, successor: EndpointRecord, ranMs = 20): StateResult {
    const silence = silentSince(endpoint, this.nowMs + ranMs)
    this.nowMs += 3_000
    return this.apply({ type: 'register-endpoint', endpoint: successor, atMs: this.nowMs, silences: [silence] })
  }

  crashUnderTask (address: number): StateResult {
    this.start(createLife(address, 1))
    return this.crash(createLife(address, 1), createLife(address, 2))
  }

  get run (): number {
    return this.#run
  }

  get status (): string | undefined {
    return this.state.jobs.get(job)?.status
  }
}

t.test('a job is given up when its task alone is to blame for two crashes, and the result tells why', async (t) => {
  const fixture = new Fixture()
  t.match(fixture.crashUnderTask(0), { replaced: [{ hasCrashed: true, lostRuns: [{ blame: 'sole', ranMs: 20 }], givenUp: [] }] })
  t.equal(fixture.status, 'running')
  t.match(fixture.crashUnderTask(1), { replaced: [{ givenUp: [{ job, task: '1.0.0.0', crashes: [{ address: ADDRESSES[0] }, { address: ADDRESSES[1] }] }] }] })
  t.equal(fixture.status, 'failed')
  t.equal(fixture.state.jobs.get(job)!.crashedTask, '1.0.0.0')
})

t.test('crashes are kept in snapshots', async (t) => {
  const fixture = new Fixture()
  fixture.crashUnderTask(0)
  const snapshot = unpackValue(packValue(fixture.state.toSnapshot()))
  fixture.state = new SchedulingState()
  fixture.state.restore(snapshot)
  fixture.crashUnderTask(1)
  t.equal(fixture.status, 'failed')
  const again = new SchedulingState()
  again.restore(unpackValue(packValue(fixture.state.toSnapshot())))
  t.equal(again.jobs.get(job)!.crashedTask, '1.0.0.0')
})

t.test('a snapshot of a build that did not count crashes can be read', async (t) => {
  const fixture = new Fixture()
  fixture.start(createLife(0, 1))
  const { silentLosses, ...snapshot } = JSON.parse(JSON.stringify(fixture.state.toSnapshot()))
  for (const { occurrences } of snapshot.jobs) {
    for (const [, { steps }] of occurrences) {
      for (const step of steps) {
        delete step.hasCrashes
        for (const task of step.tasks) delete task.crashes
      }
    }
  }
  fixture.state = new SchedulingState()
  fixture.state.restore(snapshot)
  fixture.crash(createLife(0, 1), createLife(0, 2))
  fixture.crashUnderTask(1)
  t.equal(fixture.status, 'failed')
})

t.test('a crash counts when the runs were lost with the lease before the endpoint returned', async (t) => {
  const fixture = new Fixture()
  for (const address of [0, 1]) {
    const endpoint = createLife(address, 1)
    fixture.start(endpoint)
    const silence = silentSince(endpoint, fixture.nowMs + 20)
    fixture.nowMs += 7_000
    fixture.apply({ type: 'end', endpoint: endpoint.life, ends: [toEnd('1', 0, 0, fixture.run, 'lost')], atMs: fixture.nowMs, silence })
    t.equal(fixture.status, 'running')
    fixture.nowMs += 1_000
    fixture.apply({ type: 'remove-endpoint', life: endpoint.life, atMs: fixture.nowMs, hasEnded: true, cause: 'replaced', silence })
  }
  t.equal(fixture.status, 'failed')
})

t.test('runs that were lost with their lease do not count when the endpoint reports again', async (t) => {
  const fixture = new Fixture()
  for (const address of [0, 1]) {
    const endpoint = createLife(address, 1)
    fixture.start(endpoint)
    const silence = silentSince(endpoint, fixture.nowMs + 20)
    fixture.nowMs += 7_000
    fixture.apply({ type: 'end', endpoint: endpoint.life, ends: [toEnd('1', 0, 0, fixture.run, 'lost')], atMs: fixture.nowMs, silence })
    // It answers again and crashes only later.
    fixture.nowMs += 5_000
    fixture.apply({ type: 'register-endpoint', endpoint: createLife(address, 2), atMs: fixture.nowMs, silences: [silentSince(endpoint, fixture.nowMs - 500)] })
  }
  t.equal(fixture.status, 'running')
  const endpoint = createLife(2, 1)
  fixture.start(endpoint)
  fixture.apply({ type: 'end', endpoint: endpoint.life, ends: [toEnd('1', 0, 0, fixture.run, 'lost')], atMs: fixture.nowMs, silence: silentSince(endpoint, fixture.nowMs + 20) })
  fixture.apply(end(endpoint, [toEnd('1', 0, 0, fixture.run, 'lapsed')], fixture.nowMs))
  t.match(fixture.crash(endpoint, createLife(2, 2)), { replaced: [{ hasCrashed: true, lostRuns: [] }] })
  t.equal(fixture.status, 'running')
})

t.test('an endpoint that leaves, that drains or that is only silent has not crashed', async (t) => {
  const fixture = new Fixture()
  const endings = [
    (endpoint: EndpointRecord): StateCommand => ({ type: 'remove-endpoint', life: endpoint.life, atMs: 0, hasEnded: true, cause: 'left' }),
    (endpoint: EndpointRecord): StateCommand => ({ type: 'remove-endpoint', life: endpoint.life, atMs: 0, hasEnded: false }),
    (endpoint: EndpointRecord): StateCommand => register({ ...endpoint, ...createLife(2, 2) })
  ]
  endings.forEach((toCommand, address) => {
    const endpoint = createLife(address, 1)
    fixture.start(endpoint)
    if (address === 2) fixture.apply(register({ ...endpoint, draining: true }))
    const result = fixture.apply(toCommand(endpoint))
    const ended = result.type === 'removed' ? result.ended : result.type === 'registered' ? result.replaced[0] : null
    t.match(ended, { hasCrashed: false, lostRuns: [{ blame: null }], givenUp: [] })
  })
  t.equal(fixture.status, 'running')
})

t.test('a run that outlasts the probation clears its task, however it ends', async (t) => {
  const fixture = new Fixture()
  fixture.crashUnderTask(0)
  fixture.start(createLife(1, 1))
  fixture.nowMs += 5_000
  fixture.apply(end(createLife(1, 1), [toEnd('1', 0, 0, fixture.run, 'stopped')], fixture.nowMs))
  t.same(fixture.state.jobs.get(job)!.findTask(0, 0, 0)!.crashes, [])
  fixture.crashUnderTask(2)
  t.equal(fixture.status, 'running')
})

t.test('endpoints that fall silent together blame no job, unless they all run it', async (t) => {
  const fixture = new Fixture(3)
  const endpoints = [0, 1, 2].map((address) => createLife(address, 1))
  fixture.apply(start('1', 0, 1, endpoints))
  const together = silentSince(endpoints[0]!, 20, endpoints.slice(1))
  t.match(fixture.apply({ type: 'register-endpoint', endpoint: createLife(0, 2), atMs: 3_000, silences: [together] }), { replaced: [{ lostRuns: [{ blame: 'sole' }] }] })
  const other = new Fixture(1)
  other.start(endpoints[0]!)
  t.match(other.apply({ type: 'register-endpoint', endpoint: createLife(0, 2), atMs: 3_000, silences: [together] }), { replaced: [{ lostRuns: [{ blame: 'outside' }] }] })
})

t.test('a clock that was set back during a run does not make it look as if it had just started', async (t) => {
  const fixture = new Fixture()
  fixture.nowMs = 10_000
  fixture.start(createLife(0, 1))
  t.match(fixture.crash(createLife(0, 1), createLife(0, 2), -5_000), { replaced: [{ lostRuns: [{ ranMs: null, blame: 'possible' }] }] })
})
