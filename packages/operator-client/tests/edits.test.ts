import fc from 'fast-check'
import t from 'tap'
import type { RackId } from '@ibisstair/common'
import { type Config, ConfigDelta, EMPTY_CONFIG, type GuaranteedShape, parseConfig } from '@ibisstair/model'
import { ManualTimerService, RandomSource } from '@ibisstair/timers'
import {
  addGuarantee, applyConfig, asCustomerId, asDomainId, asEndpointId, asKindOfWork, changeCustomer, type ConfigEdit, createCustomer,
  drainEndpoint, generateChangeId, type OperatorClient, putDomain, putKind, removeCustomer, removeGuarantee, submitChange
} from '../src/index.ts'

const SEED = 20_260_102
const DIVER = asCustomerId('diver')
const PREVIEW = asKindOfWork('preview')
const BENCH = asDomainId('portland-bench')
const SHAPE: GuaranteedShape = { shape: { tasks: 4, acceleratorsPerTask: 2, slotsPerTask: 1, adjacency: 'rack' }, count: 2 }
const KIND = { urgency: 'urgent', idempotent: true, expectedRunMs: 500, startWithinMs: 100, target: 0.99 } as const
const RACK = { id: 'rack-1' as RackId, workers: 6, acceleratorsPerWorker: 8, slotsPerWorker: 8 }

const applyAll = (...edits: ConfigEdit[]): Config =>
  edits.reduce<Config>((config, edit) => ({ ...ConfigDelta.create(edit(config)).apply(config), version: config.version + 1 }), EMPTY_CONFIG)

t.test('customers are created with defaults, changed field by field and removed', async (t) => {
  const created = applyAll(createCustomer(DIVER, {}))
  t.same(created.customers, [{ id: DIVER, priority: 1, guarantees: [], maxQueued: 1_000 }])
  const changed = applyAll(createCustomer(DIVER, { maxQueued: 9 }), addGuarantee(DIVER, SHAPE), changeCustomer(DIVER, { priority: 3 }))
  t.same(changed.customers, [{ id: DIVER, priority: 3, guarantees: [SHAPE], maxQueued: 9 }], 'a change of the priority keeps the guarantees')
  t.same(applyAll(createCustomer(DIVER, {}), removeCustomer(DIVER)).customers, [])
  t.throws(() => createCustomer(DIVER, {})(created), { message: /customer diver exists in version 1/ })
  t.throws(() => changeCustomer(asCustomerId('none'), {})(created), { message: 'customer none does not exist in version 1' })
})

t.test('guarantees of the same shape and domain are merged into one count', async (t) => {
  const pinned: GuaranteedShape = { ...SHAPE, domain: BENCH }
  const config = applyAll(createCustomer(DIVER, {}), addGuarantee(DIVER, SHAPE), addGuarantee(DIVER, pinned), addGuarantee(DIVER, SHAPE))
  t.same(config.customers[0]!.guarantees, [pinned, { ...SHAPE, count: 4 }])
  const edit = (count?: number): ConfigEdit => removeGuarantee(DIVER, { shape: SHAPE.shape, ...(count !== undefined && { count }) })
  t.same(ConfigDelta.create(edit(3)(config)).apply(config).customers[0]!.guarantees, [pinned, { ...SHAPE, count: 1 }])
  t.same(ConfigDelta.create(edit()(config)).apply(config).customers[0]!.guarantees, [pinned])
  t.throws(() => edit(5)(config), { message: /holds 4 of this guaranteed shape/ })
  t.throws(() => removeGuarantee(DIVER, { shape: { ...SHAPE.shape, tasks: 1 } })(config), { message: /no such guaranteed shape/ })
})

t.test('new kinds and domains need every field; existing ones keep the fields that are not given', async (t) => {
  const config = applyAll(putKind(PREVIEW, KIND), putKind(PREVIEW, { target: 0.9 }), putDomain(BENCH, { region: 'cascadia', racks: [RACK] }), putDomain(BENCH, { region: 'north' }))
  t.match(config.kinds, [{ kind: PREVIEW, urgency: 'urgent', idempotent: true, objective: { startWithinMs: 100, target: 0.9 } }])
  t.same(config.fleet.domains, [{ id: BENCH, region: 'north', racks: [RACK] }])
  t.throws(() => putKind(PREVIEW, { ...KIND, target: undefined })(EMPTY_CONFIG), { message: 'kind preview is new and needs a target' })
  t.throws(() => putDomain(BENCH, { region: 'cascadia' })(EMPTY_CONFIG), { message: 'domain portland-bench is new and needs racks' })
})

t.test('applying a file of one team keeps the other teams; pruning removes them', async (t) => {
  const config = applyAll(createCustomer(DIVER, {}), putKind(PREVIEW, KIND), drainEndpoint(asEndpointId('endpoint-1')))
  const file = parseConfig({ ...EMPTY_CONFIG, customers: [{ id: 'one-person-shop', priority: 2, guarantees: [], maxQueued: 5 }] })
  t.same(applyConfig(file, false)(config).map(({ op }) => op), ['put-customer'])
  t.same(applyConfig(file, true)(config).map(({ op }) => op).sort(), ['put-customer', 'remove-customer', 'remove-kind', 'undrain'])
  t.same(applyConfig(config, true)({ ...config, version: 99 }), [], 'equal content yields no operations')
})

