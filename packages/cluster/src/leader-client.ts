import { asId, IbisError, type ErrorKind, type NodeId } from '@ibisstair/common'
import type { RpcClient, Target } from '@ibisstair/rpc'
import type { TimerService } from '@ibisstair/timers'
import { LEADER_ATTEMPT_TIMEOUT_MS, LEADER_RETRY_DELAY_MS, MIN_ATTEMPT_TIMEOUT_MS, RETRY_AFTER_MS } from './constants.ts'
import type { LeaderFinder } from './leader-finder.ts'
import type { LeaderMethod } from './types.ts'

/** Errors after which another process, or the same process later, may be able to handle the call. */
const RETRYABLE_KINDS: ReadonlySet<ErrorKind> = new Set(['not-leader', 'no-leader', 'no-quorum', 'unreachable', 'outcome-unknown', 'shutting-down', 'overloaded', 'disk-full'])

/** Calls that change nothing, so that an attempt without an answer does not matter. */
const READ_METHODS: ReadonlySet<LeaderMethod> = new Set(['job.status', 'queue.pending', 'config.get', 'domain.list'])

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

/**
 * Sends calls to the current leader and retries them until the deadline, which is safe because every
 * call is idempotent. Only a leader can tell that the work never runs, and only if no earlier attempt
 * went without an answer: that one may have been carried out, or may still be, whatever became of the
 * caller's key or queue meanwhile. A call without a certain answer rejects with `outcome-unknown`.
 */
export class LeaderClient {
  readonly #options: LeaderClientOptions

  constructor (options: LeaderClientOptions) {
    this.#options = options
  }

  async call<T> (method: LeaderMethod, params: unknown, timeoutMs: number): Promise<T> {
    const { timers, finder } = this.#options
    const deadline = timers.now() + timeoutMs
    let lastErr = new IbisError('no-leader', 'no leader is known')
    let mayBeCarriedOut = false
    for (;;) {
      const remainingMs = deadline - timers.now()
      if (remainingMs < MIN_ATTEMPT_TIMEOUT_MS) throw new IbisError('outcome-unknown', lastErr.message, { cause: lastErr, retryAfterMs: RETRY_AFTER_MS })
      const leader = finder.leader
      if (leader === null) {
        finder.refresh()
        await timers.delay(Math.min(LEADER_RETRY_DELAY_MS, remainingMs))
        continue
      }
      try {
        return await this.#attempt<T>(leader, method, params, Math.min(LEADER_ATTEMPT_TIMEOUT_MS, remainingMs))
      } catch (err) {
        lastErr = IbisError.from(err)
        if (!RETRYABLE_KINDS.has(lastErr.kind)) throw mayBeCarriedOut ? withoutNotRun(lastErr) : lastErr
        mayBeCarriedOut ||= !READ_METHODS.has(method) && isAmbiguous(lastErr)
        finder.invalidateLeader(leader, lastErr.kind === 'not-leader' ? asId<NodeId>(String(lastErr.details?.leader ?? '')) || null : null)
        await timers.delay(Math.min(LEADER_RETRY_DELAY_MS, Math.max(0, deadline - timers.now())))
      }
    }
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
      if (!RETRYABLE_KINDS.has(ibisErr.kind)) finder.confirmLeader(leader)
      throw ibisErr
    }
  }
}

/** Whether the attempt may have been carried out, now or later. */
const isAmbiguous = (err: IbisError): boolean =>
  err.execution !== 'not-run' && !(err.kind === 'unreachable' && err.details?.reason === 'connect')

/** Returns the error without the claim that nothing has run. */
const withoutNotRun = (err: IbisError): IbisError => {
  if (err.execution !== 'not-run') return err
  return new IbisError('outcome-unknown', `${err.message}; an earlier attempt got no answer and may have been carried out`, {
    cause: err,
    ...(err.retryAfterMs !== undefined && { retryAfterMs: err.retryAfterMs })
  })
}
