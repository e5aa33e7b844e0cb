import { asId, type DomainId } from '@ibisstair/common'
import { packValue, unpackValue } from '@ibisstair/storage'
import fc from 'fast-check'
import t from 'tap'
import { MAX_RESTORED_DOMAINS, SchedulingState } from '../src/index.ts'
import { accept, createEndpoint, createSpec, createStep, orderDrain, register, start } from './support/samples.ts'

const toId = (domain: string): DomainId => asId<DomainId>(domain)
const a = createEndpoint('a', { domain: toId('z1') })
const b = createEndpoint('bb', { domain: toId('z2') })

const createState = (): SchedulingState => {
  const state = new SchedulingState()
  for (const command of [register(a), register(b), accept(createSpec('1', [createStep({ count: 2 })]))]) state.apply(command)
  return state
}

const copy = (state: SchedulingState, change: (snapshot: Record<string, unknown>) => unknown = (snapshot) => snapshot): SchedulingState => {
  const restored = new SchedulingState()
  restored.restore(unpackValue(packValue(change({ ...state.toSnapshot() }))))
  return restored
}

t.test('orders are idempotent, and an order of before the last change is outdated', async (t) => {
  // Guards against a drain that arrives after the domain was restored and drains it again (hard-load section 3).
  const state = createState()
  t.match(orderDrain(state, 'z1', true, 0, 7), { isChanged: true, isDrained: true, revision: 1, isOutdated: false })
  t.match(orderDrain(state, 'z1', true, 0), { isChanged: false, isDrained: true, revision: 2, isOutdated: false }, 'a repeated drain is acknowledged whatever its revision')
  t.match(orderDrain(state, 'z1', false, 0), { isChanged: false, isDrained: true, isOutdated: true }, 'a restoration by a process that has not learnt of the drain')
  t.match(state.domainDrains.get(toId('z1')), { sinceMs: 7 })
  t.match(orderDrain(state, 'z1', false, 2), { isChanged: true, isDrained: false, revision: 3 })
  t.match(orderDrain(state, 'z1', true, 0), { isChanged: false, isDrained: false, isOutdated: true }, 'the late drain')
  t.match(orderDrain(state, 'z1', false, 0), { isChanged: false, isOutdated: false })
  t.match(orderDrain(state, 'z2', true, 0), { isChanged: true, revision: 5 }, 'the other domain has not changed')
})

t.test('an order without an answer that arrives late does not undo a later one whose state held already', async (t) => {
  // Guards against a restoration that is held up, while the operator gives up and drains the domain, which is still drained.
  for (const isDrained of [true, false]) {
    const state = createState()
    orderDrain(state, 'z1', isDrained)
    const revision = state.domainDrains.getRevision(toId('z1'))
    t.match(orderDrain(state, 'z1', isDrained, revision), { isChanged: false, isOutdated: false })
    t.match(orderDrain(state, 'z1', !isDrained, revision), { isDrained, isOutdated: true })
  }
})

t.test('a committed start on an endpoint of a drained domain is not carried out', async (t) => {
  const state = createState()
  orderDrain(state, 'z1', true)
  t.match(state.apply(start('1', 0, 1, [a, b])), { groups: [] }, 'the group is planned again')
  t.match(state.apply(start('1', 0, 1, [b])), { groups: [{}] })
  orderDrain(state, 'z1', false)
  t.match(state.apply(start('1', 0, 1, [b, a])), { type: 'started' })
})

t.test('a snapshot holds the drains, and one of an earlier build restores into none', async (t) => {
  const state = createState()
  orderDrain(state, 'z1', true, 0, 7)
  orderDrain(state, 'z2', true)
  orderDrain(state, 'z2', false)
  const restored = copy(state)
  t.same(restored.domainDrains.list(), state.domainDrains.list())
  t.match(restored.domainDrains.get(toId('z1')), { isDrained: true, revision: 1, sinceMs: 7 })
  t.equal(restored.domainDrains.drainedCount, 1)
  t.match(orderDrain(restored, 'z2', true), { isChanged: true, revision: 4 }, 'revisions go on from the snapshot')
  const old = copy(state, ({ domainDrains, ...rest }) => rest)
  t.same(old.domainDrains.list(), [])
  t.match(orderDrain(old, 'z1', true), { isChanged: true, revision: 1 })
})

t.test('a log of an earlier build gives the state that it gave, without drains', async (t) => {
  const state = createState()
  t.match(state.apply(start('1', 0, 1, [a, b])), { groups: [{ members: [{}, {}] }] })
  t.equal(state.domainDrains.drainedCount, 0)
})

t.test('forgotten restorations keep late drains out', async (t) => {
  const state = new SchedulingState()
  for (let i = 0; i <= MAX_RESTORED_DOMAINS; i++) {
    orderDrain(state, `d${i}`, true)
    orderDrain(state, `d${i}`, false)
  }
  t.equal(state.domainDrains.list().length, MAX_RESTORED_DOMAINS)
  t.notOk(state.domainDrains.get(toId('d0')))
  t.match(orderDrain(state, 'd0', true, 0), { isOutdated: true })
  t.match(orderDrain(copy(state), 'd0', true), { isChanged: true, isDrained: true })
})

t.test('whatever the order of arrival, a domain is as its last effective order left it', async (t) => {
  const order = fc.record({ domain: fc.constantFrom('z1', 'z2', 'z3'), isDrained: fc.boolean(), lag: fc.integer({ min: 0, max: 3 }) })
  fc.assert(fc.property(fc.array(order, { maxLength: 40 }), (orders) => {
    let state = new SchedulingState()
    const known = new Map<string, number[]>()
    const expected = new Map<string, boolean>()
    for (const { domain, isDrained, lag } of orders) {
      const revisions = known.get(domain) ?? [0]
      const revision = revisions[Math.max(0, revisions.length - 1 - lag)]!
      const result = orderDrain(state, domain, isDrained, revision)
      if (revision === revisions.at(-1)) expected.set(domain, isDrained)
      if (result.type === 'domain-drain' && !result.isOutdated) known.set(domain, [...revisions, result.revision])
      if (state.domainDrains.isDrained(toId(domain)) !== (expected.get(domain) ?? false)) return false
      state = copy(state)
    }
    return true
  }), { seed: 7, numRuns: 300 })
})
