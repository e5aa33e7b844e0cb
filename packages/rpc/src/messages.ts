import type { IbisError, NodeId } from '@ibisstair/common'
import { MAX_MESSAGE_BATCHES_IN_FLIGHT, MAX_MESSAGES_PER_BATCH, MAX_QUEUED_MESSAGES } from './constants.ts'
import type { RpcClient } from './client.ts'
import type { Target } from './types.ts'

interface QueuedMessage {
  readonly group: string
  readonly message: unknown
}

/** Looks up the address of a node: a map of configured nodes, or a function for nodes that are discovered at run time. */
export interface TargetLookup {
  get (node: NodeId): Target | undefined
}

/** Messages that wait to be sent to one node. */
interface TargetQueue {
  readonly messages: QueuedMessage[]
  batchesInFlight: number
}

/** Parameters of the call `raft.message`. */
export interface MessageBatch {
  readonly messages: readonly QueuedMessage[]
}

/**
 * Sends one-way messages of the replicated-log groups. Messages to the same node are sent in
 * batches. The queue of a slow or unreachable node is bounded: the oldest messages are dropped,
 * which the consensus protocol tolerates.
 */
export class MessageSender {
  readonly #client: RpcClient
  readonly #targets: TargetLookup
  readonly #timeoutMs: number
  readonly #onFailure: (to: NodeId, err: IbisError) => void
  readonly #queues = new Map<NodeId, TargetQueue>()

  constructor (client: RpcClient, targets: TargetLookup, timeoutMs: number, onFailure: (to: NodeId, err: IbisError) => void = () => {}) {
    this.#client = client
    this.#targets = targets
    this.#timeoutMs = timeoutMs
    this.#onFailure = onFailure
  }

  send (group: string, to: NodeId, message: unknown): void {
    if (!this.#targets.get(to)) return
    const queue = this.#getQueue(to)
    queue.messages.push({ group, message })
    if (queue.messages.length > MAX_QUEUED_MESSAGES) {
      queue.messages.shift()
      this.#client.counters.messagesDropped += 1
    }
    // Waiting for the microtask puts messages of the same event loop turn into one batch.
    queueMicrotask(() => this.#flush(to, queue))
  }

  #getQueue (to: NodeId): TargetQueue {
    const existing = this.#queues.get(to)
    if (existing) return existing
    const queue: TargetQueue = { messages: [], batchesInFlight: 0 }
    this.#queues.set(to, queue)
    return queue
  }

  #flush (to: NodeId, queue: TargetQueue): void {
    if (queue.messages.length === 0 || queue.batchesInFlight >= MAX_MESSAGE_BATCHES_IN_FLIGHT) return
    const target = this.#targets.get(to)
    if (!target) return
    const messages = queue.messages.splice(0, MAX_MESSAGES_PER_BATCH)
    queue.batchesInFlight += 1
    this.#client.call(target, 'raft.message', { messages } satisfies MessageBatch, this.#timeoutMs)
      .catch((err: IbisError) => this.#onFailure(to, err))
      .finally(() => {
        queue.batchesInFlight -= 1
        this.#flush(to, queue)
      })
  }
}
