import { checkValue, type NodeId } from '@ibisstair/common'
import { SpeedEstimator, type SpeedSnapshot } from '@ibisstair/estimation'
import type { RpcClient, Target } from '@ibisstair/rpc'
import type { Metrics } from '@ibisstair/telemetry'
import type { TimerService } from '@ibisstair/timers'
import * as v from 'valibot'
import { SPEED_SHARING_TIMEOUT_MS } from './constants.ts'

/** Name of the call; a control process of an earlier build rejects it. */
export const SPEEDS_METHOD = 'fleet.speeds'

/** Bounds of a copy: 4,096 endpoints with ids of at most 120 characters. */
const MAX_ENTRIES = 4_096
const MAX_ID_CHARS = 120

const SpeedsSchema = v.pipe(
  v.object({
    term: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
    ids: v.pipe(v.string(), v.maxLength(MAX_ENTRIES * (MAX_ID_CHARS + 1))),
    speeds: v.pipe(v.array(v.pipe(v.number(), v.safeInteger(), v.minValue(1))), v.maxLength(MAX_ENTRIES)),
    confidences: v.pipe(v.string(), v.regex(/^[1-9]*$/))
  }),
  v.check(({ ids, speeds, confidences }) => speeds.length === confidences.length && speeds.length === (ids === '' ? 0 : ids.split(' ').length), 'the columns must have the same length')
)

interface SpeedCopy {
  readonly term: number
  readonly snapshot: SpeedSnapshot
  readonly receivedAtMs: number
}

export interface SpeedSharingOptions {
  readonly rpc: RpcClient
  readonly toTarget: (node: NodeId) => Target
  readonly timers: TimerService
  readonly metrics: Metrics
}

/**
 * Copies of the learned speeds of endpoints between the control processes. They are not in the log: without them a new
 * leader takes all endpoints for equal and learns again.
 */
export class SpeedSharing {
  readonly #options: SpeedSharingOptions
  #copy: SpeedCopy | null = null

  constructor (options: SpeedSharingOptions) {
    this.#options = options
  }

  /** Sends the leader's speeds to the other control processes. A call that fails is not repeated: the next copy is newer. */
  send (term: number, snapshot: SpeedSnapshot, peers: readonly NodeId[]): void {
    const { rpc, toTarget, metrics } = this.#options
    this.keep(term, snapshot)
    for (const peer of peers) {
      rpc.call(toTarget(peer), SPEEDS_METHOD, { term, ...snapshot }, SPEED_SHARING_TIMEOUT_MS).catch(() => metrics.increment('speeds.unshared'))
    }
  }

  /** Handles the copy of a leader. Throws `invalid-request` for one that can't be read. */
  handleCopy (params: unknown): object {
    const { term, ...snapshot } = checkValue(SpeedsSchema, params, SPEEDS_METHOD)
    this.keep(term, snapshot)
    return {}
  }

  /** Keeps the copy unless one of a newer leader is known. */
  keep (term: number, snapshot: SpeedSnapshot): void {
    if (this.#copy && term < this.#copy.term) return
    this.#copy = { term, snapshot, receivedAtMs: this.#options.timers.now() }
  }

  /** Returns the estimator of a new leader, which starts from the newest copy. */
  createEstimator (): SpeedEstimator {
    const estimator = new SpeedEstimator()
    if (this.#copy) estimator.restore(this.#copy.snapshot, this.#copy.receivedAtMs)
    return estimator
  }
}
