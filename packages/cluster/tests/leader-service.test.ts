import { asId, type CustomerId, type JobId } from '@ibisstair/common'
import type { Dispatcher, LeaveNotice } from '@ibisstair/dispatch'
import { SchedulingState, type QueueConfig, type ServiceConfig, type StateCommand, type StateResult } from '@ibisstair/jobs'
import { RelayDirectory } from '@ibisstair/relay'
import { Metrics } from '@ibisstair/telemetry'
import { ManualTimerService } from '@ibisstair/timers'
import t from 'tap'
import { createStep } from '../../jobs/tests/support/samples.ts'
import { LeaderService } from '../src/leader-service.ts'

const HOST = 'jobs.example'
const KEY = 'key-1'

const createQueue = (overrides: Partial<QueueConfig> = {}): QueueConfig =>
  ({ name: 'q', host: HOST, pathPrefix: '/q/', service: 's', priority: 1, maxAttempts: 3, stretch: 2, targetLatencyMs: 1_000, timeoutMs: 3_000, isPublic: false, ...overrides })

const createConfig = (version: number, queues: readonly QueueConfig[]): ServiceConfig =>
  ({ version, queues, services: [...new Set(queues.map(({ service }) => service))], customers: [{ name: asId<CustomerId>('clinics'), keys: [KEY], guaranteedAccelerators: 0 }], document: '' })

/** A leader whose commands are applied at once; `beforeApply` may commit others before the next one. */
class Fixture {
  readonly state = new SchedulingState()
  readonly service: LeaderService
  readonly notices: LeaveNotice[] = []
  beforeApply = (_command: StateCommand): void => {}

  constructor () {
    const log = (): void => {}
    const propose = async (command: StateCommand): Promise<StateResult> => {
      this.beforeApply(command)
      return this.state.apply(JSON.parse(JSON.stringify(command)) as StateCommand)
    }
    const dispatcher = { leave: (notice: LeaveNotice) => { this.notices.push(notice) } } as unknown as Dispatcher
    this.service = new LeaderService({ state: this.state, dispatcher, relays: new RelayDirectory(), propose, timers: new ManualTimerService(), logger: { error: log, warn: log, info: log, debug: log }, metrics: new Metrics({ node: 'n' }) })
  }

  async configure (version: number, queues: readonly QueueConfig[]): Promise<void> {
    await this.service.handle('config.put', { config: createConfig(version, queues) })
  }

  async submit (id: string): Promise<void> {
    await this.service.handle('job.submit', { host: HOST, path: `/q/${id}`, credential: KEY, submission: { payload: 'p', steps: [createStep()], recurrence: null } })
  }

  policyOf (id: string) {
    return this.state.jobs.get(asId<JobId>(id))!.policy
  }

  async countPending (path: string): Promise<unknown> {
    return await this.service.handle('queue.pending', { host: HOST, path, credential: KEY })
  }
}

t.test('an accepted job follows its queue through the configurations that the leader commits', async (t) => {
  // Guards against a leader that commits acceptances or configurations without what the following needs (review/8).
  const fixture = new Fixture()
  await fixture.configure(1, [createQueue()])
  await fixture.submit('a1')
  await fixture.configure(2, [createQueue({ name: 'renamed', service: 'next', maxAttempts: 1 }), createQueue({ pathPrefix: '/other/', service: 'other' })])
  t.match(fixture.policyOf('a1'), { queue: 'renamed', service: 'next', maxAttempts: 1 })
  t.same(await fixture.countPending('/q/'), { pending: 1 })
  t.same(await fixture.countPending('/other/'), { pending: 0 })
})

t.test('a job that is accepted while another configuration is being committed follows that one', async (t) => {
  const fixture = new Fixture()
  await fixture.configure(1, [createQueue()])
  fixture.beforeApply = ({ type }) => {
    if (type === 'accept') fixture.state.apply({ type: 'configure', config: createConfig(2, [createQueue({ service: 'next', maxAttempts: 1 })]), atMs: 0 })
  }
  await fixture.submit('a1')
  t.match(fixture.policyOf('a1'), { service: 'next', maxAttempts: 1 })
})

t.test('a notice of an earlier build that an endpoint leaves names no service and no address', async (t) => {
  const fixture = new Fixture()
  await fixture.service.handle('endpoint.leave', { endpointId: 'w1', bornMs: 7 })
  t.same(fixture.notices, [{ endpointId: 'w1', bornMs: 7, service: null, address: null }])
})
