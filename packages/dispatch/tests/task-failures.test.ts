import { asId, type JobId } from '@ibisstair/common'
import { toEndpointIncarnation, toTaskId, type EndpointRecord } from '@ibisstair/jobs'
import t from 'tap'
import { createEndpoint } from '../../jobs/tests/support/samples.ts'
import { TaskFailures } from '../src/task-failures.ts'

const [w1, w2, w3] = ['w1', 'w2', 'w3'].map((id) => createEndpoint(id)) as [EndpointRecord, EndpointRecord, EndpointRecord]
const BAD_JOB = asId<JobId>('bad')
const BAD_STEP = 'bad.0.0'

class Fixture {
  readonly failures = new TaskFailures()

  end (endpoint: EndpointRecord, job: string, run: number, isDone: boolean, index = 0, isGang = false): void {
    this.failures.recordEnd({ endpoint, task: toTaskId({ job: asId<JobId>(job), occurrence: 0, step: 0, index }), run, isDone, isGang })
  }

  /** Other jobs succeed on the endpoints. */
  succeed (...endpoints: readonly EndpointRecord[]): void {
    for (const endpoint of endpoints) for (let i = 0; i < 4; i++) this.end(endpoint, `ok-${endpoint.life}-${i}`, 1, true)
  }

  get isHopeless (): boolean {
    return this.failures.isHopeless(BAD_JOB, BAD_STEP, 0, false)
  }
}

t.test('a task that fails on two endpoints on which other jobs succeed is hopeless', async (t) => {
  const fixture = new Fixture()
  fixture.succeed(w1, w2)
  fixture.end(w1, 'bad', 1, false)
  t.notOk(fixture.isHopeless, 'one endpoint may have been disturbed')
  fixture.end(w2, 'bad', 2, false)
  t.ok(fixture.isHopeless)
  t.same(fixture.failures.listHopeless(), ['bad.0.0.0'])
  t.notOk(fixture.failures.isHopeless(BAD_JOB, BAD_STEP, 1, false), 'other tasks of the step are not')
  fixture.end(w3, 'bad', 3, true)
  t.notOk(fixture.isHopeless, 'it has succeeded')
  t.notOk(fixture.failures.hasFailures(BAD_STEP))
})

t.test('failures on bad endpoints do not count against a task', async (t) => {
  // An endpoint that fails everything once made every job that ran there look hopeless.
  const fixture = new Fixture()
  fixture.succeed(w1)
  for (const endpoint of [w2, w3]) for (let i = 0; i < 4; i++) fixture.end(endpoint, `other-${i}`, 1, false)
  for (const [i, endpoint] of [w1, w2, w3].entries()) fixture.end(endpoint, 'bad', i + 1, false)
  t.notOk(fixture.isHopeless)
  // An endpoint that fails every second run is no witness either.
  for (let i = 0; i < 16; i++) fixture.end(w2, `mixed-${i}`, 1, i % 2 === 0)
  t.notOk(fixture.isHopeless)
  for (let i = 0; i < 16; i++) fixture.end(w2, `recovered-${i}`, 1, true)
  t.ok(fixture.isHopeless, 'an endpoint that has recovered is')
})

t.test('ends that are reported again, and endpoints that flap, do not add up', async (t) => {
  const fixture = new Fixture()
  fixture.succeed(w1, w2)
  for (let i = 0; i < 3; i++) fixture.end(w1, 'bad', 1, false)
  t.notOk(fixture.isHopeless, 'the answer to a report was lost, and it comes again')
  fixture.end(w2, 'bad', 1, false)
  t.notOk(fixture.isHopeless, 'a run fails once, wherever it is reported')
  const restarted = { ...w1, life: toEndpointIncarnation(w1.id, 99), bornMs: 99 }
  fixture.succeed(restarted)
  fixture.end(restarted, 'bad', 2, false)
  t.notOk(fixture.isHopeless, 'two lives of one endpoint are one endpoint')
  const reborn = { ...w2, life: toEndpointIncarnation(w2.id, 99), bornMs: 99 }
  fixture.end(reborn, 'bad', 3, false)
  t.notOk(fixture.isHopeless, 'a new life has to prove itself')
  fixture.end(reborn, 'repeated', 1, true)
  fixture.end(reborn, 'repeated', 1, true)
  t.notOk(fixture.isHopeless, 'a repeated success is one')
  fixture.succeed(reborn)
  t.ok(fixture.isHopeless)
  fixture.failures.removeEndpoint(reborn.life)
  t.notOk(fixture.isHopeless, 'an endpoint that is gone is no witness')
})

t.test('the members of a gang fail together, and jobs that have ended are forgotten', async (t) => {
  const fixture = new Fixture()
  fixture.succeed(w1, w2)
  fixture.end(w1, 'bad', 1, false, 3, true)
  fixture.end(w2, 'bad', 1, false, 4, true)
  t.notOk(fixture.failures.isHopeless(BAD_JOB, BAD_STEP, 5, true), 'one run has failed')
  fixture.end(w2, 'bad', 2, false, 0, true)
  t.ok(fixture.failures.isHopeless(BAD_JOB, BAD_STEP, 5, true))
  fixture.failures.retainJobs((job) => job !== BAD_JOB)
  t.notOk(fixture.failures.hasFailures(BAD_STEP))
})
