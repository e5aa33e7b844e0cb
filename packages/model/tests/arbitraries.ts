import { asId } from '@ibisstair/common'
import fc from 'fast-check'
import {
  type Config, type ConfigOperation, type CustomerConfig, type DomainConfig, type KindConfig, parseConfig, type RackConfig,
  type Shape
} from '../src/index.ts'

export const shapes: fc.Arbitrary<Shape> = fc.record({
  tasks: fc.integer({ min: 1, max: 6 }),
  acceleratorsPerTask: fc.integer({ min: 0, max: 4 }),
  slotsPerTask: fc.integer({ min: 1, max: 3 }),
  adjacency: fc.constantFrom('worker', 'rack', 'any')
})

const rackOf = (i: number): fc.Arbitrary<RackConfig> => fc.record({
  id: fc.constant(asId(`rack-${i}`)),
  workers: fc.integer({ min: 1, max: 4 }),
  acceleratorsPerWorker: fc.integer({ min: 0, max: 8 }),
  slotsPerWorker: fc.integer({ min: 1, max: 8 })
})

const domainOf = (id: string): fc.Arbitrary<DomainConfig> => fc.record({
  id: fc.constant(asId(id)),
  region: fc.constantFrom('north', 'south'),
  racks: fc.integer({ min: 0, max: 3 }).chain((n) => fc.tuple(...Array.from({ length: n }, (_, i) => rackOf(i))))
})

const customerOf = (id: string, domains: readonly string[]): fc.Arbitrary<CustomerConfig> => fc.record({
  id: fc.constant(asId(id)),
  priority: fc.constantFrom(0.5, 1, 3),
  maxQueued: fc.integer({ min: 1, max: 50 }),
  guarantees: fc.array(fc.record({
    shape: shapes,
    count: fc.integer({ min: 1, max: 4 }),
    pinned: fc.option(fc.constantFrom(...domains), { nil: undefined })
  }).map(({ shape, count, pinned }) => ({ shape, count, ...(pinned && { domain: asId(pinned) }) })), { maxLength: 3 })
})

const kindOf = (id: string): fc.Arbitrary<KindConfig> => fc.record({
  kind: fc.constant(asId(id)),
  urgency: fc.constantFrom('urgent', 'normal', 'bulk'),
  idempotent: fc.boolean(),
  expectedRunMs: fc.integer({ min: 1, max: 10_000 }),
  objective: fc.record({ startWithinMs: fc.integer({ min: 1, max: 10_000 }), target: fc.constantFrom(0.9, 0.99) })
})

const DOMAINS = ['d0', 'd1', 'd2']
const CUSTOMERS = ['c0', 'c1', 'c2', 'c3']
const KINDS = ['k0', 'k1', 'k2']
const ENDPOINTS = ['e0', 'e1', 'e2']

const subsetOf = <T>(ids: readonly string[], build: (id: string) => fc.Arbitrary<T>): fc.Arbitrary<T[]> =>
  fc.subarray([...ids]).chain((chosen) => fc.tuple(...chosen.map(build)))

/** Valid configurations; all three domains exist, so that every pinned guarantee is valid. */
export const configs: fc.Arbitrary<Config> = fc.record({
  version: fc.integer({ min: 0, max: 100 }),
  customers: subsetOf(CUSTOMERS, (id) => customerOf(id, DOMAINS)),
  kinds: subsetOf(KINDS, kindOf),
  fleet: fc.record({ domains: fc.tuple(...DOMAINS.map(domainOf)) }),
  drains: fc.subarray(ENDPOINTS).map((ids) => ids.map((id) => asId(id)))
}).map((config) => parseConfig(config))

export const operations: fc.Arbitrary<ConfigOperation> = fc.oneof(
  fc.constantFrom(...CUSTOMERS).chain((id) => customerOf(id, DOMAINS)).map((customer) => ({ op: 'put-customer', customer }) as const),
  fc.constantFrom(...CUSTOMERS).map((id) => ({ op: 'remove-customer', id: asId<never>(id) }) as const),
  fc.constantFrom(...KINDS).chain(kindOf).map((kind) => ({ op: 'put-kind', kind }) as const),
  fc.constantFrom(...KINDS).map((kind) => ({ op: 'remove-kind', kind: asId<never>(kind) }) as const),
  fc.constantFrom(...DOMAINS).chain(domainOf).map((domain) => ({ op: 'put-domain', domain }) as const),
  fc.constantFrom(...DOMAINS).map((id) => ({ op: 'remove-domain', id: asId<never>(id) }) as const),
  fc.constantFrom(...ENDPOINTS).map((id) => ({ op: 'drain', endpointId: asId<never>(id) }) as const),
  fc.constantFrom(...ENDPOINTS).map((id) => ({ op: 'undrain', endpointId: asId<never>(id) }) as const)
)
