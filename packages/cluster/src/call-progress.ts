import { IbisError, type ErrorKind } from '@ibisstair/common'
import { isUndelivered } from '@ibisstair/rpc'
import { RETRY_AFTER_MS } from './constants.ts'
import type { LeaderMethod } from './types.ts'

/** Errors after which another process, or the same process later, may be able to handle the call. */
const RETRYABLE_KINDS: ReadonlySet<ErrorKind> = new Set(['not-leader', 'no-leader', 'no-quorum', 'unreachable', 'outcome-unknown', 'shutting-down', 'overloaded', 'disk-full'])

/** Calls that change nothing, so that an attempt without an answer does not matter. */
const READ_METHODS: ReadonlySet<LeaderMethod> = new Set(['job.status', 'queue.pending', 'config.get', 'domain.list'])

export const isRetryable = ({ kind }: IbisError): boolean => RETRYABLE_KINDS.has(kind)

/**
 * What the failed attempts of one call prove about its effect. It answers calls at a leader that is frozen, cut off or
 * being replaced: an attempt on an open connection without an answer may have been carried out, or may still be,
 * whatever later attempts are answered.
 */
export class CallProgress {
  readonly #isRead: boolean
  #mayBeCarriedOut = false
  #lastErr = new IbisError('no-leader', 'no leader is known')

  constructor (method: LeaderMethod) {
    this.#isRead = READ_METHODS.has(method)
  }

  /** Whether a change that the call asks for may have been made, or may still be. */
  get mayBeCarriedOut (): boolean {
    return this.#mayBeCarriedOut
  }

  /** Records the error of an attempt that may be repeated. */
  recordFailure (err: IbisError): void {
    this.#lastErr = err
    this.#mayBeCarriedOut ||= !this.#isRead && err.execution !== 'not-run' && !isUndelivered(err)
  }

  /** Returns the error of a call that is not tried again: `no-leader` (not run) if that is certain, else `outcome-unknown`. */
  toFinalError (): IbisError {
    const { message } = this.#lastErr
    const options = { cause: this.#lastErr, retryAfterMs: RETRY_AFTER_MS }
    return this.#mayBeCarriedOut ? new IbisError('outcome-unknown', message, options) : new IbisError('no-leader', `no leader was reached: ${message}`, options)
  }

  /** Returns a leader's error without the claim that nothing has run, where an earlier attempt contradicts it. */
  qualify (err: IbisError): IbisError {
    if (!this.#mayBeCarriedOut || err.execution !== 'not-run') return err
    return new IbisError('outcome-unknown', `${err.message}; an earlier attempt got no answer and may have been carried out`, {
      cause: err,
      ...(err.retryAfterMs !== undefined && { retryAfterMs: err.retryAfterMs })
    })
  }
}
