import { asId, IbisError } from '@ibisstair/common'
import t, { type Test } from 'tap'
import {
  type Config, fingerprintRequest, getHomeDomain, parseAnnouncement, parseConfig, parseConfigChange, parseJobRequest,
  toMetadata
} from '../src/index.ts'

const config: Config = parseConfig({
  version: 3,
  customers: [{ id: 'coop', priority: 1, guarantees: [], maxQueued: 100 }],
  kinds: [
    { kind: 'check', urgency: 'urgent', idempotent: true, expectedRunMs: 200, objective: { startWithinMs: 1000, target: 0.99 } },
    { kind: 'pickup', urgency: 'normal', idempotent: false, expectedRunMs: 900, objective: { startWithinMs: 30_000, target: 0.95 } }
  ],
  fleet: {
    domains: [
      { id: 'sj', region: 'cr', racks: [{ id: 'a', workers: 6, acceleratorsPerWorker: 8, slotsPerWorker: 8 }] },
      { id: 'al', region: 'cr', racks: [{ id: 'a', workers: 2, acceleratorsPerWorker: 4, slotsPerWorker: 8 }] }
    ]
  },
  drains: []
})

const shape = { tasks: 2, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'worker' }
const minimal = { key: 'k-1', customer: 'coop', caller: 'ana', kind: 'pickup', shape }

const captureError = (t: Test, fn: () => unknown): IbisError => {
  const err = t.throws(fn) as unknown
  if (!(err instanceof IbisError)) throw new Error(`not an IbisError: ${String(err)}`)
  return err
}

t.test('omitted request fields take the values of the kind', async (t) => {
  t.same(parseJobRequest(minimal, config), {
    ...minimal, urgency: 'normal', idempotent: false, expectedRunMs: 900, deadlineMs: 300_000, payload: null
  })
})

t.test('fields that the caller states are kept', async (t) => {
  const stated = { ...minimal, urgency: 'bulk', expectedRunMs: 5, deadlineMs: 7, homeDomain: 'al', payload: { a: 1 } }
  t.match(parseJobRequest(stated, config), stated)
})

t.test('a request without a home domain has no such field, because encoders keep undefined fields', async (t) => {
  t.notOk('homeDomain' in parseJobRequest(minimal, config))
  t.notOk('payload' in toMetadata(parseJobRequest(minimal, config)))
})

t.test('an invalid request is refused with the error kind and the invalid field', async (t) => {
  const cases: ReadonlyArray<readonly [string, object, string, RegExp]> = [
    ['urgency above the kind', { urgency: 'urgent' }, 'invalid-request', /urgency: got "urgent", accepted is "normal" or "bulk"/],
    ['idempotent request of a non-idempotent kind', { idempotent: true }, 'invalid-request', /idempotent: got true/],
    ['unknown customer', { customer: 'nobody' }, 'unknown-customer', /nobody/],
    ['unknown kind', { kind: 'nothing' }, 'unknown-kind', /nothing/],
    ['unknown home domain', { homeDomain: 'mars' }, 'invalid-request', /homeDomain: got "mars", accepted is one of al, sj/],
    ['unknown field', { colour: 'red' }, 'invalid-request', /colour: unknown field/],
    ['unknown shape field', { shape: { ...shape, gpus: 1 } }, 'invalid-request', /shape.gpus: unknown field/],
    ['negative tasks', { shape: { ...shape, tasks: -1 } }, 'invalid-request', /shape.tasks: got -1/],
    ['zero slots', { shape: { ...shape, slotsPerTask: 0 } }, 'invalid-request', /slotsPerTask: got 0/],
    ['fractional tasks', { shape: { ...shape, tasks: 1.5 } }, 'invalid-request', /tasks: got 1.5/],
    ['gang above the limit', { shape: { ...shape, tasks: 129 } }, 'invalid-request', /tasks: got 129, accepted is <=128/],
    ['infinite expected run time', { expectedRunMs: Infinity }, 'invalid-request', /expectedRunMs/],
    ['string for a number', { deadlineMs: '5' }, 'invalid-request', /deadlineMs: got "5"/],
    ['missing key', { key: undefined }, 'invalid-request', /key/],
    ['key with a space', { key: 'a b' }, 'invalid-request', /key: got "a b"/],
    ['key that URL parsers remove', { key: '..' }, 'invalid-request', /key: got ".."/],
    ['name of a prototype property', { customer: '__proto__' }, 'invalid-request', /customer/],
    ['name of a built-in property', { customer: 'constructor' }, 'unknown-customer', /constructor/]
  ]
  for (const [name, change, kind, message] of cases) {
    const err = captureError(t, () => parseJobRequest({ ...minimal, ...change }, config))
    t.equal(err.kind, kind, name)
    t.match(err.message, message, name)
    t.equal(err.execution, 'not-run', name)
  }
  for (const input of [null, undefined, 3, 'x', []]) t.equal(captureError(t, () => parseJobRequest(input, config)).kind, 'invalid-request')
})

