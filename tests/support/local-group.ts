import type { NodeId } from '@ibisstair/common'
import type { ReplicaStatus, StateMachine } from '@ibisstair/consensus'
import type { ControlGroup } from '@ibisstair/control'

/** A fake group with one replica that is always the leader and applies commands immediately. */
export class LocalGroup<Command, Result> implements ControlGroup<Command, Result> {
  readonly #node: NodeId
  readonly #machine: StateMachine<Command, Result>
  #index = 0

  constructor (node: NodeId, machine: StateMachine<Command, Result>) {
    this.#node = node
    this.#machine = machine
  }

  async propose (command: Command): Promise<Result> {
    return this.#machine.apply(command, ++this.#index)
  }

  getStatus (): ReplicaStatus {
    return {
      group: 'local',
      node: this.#node,
      incarnation: '1',
      role: 'leader',
      term: 1,
      leader: this.#node,
      commitIndex: this.#index,
      lastIndex: this.#index,
      members: [],
      hasQuorum: true,
      sinceOtherLeaderMs: Infinity
    }
  }

  onStatus (): () => void {
    return () => {}
  }

  handleMessage (): void {}

  transferLeadership (): void {}

  async stop (): Promise<void> {}
}
