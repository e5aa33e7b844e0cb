import { IbisError, type DomainId, type NodeId } from '@ibisstair/common'
import type { RpcClient, Target } from '@ibisstair/rpc'
import { PeerDirectory } from '@ibisstair/membership'
import type { RandomSource, TimerService } from '@ibisstair/timers'

export interface ControlTarget extends Target {
  readonly node: NodeId
  readonly domain: DomainId
}

const MIN_CALL_MS = 100

const isRefusedByFollower = (err: IbisError): boolean => err.kind === 'not-leader' || err.kind === 'no-leader'
const isNotDelivered = (err: IbisError): boolean => err.details?.reason === 'connect'

/** Calls the leader of a failure domain, remembering which control process led last. */
export class DomainClient {
  readonly #rpc: RpcClient
  readonly #timers: TimerService
  readonly #controls = new Map<DomainId, ControlTarget[]>()
  readonly #leaders = new Map<DomainId, NodeId>()
  readonly #health: PeerDirectory

  constructor (rpc: RpcClient, timers: TimerService, random: RandomSource, controls: readonly ControlTarget[]) {
    this.#rpc = rpc
    this.#timers = timers
    this.#health = new PeerDirectory(random)
    this.#health.handle({ type: 'peers', peers: controls.map(({ node }) => node) }, timers.now())
    for (const control of controls) this.#controls.set(control.domain, [...this.getControls(control.domain), control])
  }

  getControls (domain: DomainId): readonly ControlTarget[] {
    return this.#controls.get(domain) ?? []
  }

  get domains (): DomainId[] {
    return [...this.#controls.keys()]
  }

  /**
   * Tries the control processes of the domain, the last leader first, until one accepts the call.
   * Goes on to the next one only while the call was certainly not acted on; throws the last error.
   */
  async callLeader<T> (domain: DomainId, method: string, params: unknown, timeoutMs: number): Promise<T> {
    const deadline = this.#timers.now() + timeoutMs
    let last = new IbisError('no-leader', `failure domain ${domain} has no control process in the settings`)
    for (const control of this.#getOrder(domain)) {
      const remainingMs = deadline - this.#timers.now()
      if (remainingMs < MIN_CALL_MS) break
      this.#health.handle({ type: 'call-started', peer: control.node }, this.#timers.now())
      try {
        const result = await this.#rpc.call<T>(control, method, params, remainingMs)
        this.#health.handle({ type: 'call-ended', peer: control.node, ok: true }, this.#timers.now())
        this.#leaders.set(domain, control.node)
        return result
      } catch (err) {
        last = IbisError.from(err)
        this.#health.handle({ type: 'call-ended', peer: control.node, ok: last.kind !== 'unreachable' }, this.#timers.now())
        this.#handleFailure(control, last)
        if (!isRefusedByFollower(last) && !isNotDelivered(last)) throw last
      }
    }
    throw last
  }

  #handleFailure (control: ControlTarget, err: IbisError): void {
    if (this.#leaders.get(control.domain) === control.node && (err.kind === 'unreachable' || isRefusedByFollower(err))) this.#leaders.delete(control.domain)
  }

  /** The last leader first, then healthy processes, then the others: a failing one is tried when nothing else is left. */
  #getOrder (domain: DomainId): ControlTarget[] {
    const leader = this.#leaders.get(domain)
    const controls = this.getControls(domain)
    const healthy = this.#health.rank(controls.map(({ node }) => node), this.#timers.now())
    const rank = ({ node }: ControlTarget): number => {
      if (node === leader) return -1
      const position = healthy.indexOf(node)
      return position < 0 ? controls.length : position
    }
    return [...controls].sort((a, b) => rank(a) - rank(b))
  }
}
