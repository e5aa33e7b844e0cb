import { assertNever } from '@ibisstair/common'
import { isDeepStrictEqual } from 'node:util'
import { parseConfigDelta, sortConfig } from './config.ts'
import type { Config, ConfigDeltaBody, ConfigOperation } from './types.ts'

type ItemType = 'customer' | 'kind' | 'domain' | 'drain'

/** Identifies the item that an operation sets or removes; operations on different items are independent. */
const getTarget = (operation: ConfigOperation): string => {
  const formatTarget = (type: ItemType, id: string): string => `${type}/${id}`
  switch (operation.op) {
    case 'put-customer': return formatTarget('customer', operation.customer.id)
    case 'remove-customer': return formatTarget('customer', operation.id)
    case 'put-kind': return formatTarget('kind', operation.kind.kind)
    case 'remove-kind': return formatTarget('kind', operation.kind)
    case 'put-domain': return formatTarget('domain', operation.domain.id)
    case 'remove-domain': return formatTarget('domain', operation.id)
    case 'drain': return formatTarget('drain', operation.endpointId)
    case 'undrain': return formatTarget('drain', operation.endpointId)
    default: return assertNever(operation)
  }
}

const without = <T>(items: readonly T[], isTarget: (item: T) => boolean): T[] =>
  items.filter((item) => !isTarget(item))

const withDomains = (config: Config, domains: Config['fleet']['domains']): Config =>
  ({ ...config, fleet: { ...config.fleet, domains } })

const applyOperation = (config: Config, operation: ConfigOperation): Config => {
  switch (operation.op) {
    case 'put-customer': {
      const { customer } = operation
      return { ...config, customers: [...without(config.customers, (item) => item.id === customer.id), customer] }
    }
    case 'remove-customer':
      return { ...config, customers: without(config.customers, (item) => item.id === operation.id) }
    case 'put-kind': {
      const { kind } = operation
      return { ...config, kinds: [...without(config.kinds, (item) => item.kind === kind.kind), kind] }
    }
    case 'remove-kind':
      return { ...config, kinds: without(config.kinds, (item) => item.kind === operation.kind) }
    case 'put-domain': {
      const { domain } = operation
      return withDomains(config, [...without(config.fleet.domains, (item) => item.id === domain.id), domain])
    }
    case 'remove-domain':
      return withDomains(config, without(config.fleet.domains, (item) => item.id === operation.id))
    case 'drain':
      return { ...config, drains: [...without(config.drains, (id) => id === operation.endpointId), operation.endpointId] }
    case 'undrain':
      return { ...config, drains: without(config.drains, (id) => id === operation.endpointId) }
    default: return assertNever(operation)
  }
}

/** Returns the operation that restores the target of `operation` to its state in `config`. */
const buildRestoreOperation = (config: Config, operation: ConfigOperation): ConfigOperation => {
  switch (operation.op) {
    case 'put-customer':
    case 'remove-customer': {
      const id = operation.op === 'put-customer' ? operation.customer.id : operation.id
      const customer = config.customers.find((item) => item.id === id)
      return customer ? { op: 'put-customer', customer } : { op: 'remove-customer', id }
    }
    case 'put-kind':
    case 'remove-kind': {
      const id = operation.op === 'put-kind' ? operation.kind.kind : operation.kind
      const kind = config.kinds.find((item) => item.kind === id)
      return kind ? { op: 'put-kind', kind } : { op: 'remove-kind', kind: id }
    }
    case 'put-domain':
    case 'remove-domain': {
      const id = operation.op === 'put-domain' ? operation.domain.id : operation.id
      const domain = config.fleet.domains.find((item) => item.id === id)
      return domain ? { op: 'put-domain', domain } : { op: 'remove-domain', id }
    }
    case 'drain':
    case 'undrain': {
      const { endpointId } = operation
      return { op: config.drains.includes(endpointId) ? 'drain' : 'undrain', endpointId }
    }
    default: return assertNever(operation)
  }
}

/**
 * Order of the operations in a delta. Domains are added first and removed last, so that pinned
 * guarantees stay valid when a person reads the operations in order.
 */
const OPERATION_ORDER: readonly ConfigOperation['op'][] = [
  'put-domain', 'put-kind', 'put-customer', 'remove-customer', 'remove-kind', 'remove-domain', 'drain', 'undrain'
]

const listPutOperations = (config: Config): ConfigOperation[] => [
  ...config.fleet.domains.map((domain) => ({ op: 'put-domain', domain }) as const),
  ...config.kinds.map((kind) => ({ op: 'put-kind', kind }) as const),
  ...config.customers.map((customer) => ({ op: 'put-customer', customer }) as const),
  ...config.drains.map((endpointId) => ({ op: 'drain', endpointId }) as const)
]

/**
 * An immutable list of operations on a configuration. Each item is the target of at most one
 * operation, so their order does not matter. `apply` keeps the version, because only the config
 * register assigns versions.
 */
export class ConfigDelta {
  static readonly EMPTY = new ConfigDelta([])

  readonly #operations: ConfigDeltaBody

  private constructor (operations: ConfigDeltaBody) {
    this.#operations = operations
  }

  /** If several operations have the same target, the last one is kept. */
  static create (operations: ConfigDeltaBody): ConfigDelta {
    const lastByTarget = new Map<string, ConfigOperation>()
    for (const operation of operations) lastByTarget.set(getTarget(operation), operation)
    return new ConfigDelta([...lastByTarget.values()])
  }

  static parse (input: unknown, inputName?: string): ConfigDelta {
    return ConfigDelta.create(parseConfigDelta(input, inputName))
  }

  /** Returns the delta that turns `from` into `to`, ignoring the version. */
  static between (from: Config, to: Config): ConfigDelta {
    const candidates = ConfigDelta.create([...listPutOperations(from), ...listPutOperations(to)])
    const changed = candidates.#operations
      .map((operation) => ({ before: buildRestoreOperation(from, operation), after: buildRestoreOperation(to, operation) }))
      .filter(({ before, after }) => !isDeepStrictEqual(before, after))
      .map(({ after }) => after)
    return new ConfigDelta(changed.sort((a, b) => OPERATION_ORDER.indexOf(a.op) - OPERATION_ORDER.indexOf(b.op)))
  }

  get operations (): ConfigDeltaBody {
    return this.#operations
  }

  get isEmpty (): boolean {
    return this.#operations.length === 0
  }

  /** Removing an absent item changes nothing; callers can detect and reject it with `findMissingTarget`. */
  apply (config: Config): Config {
    return sortConfig(this.#operations.reduce(applyOperation, config))
  }

  /** Returns the delta that restores `config` after this delta was applied to it. */
  invert (config: Config): ConfigDelta {
    return new ConfigDelta(this.#operations.map((operation) => buildRestoreOperation(config, operation)))
  }

  /** Returns one delta with the effect of this delta followed by `later`. */
  merge (later: ConfigDelta): ConfigDelta {
    return ConfigDelta.create([...this.#operations, ...later.#operations])
  }

  /** Returns the first operation that removes or undrains an item missing from the configuration. */
  findMissingTarget (config: Config): ConfigOperation | undefined {
    return this.#operations.find((operation) =>
      (operation.op.startsWith('remove-') || operation.op === 'undrain') &&
      isDeepStrictEqual(buildRestoreOperation(config, operation), operation))
  }

  toJSON (): ConfigDeltaBody {
    return this.#operations
  }
}
