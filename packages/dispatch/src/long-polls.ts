import { MAX_LONG_POLLS } from './constants.ts'

/**
 * Bounds the renewals that wait at endpoints for the end of a run, each of which holds a connection. The load that this
 * answers: work on thousands of endpoints at a time, under one leader with a few thousand descriptors.
 */
export class LongPolls {
  readonly #max: number
  #active = 0

  constructor (max = MAX_LONG_POLLS) {
    this.#max = max
  }

  /** Runs a renewal that may wait for the given time, or for none while too many others wait. */
  async run<T> (waitMs: number, renew: (waitMs: number) => Promise<T>): Promise<T> {
    if (waitMs === 0 || this.#active >= this.#max) return await renew(0)
    this.#active += 1
    try {
      return await renew(waitMs)
    } finally {
      this.#active -= 1
    }
  }
}
