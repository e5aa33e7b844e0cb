import type { IbisError, NodeId } from '@ibisstair/common'
import { MAX_MESSAGE_BATCHES_IN_FLIGHT, MAX_MESSAGES_PER_BATCH, MAX_QUEUED_MESSAGES } from './constants.ts'
import type { RpcClient } from './client.ts'
import type { Target } from './types.ts'

interface Queued {
  readonly group: string
  readonly message: unknown
}

/** Where a node listens; a map of configured nodes, or a rule for nodes that are found at run time. */
export interface TargetLookup {
  get (node: NodeId): Target | undefined
}

interface Lane {
  readonly queue: Queued[]
  inFlight: number
}

export interface MessageBatch {
  readonly messages: readonly Queued[]
}

/**
 * Delivers one-way messages of the replicated-log groups. Messages to one node share batches; a
 * slow or unreachable node costs a bounded queue from which the oldest messages are dropped, which
 * the consensus protocol tolerates.
 */
export class MessageSender {
  readonly #client: RpcClient
  readonly #targets: TargetLookup
  readonly #timeoutMs: number
  readonly #onFailure: (to: NodeId, err: IbisError) => void
  readonly #lanes = new Map<NodeId, Lane>()

  constructor (client: RpcClient, targets: TargetLookup, timeoutMs: number, onFailure: (to: NodeId, err: IbisError) => void = () => {}) {
    this.#client = client
    this.#targets = targets
    this.#timeoutMs = timeoutMs
    this.#onFailure = onFailure
  }

  send (group: string, to: NodeId, message: unknown): void {
    if (!this.#targets.get(to)) return
    const lane = this.#getLane(to)
    lane.queue.push({ group, message })
    if (lane.queue.length > MAX_QUEUED_MESSAGES) {
      lane.queue.shift()
      this.#client.counters.messagesDropped += 1
    }
    // Messages that are sent in the same turn of the event loop share a batch.
    queueMicrotask(() => this.#flush(to, lane))
  }

  #getLane (to: NodeId): Lane {
    const known = this.#lanes.get(to)
    if (known) return known
    const lane: Lane = { queue: [], inFlight: 0 }
    this.#lanes.set(to, lane)
    return lane
  }

  #flush (to: NodeId, lane: Lane): void {
    if (lane.queue.length === 0 || lane.inFlight >= MAX_MESSAGE_BATCHES_IN_FLIGHT) return
    const target = this.#targets.get(to)
    if (!target) return
    const messages = lane.queue.splice(0, MAX_MESSAGES_PER_BATCH)
    lane.inFlight += 1
    this.#client.call(target, 'raft.message', { messages } satisfies MessageBatch, this.#timeoutMs)
      .catch((err: IbisError) => this.#onFailure(to, err))
      .finally(() => {
        lane.inFlight -= 1
        this.#flush(to, lane)
      })
  }
}
