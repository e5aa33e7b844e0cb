import type { TaskId } from '@ibisstair/common'
import { MAX_RETURN_MS } from './constants.ts'
import type { EndpointIncarnation } from './types.ts'

/** A run that was counted as lost while its endpoint did not answer. */
export interface SilentLoss {
  readonly task: TaskId
  readonly run: number
  readonly ranMs: number | null
  readonly atMs: number
}

/**
 * Runs that were counted as lost while their endpoint did not answer. Whether it was cut off or has crashed is
 * known only when the same incarnation reports again, or another one takes its place.
 */
export class SilentLosses {
  readonly #byEndpoint = new Map<EndpointIncarnation, readonly SilentLoss[]>()

  list (endpoint: EndpointIncarnation): readonly SilentLoss[] {
    return this.#byEndpoint.get(endpoint) ?? []
  }

  add (endpoint: EndpointIncarnation, losses: readonly SilentLoss[], nowMs: number): void {
    this.#removeExpired(nowMs)
    if (losses.length > 0) this.#byEndpoint.set(endpoint, [...this.list(endpoint), ...losses])
  }

  /** Returns the losses of an incarnation that has ended, and removes them. */
  take (endpoint: EndpointIncarnation, nowMs: number): readonly SilentLoss[] {
    this.#removeExpired(nowMs)
    const losses = this.list(endpoint)
    this.#byEndpoint.delete(endpoint)
    return losses
  }

  /** The incarnation has reported: it did not crash. */
  forget (endpoint: EndpointIncarnation): void {
    this.#byEndpoint.delete(endpoint)
  }

  toSnapshot (): ReadonlyArray<readonly [EndpointIncarnation, readonly SilentLoss[]]> {
    return [...this.#byEndpoint]
  }

  restore (snapshot: ReadonlyArray<readonly [EndpointIncarnation, readonly SilentLoss[]]>): void {
    this.#byEndpoint.clear()
    for (const [endpoint, losses] of snapshot) this.#byEndpoint.set(endpoint, losses)
  }

  #removeExpired (nowMs: number): void {
    for (const [endpoint, losses] of this.#byEndpoint) {
      if (losses.every(({ atMs }) => nowMs - atMs > MAX_RETURN_MS)) this.#byEndpoint.delete(endpoint)
    }
  }
}
