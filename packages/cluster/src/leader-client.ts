import { asId, IbisError, type NodeId } from '@ibisstair/common'
import type { RpcClient, Target } from '@ibisstair/rpc'
import type { TimerService } from '@ibisstair/timers'
import { CallProgress, isRetryable } from './call-progress.ts'
import { LEADER_ATTEMPT_TIMEOUT_MS, LEADER_RETRY_DELAY_MS, MIN_ATTEMPT_TIMEOUT_MS } from './constants.ts'
import type { LeaderFinder } from './leader-finder.ts'
import type { LeaderMethod } from './types.ts'

/** Handles a call in this process; rejects with `not-leader` if another process leads. */
export type LocalCallHandler = (method: LeaderMethod, params: unknown) => Promise<unknown>

export interface LeaderClientOptions {
  readonly rpc: RpcClient
  readonly timers: TimerService
  readonly finder: LeaderFinder
  readonly toTarget: (node: NodeId) => Target
  /** Set in a control process, which may be the leader itself. */
  readonly local?: { readonly node: NodeId, readonly call: LocalCallHandler }
}

export interface CallOptions {
  /**
   * Time for which a call that has reached nobody is held, if longer than its timeout. It is held only while most control
   * processes answer: another process looks for the same leader then, while a process that is cut off should give up early.
   */
  readonly holdMs?: number
  /** Whether the answer is no longer awaited, so that no further attempt is made. */
  readonly isAbandoned?: () => boolean
}

interface Deadlines {
  readonly endMs: number
  /** End of a call that has reached nobody, while most control processes answer. */
  readonly heldUntilMs: number
}

/**
 * Sends calls to the current leader and retries them until the deadline, which is safe because every
 * call is idempotent. A call without an answer of the leader rejects with `no-leader` (not run) if none of its
 * requests can have been delivered, and with `outcome-unknown` otherwise.
 */
export class LeaderClient {
  readonly #options: LeaderClientOptions

  constructor (options: LeaderClientOptions) {
    this.#options = options
  }

  async call<T> (method: LeaderMethod, params: unknown, timeoutMs: number, { holdMs = 0, isAbandoned = () => false }: CallOptions = {}): Promise<T> {
    const { timers, finder } = this.#options
    const beganAtMs = timers.now()
    const deadlines = { endMs: beganAtMs + timeoutMs, heldUntilMs: beganAtMs + Math.max(timeoutMs, holdMs) }
    const progress = new CallProgress(method)
    for (;;) {
      const remainingMs = this.#getRemainingMs(deadlines, progress)
      if (remainingMs < MIN_ATTEMPT_TIMEOUT_MS || isAbandoned()) throw progress.toFinalError()
      const leader = finder.leader
      if (leader === null) {
        finder.refresh()
        await timers.delay(Math.min(LEADER_RETRY_DELAY_MS, remainingMs))
        continue
      }
      try {
        return await this.#attempt<T>(leader, method, params, Math.min(LEADER_ATTEMPT_TIMEOUT_MS, remainingMs))
      } catch (err) {
        const attemptErr = IbisError.from(err)
        if (!isRetryable(attemptErr)) throw progress.qualify(attemptErr)
        progress.recordFailure(attemptErr)
        finder.invalidateLeader(leader, attemptErr.kind === 'not-leader' ? asId<NodeId>(String(attemptErr.details?.leader ?? '')) || null : null)
        await timers.delay(Math.min(LEADER_RETRY_DELAY_MS, Math.max(0, this.#getRemainingMs(deadlines, progress))))
      }
    }
  }

  #getRemainingMs ({ endMs, heldUntilMs }: Deadlines, { mayBeCarriedOut }: CallProgress): number {
    const { timers, finder } = this.#options
    const isHeld = !mayBeCarriedOut && finder.isMajorityReachable()
    return (isHeld ? heldUntilMs : endMs) - timers.now()
  }

  async #attempt<T> (leader: NodeId, method: LeaderMethod, params: unknown, timeoutMs: number): Promise<T> {
    const { rpc, finder, toTarget, local } = this.#options
    if (leader === local?.node) {
      const result = await local.call(method, params) as T
      finder.confirmLeader(leader)
      return result
    }
    try {
      const result = await rpc.call<T>(toTarget(leader), method, params, timeoutMs)
      finder.confirmLeader(leader)
      return result
    } catch (err) {
      const ibisErr = IbisError.from(err)
      // Any error that is not retried is an answer of the leader and confirms that it is reachable.
      if (!isRetryable(ibisErr)) finder.confirmLeader(leader)
      throw ibisErr
    }
  }
}
