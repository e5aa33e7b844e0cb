import { Agent } from 'node:http'
import { dropIdleConnections } from './client.ts'

export interface ConnectionPoolOptions<Purpose extends string> {
  /** Connections to one target for each purpose; calls that may stay open for long do not hold up the others. */
  readonly maxConnections: Readonly<Record<Purpose, number>>
  /** Number of targets to which idle connections are kept: those that were used last. */
  readonly maxTargets: number
}

/**
 * Keep-alive connections to many targets, for a process with a bounded number of descriptors. The load that this answers:
 * thousands of targets, each of which is called now and then, so that connections to all of them would use up the descriptors.
 */
export class ConnectionPool<Purpose extends string> {
  readonly #options: ConnectionPoolOptions<Purpose>
  /** In the order of their last use, the oldest first. */
  readonly #agentsByTarget = new Map<string, ReadonlyMap<Purpose, Agent>>()

  constructor (options: ConnectionPoolOptions<Purpose>) {
    this.#options = options
  }

  getAgent (target: string, purpose: Purpose): Agent {
    const agents = this.#agentsByTarget.get(target) ?? this.#createAgents()
    this.#agentsByTarget.delete(target)
    this.#agentsByTarget.set(target, agents)
    if (this.#agentsByTarget.size > this.#options.maxTargets) this.#removeOldest()
    return agents.get(purpose)!
  }

  /** Closes the connections to a target, those in use as well. */
  close (target: string): void {
    for (const agent of this.#agentsByTarget.get(target)?.values() ?? []) agent.destroy()
    this.#agentsByTarget.delete(target)
  }

  #createAgents (): Map<Purpose, Agent> {
    const { maxConnections } = this.#options
    const purposes = Object.keys(maxConnections) as Purpose[]
    return new Map(purposes.map((purpose) => [purpose, createAgent(maxConnections[purpose])]))
  }

  /** Closes idle connections at once, and those in use when their call is over. */
  #removeOldest (): void {
    const [target, agents] = this.#agentsByTarget.entries().next().value!
    this.#agentsByTarget.delete(target)
    for (const agent of agents.values()) {
      dropIdleConnections(agent)
      agent.maxFreeSockets = 0
    }
  }
}

const createAgent = (maxSockets: number): Agent => new Agent({ keepAlive: true, maxSockets, maxFreeSockets: maxSockets, scheduling: 'lifo' })
