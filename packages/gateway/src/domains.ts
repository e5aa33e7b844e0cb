import { IbisError, type DomainId, type NodeId } from '@ibisstair/common'
import type { RpcClient, Target } from '@ibisstair/rpc'
import { PeerDirectory } from '@ibisstair/membership'
import type { RandomSource, TimerService } from '@ibisstair/timers'

/** The address of a control process, with its node and failure domain. */
export interface ControlTarget extends Target {
  readonly node: NodeId
  readonly domain: DomainId
}

/** With less time left, no further control process is tried. */
const MIN_CALL_TIMEOUT_MS = 100

const isNotLeader = (err: IbisError): boolean => err.kind === 'not-leader' || err.kind === 'no-leader'
const isUndelivered = (err: IbisError): boolean => err.details?.reason === 'connect'

/** Calls the leader of a failure domain and remembers which control process was the last known leader. */
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
   * Tries the control processes of the domain, the last known leader first, until one accepts the
   * call. Tries the next one only if the call certainly had no effect. Rejects with the last error.
   */
  async callLeader<T> (domain: DomainId, method: string, params: unknown, timeoutMs: number): Promise<T> {
    const deadline = this.#timers.now() + timeoutMs
    let lastError = new IbisError('no-leader', `failure domain ${domain} has no control process in the settings`)
    for (const control of this.#getControlsInOrder(domain)) {
      const remainingMs = deadline - this.#timers.now()
      if (remainingMs < MIN_CALL_TIMEOUT_MS) break
      this.#health.handle({ type: 'call-started', peer: control.node }, this.#timers.now())
      try {
        const result = await this.#rpc.call<T>(control, method, params, remainingMs)
        this.#health.handle({ type: 'call-ended', peer: control.node, ok: true }, this.#timers.now())
        this.#leaders.set(domain, control.node)
        return result
      } catch (err) {
        lastError = IbisError.from(err)
        this.#health.handle({ type: 'call-ended', peer: control.node, ok: lastError.kind !== 'unreachable' }, this.#timers.now())
        this.#handleFailure(control, lastError)
        if (!isNotLeader(lastError) && !isUndelivered(lastError)) throw lastError
      }
    }
    throw lastError
  }

  #handleFailure (control: ControlTarget, err: IbisError): void {
    if (this.#leaders.get(control.domain) === control.node && (err.kind === 'unreachable' || isNotLeader(err))) this.#leaders.delete(control.domain)
  }

  /** Returns the last known leader first, then the healthy processes, then the failing ones. */
  #getControlsInOrder (domain: DomainId): ControlTarget[] {
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
