import { asId, checkValue, type CustomerId, type NodeId } from '@ibisstair/common'
import { MAX_SHARED_GROUPS, type SharedRunTimes } from '@ibisstair/estimation'
import type { RpcClient, Target } from '@ibisstair/rpc'
import type { TimerService, Unsubscribe } from '@ibisstair/timers'
import * as v from 'valibot'
import { RUN_TIMES_PERIOD_MS, RUN_TIMES_TIMEOUT_MS } from './constants.ts'

/** Name of the call; a control process of an earlier build rejects it. */
export const RUN_TIMES_METHOD = 'fleet.run-times'

const MAX_NAME_CHARS = 1_000
const MAX_QUANTILES = 16

const NameSchema = v.pipe(v.string(), v.maxLength(MAX_NAME_CHARS))
const AmountSchema = v.pipe(v.number(), v.finite(), v.minValue(0))
const QuantilesSchema = v.pipe(v.array(AmountSchema), v.maxLength(MAX_QUANTILES))

const SharedRunTimesSchema = v.object({
  work: v.object({
    customer: v.nullable(v.pipe(NameSchema, v.transform(asId<CustomerId>))),
    queue: NameSchema,
    accelerators: AmountSchema
  }),
  isWhole: v.boolean(),
  samples: AmountSchema,
  runTimes: v.pipe(QuantilesSchema, v.minLength(1)),
  estimates: QuantilesSchema,
  weight: AmountSchema
})

const CopySchema = v.object({
  term: AmountSchema,
  groups: v.pipe(v.array(SharedRunTimesSchema), v.maxLength(MAX_SHARED_GROUPS))
})

/** The run times that the leader of a term has learned. */
export interface RunTimesCopy {
  readonly term: number
  readonly groups: readonly SharedRunTimes[]
}

export interface RunTimeSharingOptions {
  readonly rpc: RpcClient
  readonly timers: TimerService
  readonly node: NodeId
  readonly toTarget: (node: NodeId) => Target
  readonly listNodes: () => readonly NodeId[]
  /** Returns null while this process does not lead. */
  readonly readOwn: () => RunTimesCopy | null
}

/**
 * Sends the run times that the leader has learned to the other control processes, so that its successor need not learn
 * them again. They are not in the log: a copy that is lost costs accuracy for some seconds.
 */
export class RunTimeSharing {
  readonly #options: RunTimeSharingOptions
  #copy: RunTimesCopy | null = null
  #stopTimer: Unsubscribe = () => {}

  constructor (options: RunTimeSharingOptions) {
    this.#options = options
  }

  /** Run times of the last leader that sent some, or of this process when it led; none before that. */
  get groups (): readonly SharedRunTimes[] {
    return this.#copy?.groups ?? []
  }

  start (): void {
    this.#stopTimer = this.#options.timers.every(RUN_TIMES_PERIOD_MS, () => this.#share())
  }

  stop (): void {
    this.#stopTimer()
  }

  /** Takes a copy that a leader has sent. One of an earlier term comes from a leader that was replaced. */
  handleCopy (params: unknown): object {
    const copy: RunTimesCopy = checkValue(CopySchema, params, 'run times')
    if (copy.term >= (this.#copy?.term ?? 0)) this.#copy = copy
    return {}
  }

  #share (): void {
    const { rpc, node, toTarget, listNodes, readOwn } = this.#options
    const own = readOwn()
    if (!own) return
    this.#copy = own
    if (own.groups.length === 0) return
    for (const other of listNodes()) {
      // A process of an earlier build does not know the method, and one that is down gets the next copy.
      if (other !== node) rpc.call(toTarget(other), RUN_TIMES_METHOD, own, RUN_TIMES_TIMEOUT_MS).catch(() => {})
    }
  }
}