const arbitraryConfig = fc.record({
  customers: fc.uniqueArray(fc.record({ id: fc.constantFrom('a', 'b', 'c', 'd'), priority: fc.integer({ min: 1, max: 3 }) }), { selector: ({ id }) => id }),
  kinds: fc.uniqueArray(fc.constantFrom('k1', 'k2', 'k3')),
  drains: fc.uniqueArray(fc.constantFrom('e1', 'e2'))
}).map(({ customers, kinds, drains }) => parseConfig({
  ...EMPTY_CONFIG,
  customers: customers.map((customer) => ({ ...customer, guarantees: [], maxQueued: 5 })),
  kinds: kinds.map((kind) => ({ kind, urgency: 'bulk', idempotent: true, expectedRunMs: 1, objective: { startWithinMs: 1, target: 0.5 } })),
  drains
}))

t.test(`applying with pruning yields exactly the file, and applying without it keeps the other items (seed ${SEED})`, async (t) => {
  fc.assert(fc.property(arbitraryConfig, arbitraryConfig, (existing, file) => {
    t.same(ConfigDelta.create(applyConfig(file, true)(existing)).apply(existing), file)
    const applied = ConfigDelta.create(applyConfig(file, false)(existing)).apply(existing)
    t.ok(file.customers.every((customer) => applied.customers.some((item) => item.id === customer.id && item.priority === customer.priority)))
    t.ok(existing.customers.every(({ id }) => applied.customers.some((item) => item.id === id)))
    t.same(applyConfig(file, false)(applied), [], 'a second run changes nothing')
  }), { seed: SEED, numRuns: 100 })
})

const createFakeClient = (config: Config) => {
  const sent: unknown[] = []
  const client = {
    getConfig: async () => config,
    proposeChange: async (change: { changeId: string }) => {
      sent.push(change)
      return { version: config.version + 1, changeId: change.changeId }
    }
  } as unknown as OperatorClient
  return { client, sent }
}

const CHANGE_ID = generateChangeId(new ManualTimerService(), new RandomSource(SEED))

t.test('a change is sent against the version it was computed from', async (t) => {
  const { client, sent } = createFakeClient(applyAll(createCustomer(DIVER, {})))
  const announced: unknown[] = []
  const result = await submitChange(client, changeCustomer(DIVER, { priority: 2 }), { changeId: CHANGE_ID, onSend: (change) => announced.push(change) })
  t.same(result, { version: 2, changeId: CHANGE_ID })
  t.match(sent, [{ changeId: CHANGE_ID, expectedVersion: 1 }])
  t.same(announced, sent)
})

t.test('a change with an older expected version is sent, because only the config register recognises a retry', async (t) => {
  const { client, sent } = createFakeClient(applyAll(createCustomer(DIVER, {}), changeCustomer(DIVER, { priority: 2 })))
  await submitChange(client, changeCustomer(DIVER, { priority: 2 }), { changeId: CHANGE_ID, expectedVersion: 1 })
  t.match(sent, [{ expectedVersion: 1 }])
  await submitChange(client, createCustomer(DIVER, {}), { changeId: CHANGE_ID, expectedVersion: 0 })
  t.match(sent[1], { expectedVersion: 0, delta: [{ op: 'put-customer', customer: { id: DIVER, priority: 1 } }] }, 'the retry of a create equals its first attempt')
  await t.rejects(submitChange(client, createCustomer(DIVER, {}), { changeId: CHANGE_ID }), { message: /customer diver exists/ })
  await t.rejects(submitChange(client, changeCustomer(asCustomerId('none'), {}), { changeId: CHANGE_ID, expectedVersion: 1 }), { message: /for version 1 and cannot be built/ })
  t.equal(sent.length, 2)
})

t.test('a change without effect and a change with an invalid field are not sent', async (t) => {
  const config = applyAll(createCustomer(DIVER, {}))
  const { client, sent } = createFakeClient(config)
  t.equal(await submitChange(client, applyConfig(config, true), { changeId: CHANGE_ID }), undefined)
  await t.rejects(submitChange(client, changeCustomer(DIVER, { priority: -1 }), { changeId: CHANGE_ID }), { message: /priority: got -1/ })
  t.same(sent, [])
})

t.test('change ids of runs at the same moment and of runs with the same seed differ', async (t) => {
  const timers = new ManualTimerService()
  const random = new RandomSource(SEED)
  t.not(generateChangeId(timers, random), generateChangeId(timers, random))
  const first = generateChangeId(timers, new RandomSource(SEED))
  timers.advance(1)
  t.not(first, generateChangeId(timers, new RandomSource(SEED)))
})
