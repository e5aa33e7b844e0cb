import { asId } from '@ibisstair/common'
import type { NodeId } from '@ibisstair/common'
import { RandomSource } from '@ibisstair/timers'
import { Replica } from '../../src/index.ts'
import type { Effect, Mechanism, Member, ReplicaEvent, ReplicaStatus } from '../../src/index.ts'
import { History } from './history.ts'

type Message = Extract<Effect, { type: 'send' }>['message']

interface Envelope {
  readonly from: number
  readonly to: number
  readonly message: Message
}

/** Replicas whose writes are persisted immediately and whose messages are delivered explicitly by the test. */
export class ManualNetwork {
  readonly history: History
  readonly #replicas: Replica[]
  readonly #applied: number[]
  #messages: Envelope[] = []
  #now = 0

  constructor (count: number, disabled: readonly Mechanism[]) {
    const members: Member[] = Array.from({ length: count }, (_, i) => ({ node: asId<NodeId>(`n${i}`), incarnation: '1', role: 'voter', witness: false }))
    this.history = new History(members)
    this.#applied = members.map(() => 0)
    this.#replicas = members.map(({ node }, i) => new Replica(
      { group: 'g', node, incarnation: '1', peers: [], random: new RandomSource(i + 1), maxBatchEntries: 1, disabled },
      { hardState: { term: 0, votedFor: null }, snapshot: { index: 0, term: 0, members, data: '' }, entries: [] },
      0
    ))
  }

  statusOf (i: number): ReplicaStatus {
    return this.#replicas[i]!.getStatus(this.#now)
  }

  step (i: number, event: ReplicaEvent): void {
    const replica = this.#replicas[i]!
    for (const effect of replica.step(event, this.#now)) {
      if (effect.type === 'send') this.#messages.push({ from: i, to: Number(effect.to.slice(1)), message: effect.message })
      if (effect.type === 'append') this.step(i, { type: 'persisted', sequence: effect.sequence })
      if (effect.type === 'commit') this.#apply(i, effect.index)
    }
  }

  /** Delivers matching messages, including those sent in response, until none match; drops all others. */
  deliver (matches: (envelope: Envelope) => boolean): void {
    for (let next = this.#messages.findIndex(matches); next >= 0; next = this.#messages.findIndex(matches)) {
      const [{ from, to, message }] = this.#messages.splice(next, 1) as [Envelope]
      this.step(to, { type: 'message', from: asId<NodeId>(`n${from}`), message })
    }
    this.#messages = []
  }

  /** Advances the time for one replica until it is elected in a later term with the given votes. */
  elect (candidate: number, voters: readonly number[]): void {
    const { term } = this.statusOf(candidate)
    const isElected = (): boolean => this.statusOf(candidate).role === 'leader' && this.statusOf(candidate).term > term
    for (let i = 0; i < 200 && !isElected(); i++) {
      this.#now += 100
      this.step(candidate, { type: 'tick' })
      const isVote = ({ message }: Envelope): boolean => message.type.includes('vote')
      this.#messages = this.#messages.filter(isVote)
      while (this.#messages.length > 0 && !isElected()) {
        const envelope = this.#messages.shift()!
        const other = envelope.from === candidate ? envelope.to : envelope.from
        if (voters.includes(other)) this.step(envelope.to, { type: 'message', from: asId<NodeId>(`n${envelope.from}`), message: envelope.message })
      }
    }
  }

  #apply (i: number, index: number): void {
    for (; this.#applied[i]! < index; this.#applied[i]! += 1) this.history.recordCommit(asId<NodeId>(`n${i}`), this.#replicas[i]!.getEntry(this.#applied[i]! + 1)!)
  }
}