t.test('a payload that would overflow recursive encoders is refused', async (t) => {
  const payload = JSON.parse('['.repeat(100_000) + ']'.repeat(100_000))
  t.match(captureError(t, () => parseJobRequest({ ...minimal, payload }, config)).message, /payload/)
})

t.test('a shape that no worker, rack or domain can hold is refused with the needed and the possible number of tasks', async (t) => {
  const cases = [
    [{ tasks: 9, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'worker' }, 8],
    [{ tasks: 1, acceleratorsPerTask: 9, slotsPerTask: 1, adjacency: 'any' }, 0],
    [{ tasks: 4, acceleratorsPerTask: 1, slotsPerTask: 4, adjacency: 'worker' }, 2],
    [{ tasks: 49, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'rack' }, 48],
    [{ tasks: 49, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'any' }, 48]
  ] as const
  for (const [wanted, largest] of cases) {
    const err = captureError(t, () => parseJobRequest({ ...minimal, kind: 'check', shape: wanted }, config))
    t.equal(err.kind, 'never-fits')
    t.match(err.details, { needed: wanted.tasks, largest })
    t.match(err.message, new RegExp(`at most ${largest} of the ${wanted.tasks} tasks`))
  }
})

t.test('a non-idempotent request must fit into its home domain, because it runs nowhere else', async (t) => {
  const wide = { ...minimal, shape: { ...shape, tasks: 8 } }
  t.equal(captureError(t, () => parseJobRequest({ ...wide, homeDomain: 'al' }, config)).kind, 'never-fits')
  t.equal(parseJobRequest({ ...wide, homeDomain: 'sj' }, config).homeDomain, 'sj')
  t.ok(parseJobRequest({ ...wide, kind: 'check', homeDomain: 'al' }, config))
})

t.test('the home domain depends on customer and key only', async (t) => {
  const request = parseJobRequest(minimal, config)
  const reordered = { ...config, fleet: { domains: [...config.fleet.domains].reverse() } }
  t.equal(getHomeDomain(config, request), getHomeDomain(reordered, { ...request, caller: asId('eva') } as typeof request))
  t.equal(getHomeDomain(config, { ...request, homeDomain: asId('al') }), 'al')
})

t.test('a fingerprint ignores field order and remaining time, and differs for another payload, shape or caller', async (t) => {
  const fingerprintOf = (change: object): string => fingerprintRequest(parseJobRequest({ ...minimal, payload: { a: 1, b: [2] }, ...change }, config))
  const base = fingerprintOf({})
  t.equal(fingerprintOf({ payload: { b: [2], a: 1 } }), base)
  t.equal(fingerprintOf({ deadlineMs: 5, expectedRunMs: 6, urgency: 'bulk', homeDomain: getHomeDomain(config, parseJobRequest(minimal, config)) }), base)
  t.not(fingerprintOf({ payload: { a: 1, b: [3] } }), base)
  t.not(fingerprintOf({ shape: { ...shape, tasks: 1 } }), base)
  t.not(fingerprintOf({ caller: 'eva' }), base)
})

