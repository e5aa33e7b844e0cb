import { asId, IbisError, type DomainId, type EndpointId } from '@ibisstair/common'
import { SchedulingState, toEndpointIncarnation, type StateCommand, type StateResult } from '@ibisstair/jobs'
import { ManualTimerService } from '@ibisstair/timers'
import t from 'tap'
import { createEndpoint, register } from '../../jobs/tests/support/samples.ts'
import { DomainService } from '../src/domain-service.ts'

const Z1 = asId<DomainId>('z1')

const getFailure = async (call: Promise<unknown>): Promise<unknown> => await call.then(() => null, (err: unknown) => err)

/** A leader whose commands are applied at once; `beforeApply` may commit others before, or reject; `afterApply` loses answers. */
class Fixture {
  readonly state = new SchedulingState()
  readonly proposed: string[] = []
  beforeApply = (_command: StateCommand): void => {}
  afterApply = (): void => {}
  readonly service = new DomainService({
    state: this.state,
    timers: new ManualTimerService(),
    propose: async (command: StateCommand): Promise<StateResult> => {
      this.proposed.push(command.type)
      this.beforeApply(command)
      const result = this.state.apply(JSON.parse(JSON.stringify(command)) as StateCommand)
      this.afterApply()
      return result
    }
  })

  register (id: string, domain: DomainId): void {
    this.state.apply(register(createEndpoint(id, { domain, life: toEndpointIncarnation(asId<EndpointId>(id), 1) })))
  }
}

t.test('an order is acknowledged only after its commit, also when its state holds already', async (t) => {
  // Guards against a deposed leader that acknowledges what its successor has undone.
  const fixture = new Fixture()
  fixture.register('w1', Z1)
  t.same(await fixture.service.drain({ domain: Z1, expectedRevision: 0 }), { domain: 'z1', isDrained: true, revision: 1 })
  t.same(await fixture.service.drain({ domain: Z1, expectedRevision: 0 }), { domain: 'z1', isDrained: true, revision: 2 })
  t.same(fixture.proposed, ['drain-domain', 'drain-domain'])
  fixture.beforeApply = () => { throw new IbisError('not-leader', 'deposed') }
  t.match(await getFailure(fixture.service.drain({ domain: Z1, expectedRevision: 1 })), { kind: 'not-leader' })
  t.match(await getFailure(fixture.service.list()), { kind: 'not-leader' })
})

t.test('an order whose answer is lost with the leader is sent again, and has one effect', async (t) => {
  const fixture = new Fixture()
  fixture.register('w1', Z1)
  for (const method of ['drain', 'restore'] as const) {
    const expectedRevision = fixture.state.domainDrains.getRevision(Z1)
    fixture.afterApply = () => { throw new IbisError('outcome-unknown', 'the leader was killed') }
    t.match(await getFailure(fixture.service[method]({ domain: Z1, expectedRevision })), { kind: 'outcome-unknown' })
    const { sinceMs } = fixture.state.domainDrains.get(Z1)!
    fixture.afterApply = () => {}
    t.match(await fixture.service[method]({ domain: Z1, expectedRevision }), { isDrained: method === 'drain' }, 'also with the revision of before')
    t.match(fixture.state.domainDrains.get(Z1), { sinceMs, isDrained: method === 'drain' })
  }
})

t.test('an order whose domain has changed meanwhile is rejected', async (t) => {
  const fixture = new Fixture()
  await fixture.service.drain({ domain: Z1, expectedRevision: 0, isConfigured: true })
  await fixture.service.restore({ domain: Z1, expectedRevision: 1, isConfigured: true })
  t.match(await getFailure(fixture.service.drain({ domain: Z1, expectedRevision: 0, isConfigured: true })), { kind: 'version-conflict', execution: 'not-run' })
  t.equal(fixture.state.domainDrains.isDrained(Z1), false)
})

t.test('a domain that nothing names is rejected, and one of an endpoint that was registered meanwhile is not', async (t) => {
  const fixture = new Fixture()
  fixture.register('w1', Z1)
  t.match(await getFailure(fixture.service.drain({ domain: asId('z9'), expectedRevision: 0 })), { kind: 'invalid-request', message: /z9.*z1/ })
  t.same(fixture.proposed, ['barrier'], 'nothing about it is committed')
  fixture.beforeApply = ({ type }) => { if (type === 'barrier') fixture.register('w2', asId('z2')) }
  t.match(await fixture.service.drain({ domain: asId('z2'), expectedRevision: 0 }), { isDrained: true })
  t.match(await fixture.service.list(), { domains: [{ domain: 'z1', isDrained: false, sinceMs: null, endpoints: 1, runs: 0 }, { domain: 'z2', isDrained: true, revision: 1, endpoints: 1 }] })
})
