import { asId, checkValue, IbisError, type NodeId } from '@ibisstair/common'
import type { RpcClient, Target } from '@ibisstair/rpc'
import type { RandomSource, TimerService, Unsubscribe } from '@ibisstair/timers'
import * as v from 'valibot'
import { LEADER_SEARCH_PERIOD_MS, MAX_KNOWN_NODES, REACHABLE_MS, VIEW_REFRESH_PERIOD_MS, VIEW_TIMEOUT_MS } from './constants.ts'
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
  /** Called when the known leader or its term changes; `leader` is null while no leader is known. */
  readonly onChange?: (leader: NodeId | null, term: number) => void
  /** Called when a process answers with a view that can't be read. */
  readonly onError?: (node: NodeId, err: IbisError) => void
}

/**
 * Tracks the control processes and which of them is the leader. It starts from a few seeds, which may
 * be down or out of date, and learns the other members from those that answer.
 */
export class LeaderFinder {
  readonly #options: LeaderFinderOptions
  /** In the order in which they were added; seeds first. */
  readonly #nodes: NodeId[] = []
  #seeds: readonly NodeId[]
  /** Members of the consensus group as the newest view lists them; empty until there is one. */
  #members: readonly NodeId[] = []
  readonly #answeredAtMs = new Map<NodeId, number>()
  #leader: NodeId | null = null
  #term = 0
  #confirmedAtMs = -Infinity
  #isRefreshScheduled = false
  #refreshStartedAtMs = -Infinity
  #stopTimer: Unsubscribe = () => {}

  constructor (options: LeaderFinderOptions) {
    this.#options = options
    this.#seeds = options.seeds
    this.#addNodes(options.seeds)
  }

  start (): void {
    this.#stopTimer = this.#options.timers.every(LEADER_SEARCH_PERIOD_MS, () => this.#tick())
    this.refresh()
  }

  stop (): void {
    this.#stopTimer()
  }

  /** Known control processes. The array is live: it changes as nodes are added and removed. */
  get nodes (): readonly NodeId[] {
    return this.#nodes
  }

  get leader (): NodeId | null {
    return this.#leader
  }

  get term (): number {
    return this.#term
  }

  /** Time at which a leader last answered a call or named itself in its view; -Infinity before that. */
  get confirmedAtMs (): number {
    return this.#confirmedAtMs
  }

  /** Replaces the seeds after a change of the settings. */
  setSeeds (seeds: readonly NodeId[]): void {
    this.#seeds = seeds
    this.#addNodes(seeds)
  }

  /**
   * Whether most of the control processes have answered of late. While they do, a leader that they elect becomes known
   * here; otherwise another process may know one that this process can't reach.
   */
  isMajorityReachable (): boolean {
    const since = this.#options.timers.now() - REACHABLE_MS
    const reachable = this.#members.filter((member) => (this.#answeredAtMs.get(member) ?? -Infinity) > since)
    return 2 * reachable.length > this.#members.length
  }

  /** Records that the node has answered a call, if it is the known leader. */
  confirmLeader (node: NodeId): void {
    if (node === this.#leader) this.#confirmedAtMs = this.#options.timers.now()
  }

  /** Records a failed call: the node no longer counts as the leader. Asks all known nodes if no successor is named. */
  invalidateLeader (node: NodeId, successor: NodeId | null): void {
    if (this.#leader !== node) return
    this.#setLeader(successor === node ? null : successor, this.#term)
    if (successor === null) this.refresh()
  }

  /**
   * Asks every known control process for its view: at once, or when a search period has passed since the last
   * refresh. It does not wait for earlier calls, which hang at a VM that was down when they were sent.
   */
  refresh (): void {
    if (this.#isRefreshScheduled) return
    const { timers } = this.#options
    const waitMs = this.#refreshStartedAtMs + LEADER_SEARCH_PERIOD_MS - timers.now()
    if (waitMs <= 0) return this.#fetchViews()
    this.#isRefreshScheduled = true
    timers.subscribe(waitMs, () => {
      this.#isRefreshScheduled = false
      this.#fetchViews()
    })
  }

  #fetchViews (): void {
    const { timers, onError } = this.#options
    this.#refreshStartedAtMs = timers.now()
    for (const node of [...this.#nodes]) this.#fetchView(node).catch((err: unknown) => onError?.(node, IbisError.from(err)))
  }

  async #fetchView (node: NodeId): Promise<void> {
    const { rpc, toTarget, timers } = this.#options
    const sentAtMs = timers.now()
    const response = await rpc.call<unknown>(toTarget(node), 'cluster.view', {}, VIEW_TIMEOUT_MS).catch((err: unknown) => {
      const { kind } = IbisError.from(err)
      // A leader that has answered a later call is reachable.
      const isConfirmed = node === this.#leader && this.#confirmedAtMs > sentAtMs
      if (kind === 'unreachable' && !isConfirmed) this.#removeNode(node)
      return null
    })
    if (response === null) return
    const view: ClusterView = checkValue(ViewSchema, response, 'cluster.view')
    this.#recordAnswer(node, view)
    this.#addNodes(view.members)
    if (view.leader === null || view.term < this.#term) return
    // Within a term, a known leader is replaced only by a node that names itself: another process may not have learnt that the leader failed.
    if (view.leader !== node && view.term === this.#term && this.#leader !== null) return
    this.#setLeader(view.leader, view.term)
    if (view.leader === node) this.#confirmedAtMs = timers.now()
  }

  #recordAnswer (node: NodeId, { members, term }: ClusterView): void {
    this.#answeredAtMs.set(node, this.#options.timers.now())
    if (members.length > 0 && (term >= this.#term || this.#members.length === 0)) this.#members = members
    for (const known of this.#answeredAtMs.keys()) if (!this.#nodes.includes(known)) this.#answeredAtMs.delete(known)
  }

  #tick (): void {
    const now = this.#options.timers.now()
    const isDue = now - this.#refreshStartedAtMs >= VIEW_REFRESH_PERIOD_MS && now - this.#confirmedAtMs >= VIEW_REFRESH_PERIOD_MS
    if (this.#leader === null || isDue) this.refresh()
  }

  #setLeader (leader: NodeId | null, term: number): void {
    if (leader === this.#leader && term === this.#term) return
    this.#leader = leader
    this.#term = term
    this.#options.onChange?.(leader, term)
  }

  #addNodes (nodes: readonly NodeId[]): void {
    for (const node of nodes) {
      if (this.#nodes.includes(node)) continue
      this.#nodes.push(node)
      if (this.#nodes.length <= MAX_KNOWN_NODES) continue
      const oldest = this.#nodes.findIndex((known) => !this.#seeds.includes(known))
      if (oldest >= 0) this.#nodes.splice(oldest, 1)
    }
  }

  /** Removes an unreachable node, so that a VM that was replaced is not asked for ever. Keeps the seeds and a few other nodes. */
  #removeNode (node: NodeId): void {
    if (this.#leader === node) this.#setLeader(null, this.#term)
    if (this.#seeds.includes(node) || this.#nodes.length <= 2 * this.#seeds.length) return
    this.#nodes.splice(this.#nodes.indexOf(node), 1)
  }
}
