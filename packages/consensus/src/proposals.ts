import { IbisError } from '@ibisstair/common'
import type { NodeId } from '@ibisstair/common'
import type { TimerService, Unsubscribe } from '@ibisstair/timers'
import type { RefusalReason } from './replica-types.ts'

interface Pending<Result> {
  readonly resolve: (result: Result) => void
  readonly reject: (err: IbisError) => void
  readonly cancelTimeout: Unsubscribe
  /** Where the command stands in the log; null until the replica accepted it. */
  position: { readonly index: number, readonly term: number } | null
}

const REFUSALS: Record<RefusalReason, () => IbisError> = {
  'not-leader': () => new IbisError('not-leader', 'this replica is not the leader'),
  'no-quorum': () => new IbisError('no-quorum', 'the leader has no contact with a majority'),
  'disk-full': () => new IbisError('disk-full', 'the disk of the leader is full'),
  overloaded: () => new IbisError('overloaded', 'too many entries of the group are not committed yet'),
  'change-in-flight': () => new IbisError('overloaded', 'another membership change is in flight'),
  'invalid-change': () => new IbisError('invalid-request', 'the membership change does not fit the members')
}

/** Commands that wait for their outcome. Each one ends exactly once. */
export class Proposals<Result> {
  readonly #timers: TimerService
  readonly #pending = new Map<number, Pending<Result>>()
  /** Ids by log index; one index can have commands of several terms. */
  readonly #byIndex = new Map<number, number[]>()
  #nextId = 0

  constructor (timers: TimerService) {
    this.#timers = timers
  }

  get size (): number {
    return this.#pending.size
  }

  /** Calls `start` with the id under which the replica reports on the command. */
  add (timeoutMs: number, start: (id: number) => void): Promise<Result> {
    const id = this.#nextId++
    return new Promise((resolve, reject) => {
      const cancelTimeout = this.#timers.subscribe(timeoutMs, () => this.#fail(id, new IbisError('outcome-unknown', `the command was not committed within ${timeoutMs} ms`)))
      this.#pending.set(id, { resolve, reject, cancelTimeout, position: null })
      start(id)
    })
  }

  accept (id: number, index: number, term: number): void {
    const pending = this.#pending.get(id)
    if (!pending) return
    pending.position = { index, term }
    this.#byIndex.set(index, [...this.#byIndex.get(index) ?? [], id])
  }

  refuse (id: number, reason: RefusalReason, leader: NodeId | null): void {
    const err = REFUSALS[reason]()
    this.#fail(id, reason === 'not-leader' ? new IbisError('not-leader', err.message, { info: { leader } }) : err)
  }

  /** The entries from the index on were neither stored nor sent. */
  drop (fromIndex: number): void {
    for (const [id, { position }] of this.#pending) {
      if (position && position.index >= fromIndex) this.#fail(id, REFUSALS['disk-full']())
    }
  }

  /** The entry at the index is committed; a command of another term at that index never will be. */
  finish (index: number, term: number, getResult: () => Result): void {
    for (const id of this.#byIndex.get(index) ?? []) {
      if (this.#pending.get(id)?.position?.term === term) this.#succeed(id, getResult)
      else this.#fail(id, new IbisError('not-leader', 'another leader replaced the command before it was committed', { info: { leader: null } }))
    }
  }

  /** A snapshot took the place of the entries up to the index, so their outcome is not known here. */
  skip (index: number): void {
    for (const [id, { position }] of this.#pending) {
      if (position && position.index <= index) this.#fail(id, new IbisError('outcome-unknown', 'a snapshot replaced the entry of the command'))
    }
  }

  failAll (detail: string): void {
    for (const id of [...this.#pending.keys()]) this.#fail(id, new IbisError('outcome-unknown', detail))
  }

  #succeed (id: number, getResult: () => Result): void {
    const pending = this.#take(id)
    if (!pending) return
    try {
      pending.resolve(getResult())
    } catch (err) {
      pending.reject(IbisError.from(err))
    }
  }

  #fail (id: number, err: IbisError): void {
    this.#take(id)?.reject(err)
  }

  #forgetIndex (index: number, id: number): void {
    const rest = (this.#byIndex.get(index) ?? []).filter((other) => other !== id)
    if (rest.length > 0) this.#byIndex.set(index, rest)
    else this.#byIndex.delete(index)
  }

  #take (id: number): Pending<Result> | undefined {
    const pending = this.#pending.get(id)
    this.#pending.delete(id)
    pending?.cancelTimeout()
    if (pending?.position) this.#forgetIndex(pending.position.index, id)
    return pending
  }
}
