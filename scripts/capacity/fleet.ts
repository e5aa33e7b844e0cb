import { parseConfigChange, type ConfigChange } from '@ibisstair/model'

/** Projected scale of docs/design.md section 1.7. */
export const PROJECTED = {
  workers: 1700,
  tasks: 16_000,
  customers: 82,
  domains: 14,
  regions: 5,
  jobsPerDay: 2900,
  changesPerDay: 2200,
  restartsPerDay: 210,
  failuresPerDay: 14,
  /** Two entries in each domain, and a second control process in place of a third. */
  entries: 28,
  controls: 28
} as const

/** With 8 slots each, 1,700 workers cannot hold 16,000 tasks. */
export const SLOTS_PER_WORKER = 16
export const WORKERS_PER_RACK = 6
const WORKERS_PER_DOMAIN = Math.ceil(PROJECTED.workers / PROJECTED.domains)
const KINDS = 12
const NORMAL_START_WITHIN_MS = 6 * 24 * 3600 * 1000

const createDomain = (id: string, i: number, workers: number): object => ({
  id,
  region: `region-${i % PROJECTED.regions}`,
  racks: Array.from({ length: Math.ceil(workers / WORKERS_PER_RACK) }, (_, rack) => ({
    id: `${id}-rack-${rack}`,
    workers: Math.min(WORKERS_PER_RACK, workers - rack * WORKERS_PER_RACK),
    acceleratorsPerWorker: SLOTS_PER_WORKER,
    slotsPerWorker: SLOTS_PER_WORKER
  }))
})

const createCustomer = (i: number): object => ({
  id: `customer-${i}`,
  priority: 1 + i % 3,
  maxQueued: 10_000,
  guarantees: [
    { shape: { tasks: 1, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'any' }, count: 4 },
    { shape: { tasks: 4, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'rack' }, count: 1 }
  ]
})

const createKind = (i: number): object => ({
  kind: `kind-${i}`,
  urgency: i === 0 ? 'urgent' : 'normal',
  idempotent: true,
  expectedRunMs: 3_600_000,
  objective: { startWithinMs: i === 0 ? 8_700 : NORMAL_START_WITHIN_MS, target: 0.99 }
})

/**
 * Returns the change that creates a configuration of this fraction of the projected scale. The named domains
 * come first; domains without processes make up the remaining number.
 */
export const createFleetChange = (fraction: number, names: readonly string[] = []): ConfigChange => {
  const count = Math.max(names.length, Math.round(PROJECTED.domains * fraction))
  const domains = Array.from({ length: count }, (_, i) => createDomain(names[i] ?? `domain-${i}`, i, WORKERS_PER_DOMAIN))
  const customers = Array.from({ length: Math.round(PROJECTED.customers * fraction) }, (_, i) => createCustomer(i))
  const kinds = Array.from({ length: KINDS }, (_, i) => createKind(i))
  return parseConfigChange({
    changeId: `fleet-${fraction}`,
    expectedVersion: 0,
    delta: [
      ...domains.map((domain) => ({ op: 'put-domain', domain })),
      ...kinds.map((kind) => ({ op: 'put-kind', kind })),
      ...customers.map((customer) => ({ op: 'put-customer', customer }))
    ]
  })
}

/** Returns a small configuration change, which changes the priority of one customer. */
export const createSmallChange = (expectedVersion: number): ConfigChange => parseConfigChange({
  changeId: `change-${expectedVersion}`,
  expectedVersion,
  delta: [{ op: 'put-customer', customer: { ...createCustomer(0), priority: 1 + expectedVersion % 100 } }]
})
