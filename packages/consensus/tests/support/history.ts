import type { NodeId } from '@ibisstair/common'
import type { LogEntry, Member } from '../../src/index.ts'

export class SafetyError extends Error {}

const serializeEntry = (entry: LogEntry): string => `${entry.term}:${JSON.stringify(entry.body)}`

/** The reference model: what the group has committed and acknowledged, as observed from outside the replicas. */
export class History {
  readonly #entries = new Map<number, string>()
  readonly #leaders = new Map<number, string>()
  readonly #votes = new Map<string, string>()
  readonly #acknowledged = new Map<unknown, number>()
  #lastIndex = 0
  #members: readonly Member[]
  #membersIndex = 0

  constructor (members: readonly Member[]) {
    this.#members = members
  }

  get lastIndex (): number {
    return this.#lastIndex
  }

  /** The newest committed configuration. */
  get members (): readonly Member[] {
    return this.#members
  }

  get acknowledgedCount (): number {
    return this.#acknowledged.size
  }

  recordCommit (node: NodeId, entry: LogEntry): void {
    const text = serializeEntry(entry)
    const existing = this.#entries.get(entry.index)
    if (existing !== undefined && existing !== text) throw new SafetyError(`index ${entry.index} was committed as ${existing} and on ${node} as ${text}`)
    this.#entries.set(entry.index, text)
    this.#lastIndex = Math.max(this.#lastIndex, entry.index)
    if (entry.body.type === 'members' && entry.index > this.#membersIndex) {
      this.#members = entry.body.members
      this.#membersIndex = entry.index
    }
  }

  recordLeader (node: string, term: number): void {
    const existing = this.#leaders.get(term)
    if (existing !== undefined && existing !== node) throw new SafetyError(`term ${term} has the leaders ${existing} and ${node}`)
    this.#leaders.set(term, node)
  }

  /** Records a vote that was sent to another process. */
  recordVote (voter: string, term: number, candidate: string): void {
    const key = `${voter}/${term}`
    const existing = this.#votes.get(key)
    if (existing !== undefined && existing !== candidate) throw new SafetyError(`${voter} voted in term ${term} for ${existing} and ${candidate}`)
    this.#votes.set(key, candidate)
  }

  recordAcknowledged (command: unknown, index: number): void {
    const text = this.#entries.get(index)
    if (text === undefined || !text.endsWith(JSON.stringify({ type: 'command', command }))) {
      throw new SafetyError(`${JSON.stringify(command)} was acknowledged at index ${index}, which has ${text}`)
    }
    this.#acknowledged.set(command, index)
  }

  /** Checks that no refused command was committed. */
  checkAbsent (commands: ReadonlySet<unknown>): void {
    for (const [index, text] of this.#entries) {
      const body = JSON.parse(text.slice(text.indexOf(':') + 1)) as LogEntry['body']
      if (body.type === 'command' && commands.has(body.command)) throw new SafetyError(`refused command ${JSON.stringify(body.command)} was committed at index ${index}`)
    }
  }

  checkComplete (upTo: number): void {
    if (upTo < this.#lastIndex) throw new SafetyError(`the group ends at index ${upTo}, but ${this.#lastIndex} was committed`)
  }
}
