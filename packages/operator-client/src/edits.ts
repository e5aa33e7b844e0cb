import { asId, type CustomerId, type DomainId, type EndpointId, IbisError, type KindOfWork } from '@ibisstair/common'
import {
  type Config, ConfigDelta, type ConfigDeltaBody, type CustomerConfig, type DomainConfig, type GuaranteedShape,
  type KindConfig, type RackConfig, type ServiceObjective, type Urgency
} from '@ibisstair/model'
import { isDeepStrictEqual } from 'node:util'
import { DEFAULT_MAX_QUEUED, DEFAULT_PRIORITY } from './constants.ts'

/** Computes a change from the configuration that it is to be applied to. */
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
  throw new IbisError('unknown-customer', `customer ${id} is not in version ${config.version}`)
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

/** Raises the count when the customer already has this shape in this domain. */
export const addGuarantee = (id: CustomerId, added: GuaranteedShape): ConfigEdit => (config) => {
  const customer = findCustomer(config, id)
  const held = customer.guarantees.find((item) => isSameShape(item, added))
  const count = (held?.count ?? 0) + added.count
  const guarantees = [...customer.guarantees.filter((item) => item !== held), { ...added, count }]
  return [{ op: 'put-customer', customer: { ...customer, guarantees } }]
}

/** Lowers the count; without `removed.count` the whole shape goes. */
export const removeGuarantee = (id: CustomerId, removed: Omit<GuaranteedShape, 'count'> & { readonly count?: number }): ConfigEdit => (config) => {
  const customer = findCustomer(config, id)
  const held = customer.guarantees.find((item) => isSameShape(item, { ...removed, count: 1 }))
  if (!held) throw new IbisError('invalid-request', `customer ${id} has no such guaranteed shape in version ${config.version}`)
  const count = held.count - (removed.count ?? held.count)
  if (count < 0) throw new IbisError('invalid-request', `customer ${id} holds ${held.count} of this guaranteed shape, accepted is at most that count`)
  const others = customer.guarantees.filter((item) => item !== held)
  const guarantees = count > 0 ? [...others, { ...held, count }] : others
  return [{ op: 'put-customer', customer: { ...customer, guarantees } }]
}

const mergeObjective = (held: ServiceObjective | undefined, fields: KindFields, item: string): ServiceObjective => ({
  startWithinMs: requireField(fields.startWithinMs ?? held?.startWithinMs, 'a time to start', item),
  target: requireField(fields.target ?? held?.target, 'a target', item)
})

/** Fields that are not given keep their value; a new kind needs all of them. */
export const putKind = (kind: KindOfWork, fields: KindFields): ConfigEdit => (config) => {
  const held = config.kinds.find((item) => item.kind === kind)
  const item = `kind ${kind}`
  const merged: KindConfig = {
    kind,
    urgency: requireField(fields.urgency ?? held?.urgency, 'an urgency', item),
    idempotent: requireField(fields.idempotent ?? held?.idempotent, 'whether it is idempotent', item),
    expectedRunMs: requireField(fields.expectedRunMs ?? held?.expectedRunMs, 'an expected run time', item),
    objective: mergeObjective(held?.objective, fields, item)
  }
  return [{ op: 'put-kind', kind: merged }]
}

export const removeKind = (kind: KindOfWork): ConfigEdit => () => [{ op: 'remove-kind', kind }]

/** Fields that are not given keep their value; a new domain needs all of them. */
export const putDomain = (id: DomainId, fields: DomainFields): ConfigEdit => (config) => {
  const held = config.fleet.domains.find((item) => item.id === id)
  const domain: DomainConfig = {
    id,
    region: requireField(fields.region ?? held?.region, 'a region', `domain ${id}`),
    racks: requireField(fields.racks ?? held?.racks, 'racks', `domain ${id}`)
  }
  return [{ op: 'put-domain', domain }]
}

export const drainEndpoint = (endpointId: EndpointId): ConfigEdit => () => [{ op: 'drain', endpointId }]

export const undrainEndpoint = (endpointId: EndpointId): ConfigEdit => () => [{ op: 'undrain', endpointId }]

/** Items of both lists; those of `wanted` replace held ones with the same id. */
const overlay = <T>(held: readonly T[], wanted: readonly T[], idOf: (item: T) => string): T[] => {
  const ids = new Set(wanted.map(idOf))
  return [...held.filter((item) => !ids.has(idOf(item))), ...wanted]
}

const overlayConfig = (config: Config, wanted: Config): Config => ({
  version: config.version,
  customers: overlay(config.customers, wanted.customers, ({ id }) => id),
  kinds: overlay(config.kinds, wanted.kinds, ({ kind }) => kind),
  fleet: { domains: overlay(config.fleet.domains, wanted.fleet.domains, ({ id }) => id) },
  drains: overlay(config.drains, wanted.drains, (id) => id)
})

/**
 * Puts every item of `wanted` that differs. Items that `wanted` does not have stay, because a file
 * generated for one new team lists that team only; `prune` removes them.
 */
export const applyConfig = (wanted: Config, prune: boolean): ConfigEdit => (config) =>
  ConfigDelta.between(config, prune ? wanted : overlayConfig(config, wanted)).operations

export const asCustomerId = asId<CustomerId>
export const asDomainId = asId<DomainId>
export const asEndpointId = asId<EndpointId>
export const asKindOfWork = asId<KindOfWork>
