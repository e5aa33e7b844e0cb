import { asId, type CustomerId, type DomainId, type EndpointId, IbisError, type KindOfWork } from '@ibisstair/common'
import {
  type Config, ConfigDelta, type ConfigDeltaBody, type CustomerConfig, type DomainConfig, type GuaranteedShape,
  type KindConfig, type RackConfig, type ServiceObjective, type Urgency
} from '@ibisstair/model'
import { isDeepStrictEqual } from 'node:util'
import { DEFAULT_MAX_QUEUED, DEFAULT_PRIORITY } from './constants.ts'

/** Computes the operations of a change from the configuration to which they will be applied. */
export type ConfigEdit = (config: Config) => ConfigDeltaBody

export interface CustomerFields {
  readonly priority?: number | undefined
  readonly maxQueued?: number | undefined
}

export interface KindFields {
  readonly urgency?: Urgency | undefined
  readonly idempotent?: boolean | undefined
  readonly expectedRunMs?: number | undefined
  readonly startWithinMs?: number | undefined
  readonly target?: number | undefined
}

export interface DomainFields {
  readonly region?: string | undefined
  /** Replaces all racks of the domain. */
  readonly racks?: readonly RackConfig[] | undefined
}

const findCustomer = (config: Config, id: CustomerId): CustomerConfig => {
  const customer = config.customers.find((item) => item.id === id)
  if (customer) return customer
  throw new IbisError('unknown-customer', `customer ${id} does not exist in version ${config.version}`)
}

const requireField = <T>(value: T | undefined, field: string, item: string): T => {
  if (value !== undefined) return value
  throw new IbisError('invalid-request', `${item} is new and needs ${field}`)
}

export const createCustomer = (id: CustomerId, fields: CustomerFields): ConfigEdit => (config) => {
  if (config.customers.some((item) => item.id === id)) {
    throw new IbisError('invalid-request', `customer ${id} exists in version ${config.version}`)
  }
  const { priority = DEFAULT_PRIORITY, maxQueued = DEFAULT_MAX_QUEUED } = fields
  return [{ op: 'put-customer', customer: { id, priority, guarantees: [], maxQueued } }]
}

export const changeCustomer = (id: CustomerId, fields: CustomerFields): ConfigEdit => (config) => {
  const customer = findCustomer(config, id)
  const { priority = customer.priority, maxQueued = customer.maxQueued } = fields
  return [{ op: 'put-customer', customer: { ...customer, priority, maxQueued } }]
}

export const removeCustomer = (id: CustomerId): ConfigEdit => () => [{ op: 'remove-customer', id }]

const isSameShape = (a: GuaranteedShape, b: GuaranteedShape): boolean =>
  a.domain === b.domain && isDeepStrictEqual(a.shape, b.shape)

/** Adds a guaranteed shape; increases its count if the customer already has it in this domain. */
export const addGuarantee = (id: CustomerId, added: GuaranteedShape): ConfigEdit => (config) => {
  const customer = findCustomer(config, id)
  const existing = customer.guarantees.find((item) => isSameShape(item, added))
  const count = (existing?.count ?? 0) + added.count
  const guarantees = [...customer.guarantees.filter((item) => item !== existing), { ...added, count }]
  return [{ op: 'put-customer', customer: { ...customer, guarantees } }]
}

/** Decreases the count of a guaranteed shape; removes the shape if `removed.count` is not given. */
export const removeGuarantee = (id: CustomerId, removed: Omit<GuaranteedShape, 'count'> & { readonly count?: number }): ConfigEdit => (config) => {
  const customer = findCustomer(config, id)
  const existing = customer.guarantees.find((item) => isSameShape(item, { ...removed, count: 1 }))
  if (!existing) throw new IbisError('invalid-request', `customer ${id} has no such guaranteed shape in version ${config.version}`)
  const count = existing.count - (removed.count ?? existing.count)
  if (count < 0) throw new IbisError('invalid-request', `customer ${id} holds ${existing.count} of this guaranteed shape, accepted is at most that count`)
  const others = customer.guarantees.filter((item) => item !== existing)
  const guarantees = count > 0 ? [...others, { ...existing, count }] : others
  return [{ op: 'put-customer', customer: { ...customer, guarantees } }]
}

const mergeObjective = (existing: ServiceObjective | undefined, fields: KindFields, item: string): ServiceObjective => ({
  startWithinMs: requireField(fields.startWithinMs ?? existing?.startWithinMs, 'a time to start', item),
  target: requireField(fields.target ?? existing?.target, 'a target', item)
})

/** Adds or changes a kind of work. Fields that are not given keep their value; a new kind needs all of them. */
export const putKind = (kind: KindOfWork, fields: KindFields): ConfigEdit => (config) => {
  const existing = config.kinds.find((item) => item.kind === kind)
  const item = `kind ${kind}`
  const merged: KindConfig = {
    kind,
    urgency: requireField(fields.urgency ?? existing?.urgency, 'an urgency', item),
    idempotent: requireField(fields.idempotent ?? existing?.idempotent, 'whether it is idempotent', item),
    expectedRunMs: requireField(fields.expectedRunMs ?? existing?.expectedRunMs, 'an expected run time', item),
    objective: mergeObjective(existing?.objective, fields, item)
  }
  return [{ op: 'put-kind', kind: merged }]
}

export const removeKind = (kind: KindOfWork): ConfigEdit => () => [{ op: 'remove-kind', kind }]

/** Adds or changes a failure domain. Fields that are not given keep their value; a new domain needs all of them. */
export const putDomain = (id: DomainId, fields: DomainFields): ConfigEdit => (config) => {
  const existing = config.fleet.domains.find((item) => item.id === id)
  const domain: DomainConfig = {
    id,
    region: requireField(fields.region ?? existing?.region, 'a region', `domain ${id}`),
    racks: requireField(fields.racks ?? existing?.racks, 'racks', `domain ${id}`)
  }
  return [{ op: 'put-domain', domain }]
}

export const drainEndpoint = (endpointId: EndpointId): ConfigEdit => () => [{ op: 'drain', endpointId }]

export const undrainEndpoint = (endpointId: EndpointId): ConfigEdit => () => [{ op: 'undrain', endpointId }]

/** Returns the items of both lists; a desired item replaces the existing one with the same id. */
const mergeById = <T>(existing: readonly T[], desired: readonly T[], idOf: (item: T) => string): T[] => {
  const ids = new Set(desired.map(idOf))
  return [...existing.filter((item) => !ids.has(idOf(item))), ...desired]
}

const mergeConfig = (config: Config, desired: Config): Config => ({
  version: config.version,
  customers: mergeById(config.customers, desired.customers, ({ id }) => id),
  kinds: mergeById(config.kinds, desired.kinds, ({ kind }) => kind),
  fleet: { domains: mergeById(config.fleet.domains, desired.fleet.domains, ({ id }) => id) },
  drains: mergeById(config.drains, desired.drains, (id) => id)
})

/**
 * Adds or replaces every item of `desired` that differs. Items missing from `desired` are kept, because
 * a file generated for one new team lists only that team; `prune` removes them.
 */
export const applyConfig = (desired: Config, prune: boolean): ConfigEdit => (config) =>
  ConfigDelta.between(config, prune ? desired : mergeConfig(config, desired)).operations

export const asCustomerId = asId<CustomerId>
export const asDomainId = asId<DomainId>
export const asEndpointId = asId<EndpointId>
export const asKindOfWork = asId<KindOfWork>
