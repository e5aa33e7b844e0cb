import { asId, checkValue, IbisError, type NodeId } from '@ibisstair/common'
import type { RpcClient, Target } from '@ibisstair/rpc'
import type { RandomSource, TimerService, Unsubscribe } from '@ibisstair/timers'
import * as v from 'valibot'
import { MAX_KNOWN_NODES, VIEW_PERIOD_MS, VIEW_RETRY_MS, VIEW_TIMEOUT_MS } from './constants.ts'
import type { ClusterView } from './types.ts'

const ViewSchema = v.object({
  leader: v.nullable(v.pipe(v.string(), v.transform(asId<NodeId>))),
  term: v.number(),
  members: v.pipe(v.array(v.pipe(v.string(), v.transform(asId<NodeId>))), v.maxLength(MAX_KNOWN_NODES))
})

export interface LeaderFinderOptions {
  readonly rpc: RpcClient
  readonly timers: TimerService
  readonly random: RandomSource
  readonly seeds: readonly NodeId[]
  readonly toTarget: (node: NodeId) => Target
  readonly onChange?: (leader: NodeId | null, term: number) => void
}

/**
 * Knows the control processes and which of them leads. It starts from a few seeds, which may be down
 * or out of date, and learns the other members from those that answer.
 */
export class LeaderFinder {
  readonly #options: LeaderFinderOptions
  /** In the order in which they were learnt; seeds first. */
  readonly #nodes: NodeId[] = []
  #seeds: readonly NodeId[]
  #leader: NodeId | null = null
  #term = 0
  #confirmedAtMs = -Infinity
  #isAsking = false
  #askedAtMs = -Infinity
  #stop: Unsubscribe = () => {}

  constructor (options: LeaderFinderOptions) {
    this.#options = options
    this.#seeds = options.seeds
    this.#remember(options.seeds)
  }

  start (): void {
    this.#stop = this.#options.timers.every(VIEW_RETRY_MS, () => this.#tick())
    this.refresh()
  }

  stop (): void {
    this.#stop()
  }

  /** Known control processes. The array changes as others are learnt. */
  get nodes (): readonly NodeId[] {
    return this.#nodes
  }

  get leader (): NodeId | null {
    return this.#leader
  }

  get term (): number {
    return this.#term
  }

  /** When a leader last answered or was named by a process that answered. */
  get confirmedAtMs (): number {
    return this.#confirmedAtMs
  }

  /** The settings name other seeds. */
  setSeeds (seeds: readonly NodeId[]): void {
    this.#seeds = seeds
    this.#remember(seeds)
  }

  /** The leader has answered a call. */
  noteAnswer (node: NodeId): void {
    if (node === this.#leader) this.#confirmedAtMs = this.#options.timers.now()
  }

  /** The node is not, or no longer, the leader; another may be named. */
  noteFailure (node: NodeId, named: NodeId | null): void {
    if (this.#leader !== node) return
    this.#setLeader(named === node ? null : named, this.#term)
    if (named === null) this.refresh()
  }

  /** Asks every known process for its view, unless that is under way. */
  refresh (): void {
    if (this.#isAsking) return
    this.#isAsking = true
    this.#askedAtMs = this.#options.timers.now()
    Promise.allSettled(this.#nodes.map((node) => this.#ask(node)))
      .finally(() => { this.#isAsking = false })
  }

  async #ask (node: NodeId): Promise<void> {
    const { rpc, toTarget, timers } = this.#options
    const answer = await rpc.call<unknown>(toTarget(node), 'cluster.view', {}, VIEW_TIMEOUT_MS).catch((err: unknown) => {
      const { kind } = IbisError.from(err)
      if (kind === 'unreachable') this.#forget(node)
      return null
    })
    if (answer === null) return
    const view: ClusterView = checkValue(ViewSchema, answer, 'cluster.view')
    this.#remember(view.members)
    if (view.leader === null || view.term < this.#term) return
    // A leader speaks for itself; another process may not have heard that it is gone.
    if (view.leader !== node && view.term === this.#term && this.#leader !== null) return
    this.#setLeader(view.leader, view.term)
    if (view.leader === node) this.#confirmedAtMs = timers.now()
  }

  #tick (): void {
    const now = this.#options.timers.now()
    const isDue = now - this.#askedAtMs >= VIEW_PERIOD_MS && now - this.#confirmedAtMs >= VIEW_PERIOD_MS
    if (this.#leader === null || isDue) this.refresh()
  }

  #setLeader (leader: NodeId | null, term: number): void {
    if (leader === this.#leader && term === this.#term) return
    this.#leader = leader
    this.#term = term
    this.#options.onChange?.(leader, term)
  }

  #remember (nodes: readonly NodeId[]): void {
    for (const node of nodes) {
      if (this.#nodes.includes(node)) continue
      this.#nodes.push(node)
      if (this.#nodes.length > MAX_KNOWN_NODES) this.#nodes.splice(this.#nodes.findIndex((known) => !this.#seeds.includes(known)), 1)
    }
  }

  /** Keeps seeds and a few others, so that a machine that was replaced is not asked for ever. */
  #forget (node: NodeId): void {
    if (this.#leader === node) this.#setLeader(null, this.#term)
    if (this.#seeds.includes(node) || this.#nodes.length <= 2 * this.#seeds.length) return
    this.#nodes.splice(this.#nodes.indexOf(node), 1)
  }
}