const announcement = {
  endpointId: 'e-1',
  incarnation: 4,
  sequence: 9,
  address: '127.0.0.1',
  port: 4000,
  failureDomain: 'sj',
  rack: 'a',
  slots: 8,
  connections: 64,
  accelerators: 8,
  leaving: false
}

t.test('an announcement is converted, and fields of a newer endpoint are ignored', async (t) => {
  const { endpoint, usage } = parseAnnouncement({ ...announcement, firmware: 'x', usage: { acceleratorsBusy: 2.5, lagMs: 800, more: 1 } })
  const { endpointId, failureDomain, ...rest } = announcement
  t.strictSame(endpoint, { id: endpointId, domain: failureDomain, ...rest })
  t.strictSame(usage, { acceleratorsBusy: 2.5, lagMs: 800 })
  t.notOk('usage' in parseAnnouncement(announcement))
})

t.test('an invalid announcement is refused with the name of the field', async (t) => {
  for (const change of [{ address: 'worker.example' }, { port: 0 }, { sequence: -1 }, { incarnation: 1.5 }, { accelerators: 1e9 }, { leaving: 'no' }]) {
    const err = captureError(t, () => parseAnnouncement({ ...announcement, ...change }))
    t.match(err.message, new RegExp(`field ${Object.keys(change)[0]}`))
  }
})

t.test('a configuration with duplicate ids, guarantees pinned to an unknown domain or an oversized fleet is refused', async (t) => {
  const customer = config.customers[0]!
  const pinned = { ...customer, guarantees: [{ shape, count: 1, domain: 'mars' }] }
  const racks = Array.from({ length: 11 }, (_, i) => ({ id: `r${i}`, workers: 1000, acceleratorsPerWorker: 8, slotsPerWorker: 8 }))
  const cases: ReadonlyArray<readonly [object, RegExp]> = [
    [{ customers: [customer, customer] }, /customers.*each customer id at most once/],
    [{ kinds: [config.kinds[0], config.kinds[0]] }, /each kind at most once/],
    [{ drains: ['e', 'e'] }, /each endpoint id at most once/],
    [{ customers: [pinned] }, /customers.coop.guarantees.0.domain: got "mars", accepted is a configured failure domain \(al, sj\)/],
    [{ fleet: { domains: [{ id: 'sj', region: 'cr', racks }] } }, /11000 workers/],
    [{ extra: 1 }, /extra: unknown field/]
  ]
  for (const [change, message] of cases) t.match(captureError(t, () => parseConfig({ ...config, ...change })).message, message)
})

t.test('a configuration too large for one message is refused', async (t) => {
  const guarantee = { shape, count: 1 }
  const customers = Array.from({ length: 1000 }, (_, i) => ({ id: `c${i}`, priority: 1, maxQueued: 1, guarantees: Array.from({ length: 30 }, () => guarantee) }))
  t.match(captureError(t, () => parseConfig({ ...config, customers })).message, /takes \d+ bytes as JSON, accepted is at most 2097152/)
})

t.test('a parsed configuration parses again to the same value', async (t) => {
  t.strictSame(parseConfig(JSON.parse(JSON.stringify(config))), config)
})

t.test('a configuration change needs an id, a version and at least one known operation', async (t) => {
  const valid = { changeId: 'c-1', expectedVersion: 3, delta: [{ op: 'drain', endpointId: 'e-1' }] }
  t.strictSame(parseConfigChange(valid), valid)
  for (const change of [{ changeId: '' }, { expectedVersion: -1 }, { delta: [] }, { delta: [{ op: 'explode' }] }, { force: true }]) {
    t.equal(captureError(t, () => parseConfigChange({ ...valid, ...change })).kind, 'invalid-request')
  }
})
