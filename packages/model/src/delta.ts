import { assertNever } from '@ibisstair/common'
import { isDeepStrictEqual } from 'node:util'
import { parseConfigDelta, sortConfig } from './config.ts'
import type { Config, ConfigDeltaBody, ConfigOperation } from './types.ts'

type Section = 'customer' | 'kind' | 'domain' | 'drain'

/** The item that an operation sets or removes; operations on different items are independent. */
const targetOf = (operation: ConfigOperation): string => {
  const join = (section: Section, id: string): string => `${section}/${id}`
  switch (operation.op) {
    case 'put-customer': return join('customer', operation.customer.id)
    case 'remove-customer': return join('customer', operation.id)
    case 'put-kind': return join('kind', operation.kind.kind)
    case 'remove-kind': return join('kind', operation.kind)
    case 'put-domain': return join('domain', operation.domain.id)
    case 'remove-domain': return join('domain', operation.id)
    case 'drain': return join('drain', operation.endpointId)
    case 'undrain': return join('drain', operation.endpointId)
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

/** The operation that gives the target of another one the state it has in `config`. */
const restoreOperation = (config: Config, operation: ConfigOperation): ConfigOperation => {
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

/** Adding domains first and removing them last keeps pinned guarantees valid in a reader's order. */
const OPERATION_ORDER: readonly ConfigOperation['op'][] = [
  'put-domain', 'put-kind', 'put-customer', 'remove-customer', 'remove-kind', 'remove-domain', 'drain', 'undrain'
]

const listPuts = (config: Config): ConfigOperation[] => [
  ...config.fleet.domains.map((domain) => ({ op: 'put-domain', domain }) as const),
  ...config.kinds.map((kind) => ({ op: 'put-kind', kind }) as const),
  ...config.customers.map((customer) => ({ op: 'put-customer', customer }) as const),
  ...config.drains.map((endpointId) => ({ op: 'drain', endpointId }) as const)
]

/**
 * A change of a configuration as a value. Each item is touched at most once, so the order of the
 * operations does not matter. Applying keeps the version: only the config register assigns one.
 */
export class ConfigDelta {
  static readonly EMPTY = new ConfigDelta([])

  readonly #operations: ConfigDeltaBody

  private constructor (operations: ConfigDeltaBody) {
    this.#operations = operations
  }

  /** Of several operations on one item the last one counts. */
  static create (operations: ConfigDeltaBody): ConfigDelta {
    const last = new Map<string, ConfigOperation>()
    for (const operation of operations) last.set(targetOf(operation), operation)
    return new ConfigDelta([...last.values()])
  }

  static parse (input: unknown, what?: string): ConfigDelta {
    return ConfigDelta.create(parseConfigDelta(input, what))
  }

  /** What turns `from` into `to`, leaving the version aside. */
  static between (from: Config, to: Config): ConfigDelta {
    const touched = ConfigDelta.create([...listPuts(from), ...listPuts(to)])
    const changed = touched.#operations
      .map((operation) => ({ before: restoreOperation(from, operation), after: restoreOperation(to, operation) }))
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

  /** Removing an absent item changes nothing; `findMissingTarget` lets callers refuse it. */
  apply (config: Config): Config {
    return sortConfig(this.#operations.reduce(applyOperation, config))
  }

  /** The delta that restores `config` after this one was applied to it. */
  invert (config: Config): ConfigDelta {
    return new ConfigDelta(this.#operations.map((operation) => restoreOperation(config, operation)))
  }

  /** One delta with the effect of this one followed by `later`. */
  merge (later: ConfigDelta): ConfigDelta {
    return ConfigDelta.create([...this.#operations, ...later.#operations])
  }

  /** The first operation that removes or undrains something the configuration does not have. */
  findMissingTarget (config: Config): ConfigOperation | undefined {
    return this.#operations.find((operation) =>
      (operation.op.startsWith('remove-') || operation.op === 'undrain') &&
      isDeepStrictEqual(restoreOperation(config, operation), operation))
  }

  toJSON (): ConfigDeltaBody {
    return this.#operations
  }
}
