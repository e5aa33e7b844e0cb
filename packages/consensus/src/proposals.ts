import { IbisError } from '@ibisstair/common'
import type { NodeId } from '@ibisstair/common'
import type { TimerService, Unsubscribe } from '@ibisstair/timers'
import type { RefusalReason } from './replica-types.ts'

interface PendingProposal<Result> {
  readonly resolve: (result: Result) => void
  readonly reject: (err: IbisError) => void
  readonly cancelTimeout: Unsubscribe
  /** Position of the command in the log; null until the replica has accepted it. */
  position: { readonly index: number, readonly term: number } | null
}

const REFUSAL_ERRORS: Record<RefusalReason, () => IbisError> = {
  'not-leader': () => new IbisError('not-leader', 'this replica is not the leader'),
  'no-quorum': () => new IbisError('no-quorum', 'the leader has not heard from a majority of the voters'),
  'disk-full': () => new IbisError('disk-full', 'the disk of the leader is full'),
  overloaded: () => new IbisError('overloaded', 'the group has too many uncommitted entries'),
  'change-in-flight': () => new IbisError('overloaded', 'another membership change is in progress'),
  'invalid-change': () => new IbisError('invalid-request', 'the membership change is not valid for the current members')
}

/** Pending proposals. Each one is resolved or rejected exactly once. */
export class Proposals<Result> {
  readonly #timers: TimerService
  readonly #pending = new Map<number, PendingProposal<Result>>()
  /** Proposal ids by log index; one index can have commands of several terms. */
  readonly #idsByIndex = new Map<number, number[]>()
  #nextId = 0

  constructor (timers: TimerService) {
    this.#timers = timers
  }

  get size (): number {
    return this.#pending.size
  }

  /** Adds a proposal and calls `dispatch` with its id, which the replica uses to report the outcome. */
  add (timeoutMs: number, dispatch: (id: number) => void): Promise<Result> {
    const id = this.#nextId++
    return new Promise((resolve, reject) => {
      const cancelTimeout = this.#timers.subscribe(timeoutMs, () => this.#reject(id, new IbisError('outcome-unknown', `the command was not committed within ${timeoutMs} ms`)))
      this.#pending.set(id, { resolve, reject, cancelTimeout, position: null })
      dispatch(id)
    })
  }

  accept (id: number, index: number, term: number): void {
    const pending = this.#pending.get(id)
    if (!pending) return
    pending.position = { index, term }
    this.#idsByIndex.set(index, [...this.#idsByIndex.get(index) ?? [], id])
  }

  refuse (id: number, reason: RefusalReason, leader: NodeId | null): void {
    const err = REFUSAL_ERRORS[reason]()
    this.#reject(id, reason === 'not-leader' ? new IbisError('not-leader', err.message, { info: { leader } }) : err)
  }

  /** Rejects the proposals from the index on with `disk-full`: their entries were neither stored nor sent. */
  failFrom (fromIndex: number): void {
    for (const [id, { position }] of this.#pending) {
      if (position && position.index >= fromIndex) this.#reject(id, REFUSAL_ERRORS['disk-full']())
    }
  }

  /** Settles the proposals at a committed index. A command of another term at that index can never be committed. */
  settle (index: number, term: number, getResult: () => Result): void {
    for (const id of this.#idsByIndex.get(index) ?? []) {
      if (this.#pending.get(id)?.position?.term === term) this.#resolve(id, getResult)
      else this.#reject(id, new IbisError('not-leader', 'a new leader overwrote the command before it was committed', { info: { leader: null } }))
    }
  }

  /** Rejects the proposals up to the index: a snapshot replaced their entries, so their outcome is unknown here. */
  failUpTo (index: number): void {
    for (const [id, { position }] of this.#pending) {
      if (position && position.index <= index) this.#reject(id, new IbisError('outcome-unknown', 'a snapshot replaced the log entry of the command'))
    }
  }

  failAll (detail: string): void {
    for (const id of [...this.#pending.keys()]) this.#reject(id, new IbisError('outcome-unknown', detail))
  }

  #resolve (id: number, getResult: () => Result): void {
    const pending = this.#remove(id)
    if (!pending) return
    try {
      pending.resolve(getResult())
    } catch (err) {
      pending.reject(IbisError.from(err))
    }
  }

  #reject (id: number, err: IbisError): void {
    this.#remove(id)?.reject(err)
  }

  #removeFromIndex (index: number, id: number): void {
    const remainingIds = (this.#idsByIndex.get(index) ?? []).filter((other) => other !== id)
    if (remainingIds.length > 0) this.#idsByIndex.set(index, remainingIds)
    else this.#idsByIndex.delete(index)
  }

  #remove (id: number): PendingProposal<Result> | undefined {
    const pending = this.#pending.get(id)
    this.#pending.delete(id)
    pending?.cancelTimeout()
    if (pending?.position) this.#removeFromIndex(pending.position.index, id)
    return pending
  }
}
