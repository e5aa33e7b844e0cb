import { asId, IbisError, type ErrorKind, type NodeId } from '@ibisstair/common'
import type { RpcClient, Target } from '@ibisstair/rpc'
import type { TimerService } from '@ibisstair/timers'
import { LEADER_ATTEMPT_MS, LEADER_RETRY_MS, MIN_ATTEMPT_MS, RETRY_AFTER_MS } from './constants.ts'
import type { LeaderFinder } from './leader-finder.ts'
import type { LeaderMethod } from './types.ts'

/** Another process, or the same one a little later, may carry out the call. */
const RETRIED: ReadonlySet<ErrorKind> = new Set(['not-leader', 'no-leader', 'no-quorum', 'unreachable', 'outcome-unknown', 'shutting-down', 'overloaded', 'disk-full'])

/** Handles a call in this process; rejects with `not-leader` when it does not lead. */
export type LocalCall = (method: LeaderMethod, params: unknown) => Promise<unknown>

export interface LeaderClientOptions {
  readonly rpc: RpcClient
  readonly timers: TimerService
  readonly finder: LeaderFinder
  readonly toTarget: (node: NodeId) => Target
  /** Set in a control process, which may be the leader itself. */
  readonly local?: { readonly node: NodeId, readonly call: LocalCall }
}

/**
 * Calls the leader wherever it is. All its calls are idempotent, so that they are repeated until the
 * deadline. Only a leader that has looked at its record can say that work never runs: an earlier
 * attempt through another process may have been carried out. Any other failure is `outcome-unknown`.
 */
export class LeaderClient {
  readonly #options: LeaderClientOptions

  constructor (options: LeaderClientOptions) {
    this.#options = options
  }

  async call<T> (method: LeaderMethod, params: unknown, timeoutMs: number): Promise<T> {
    const { timers, finder } = this.#options
    const deadline = timers.now() + timeoutMs
    let last = new IbisError('no-leader', 'no leader is known')
    for (;;) {
      const remainingMs = deadline - timers.now()
      if (remainingMs < MIN_ATTEMPT_MS) throw new IbisError('outcome-unknown', last.message, { cause: last, retryAfterMs: RETRY_AFTER_MS })
      const leader = finder.leader
      if (leader === null) {
        finder.refresh()
        await timers.delay(Math.min(LEADER_RETRY_MS, remainingMs))
        continue
      }
      try {
        return await this.#attempt<T>(leader, method, params, Math.min(LEADER_ATTEMPT_MS, remainingMs))
      } catch (err) {
        last = IbisError.from(err)
        if (!RETRIED.has(last.kind)) throw last
        finder.noteFailure(leader, last.kind === 'not-leader' ? asId<NodeId>(String(last.details?.leader ?? '')) || null : null)
        await timers.delay(Math.min(LEADER_RETRY_MS, Math.max(0, deadline - timers.now())))
      }
    }
  }

  async #attempt<T> (leader: NodeId, method: LeaderMethod, params: unknown, timeoutMs: number): Promise<T> {
    const { rpc, finder, toTarget, local } = this.#options
    if (leader === local?.node) {
      const result = await local.call(method, params) as T
      finder.noteAnswer(leader)
      return result
    }
    try {
      const result = await rpc.call<T>(toTarget(leader), method, params, timeoutMs)
      finder.noteAnswer(leader)
      return result
    } catch (err) {
      const known = IbisError.from(err)
      // An answer that refuses for other reasons still shows that the leader is there.
      if (!RETRIED.has(known.kind)) finder.noteAnswer(leader)
      throw known
    }
  }
}
