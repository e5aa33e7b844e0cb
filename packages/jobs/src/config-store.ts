import type { CustomerId } from '@ibisstair/common'
import type { QueueConfig, QueuePolicy, QueueRoute, ServiceConfig } from './types.ts'

const toRouteKey = ({ host, pathPrefix }: QueueRoute): string => `${host} ${pathPrefix}`

/** The configuration in force, indexed by what requests look up: host and path, API key and customer. */
export class ConfigStore {
  #config: ServiceConfig | null = null
  #queuesByHost = new Map<string, QueueConfig[]>()
  #queueByRoute = new Map<string, QueueConfig>()
  #queueByName = new Map<string, QueueConfig>()
  #customerByKey = new Map<string, CustomerId>()
  #guarantees = new Map<CustomerId, number>()

  get config (): ServiceConfig | null {
    return this.#config
  }

  get version (): number {
    return this.#config?.version ?? 0
  }

  /** Replaces the configuration if the version is higher, and returns whether it did. */
  put (config: ServiceConfig): boolean {
    if (this.#config && config.version <= this.#config.version) return false
    this.#config = config
    this.#index(config)
    return true
  }

  restore (config: ServiceConfig | null): void {
    this.#config = config
    if (config) this.#index(config)
  }

  findQueue (host: string, path: string): QueueConfig | undefined {
    return this.#queuesByHost.get(host)?.find((queue) => path.startsWith(queue.pathPrefix))
  }

  hasService (service: string): boolean {
    return this.#config?.services.includes(service) ?? false
  }

  /** Returns the queue of a policy; undefined if the configuration has dropped it. Callers know a queue by its route. */
  findQueueOf ({ queue, route }: QueuePolicy): QueueConfig | undefined {
    return (route && this.#queueByRoute.get(toRouteKey(route))) ?? this.#queueByName.get(queue)
  }

  findCustomer (key: string): CustomerId | undefined {
    return this.#customerByKey.get(key)
  }

  getGuarantee (customer: CustomerId | null): number {
    return customer === null ? 0 : this.#guarantees.get(customer) ?? 0
  }

  #index ({ queues, customers }: ServiceConfig): void {
    this.#queuesByHost = new Map()
    for (const queue of queues) this.#queuesByHost.set(queue.host, [...this.#queuesByHost.get(queue.host) ?? [], queue])
    // Sorted so that `findQueue` returns the queue with the longest matching prefix.
    for (const list of this.#queuesByHost.values()) list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
    this.#queueByRoute = new Map(queues.map((queue) => [toRouteKey(queue), queue]))
    this.#queueByName = new Map(queues.map((queue) => [queue.name, queue]))
    this.#customerByKey = new Map(customers.flatMap(({ name, keys }) => keys.map((key) => [key, name] as const)))
    this.#guarantees = new Map(customers.map(({ name, guaranteedAccelerators }) => [name, guaranteedAccelerators]))
  }
}
