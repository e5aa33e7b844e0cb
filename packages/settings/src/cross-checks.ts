import type { DomainId, NodeId } from '@ibisstair/common'
import type { Listener, Member } from './fields.ts'

/** A value that is valid by itself and does not agree with another field. */
export interface Conflict {
  readonly path: ReadonlyArray<string | number>
  readonly value: unknown
  readonly accepted: string
}

interface Groups {
  readonly config: { readonly voters: readonly NodeId[] }
  readonly domains: ReadonlyArray<{ readonly domain: DomainId, readonly voters: readonly NodeId[], readonly witness: NodeId }>
}

const joinAddress = ({ address, port }: Listener): string => `${address} port ${port}`

function * findRepeats<T> (items: readonly T[], nameOf: (item: T) => string, path: Conflict['path'], what: string): Generator<Conflict> {
  const seen = new Set<string>()
  for (const [i, item] of items.entries()) {
    const name = nameOf(item)
    if (seen.has(name)) yield { path: [...path, i], value: name, accepted: `${what} that is listed once` }
    seen.add(name)
  }
}

export function * checkMembers (field: string, members: readonly Member[]): Generator<Conflict> {
  yield * findRepeats(members, ({ node }) => node, [field], 'a node')
  yield * findRepeats(members, joinAddress, [field], 'an address and port')
}

export function * checkOwnNode (field: string, members: readonly Member[], node: NodeId, domain: DomainId): Generator<Conflict> {
  const own = members.find((member) => member.node === node)
  if (!own) yield { path: ['node'], value: node, accepted: `a node that ${field} lists` }
  else if (own.domain !== domain) yield { path: ['domain'], value: domain, accepted: `${own.domain}, the domain of node ${node} in ${field}` }
}

export function * checkOwnDomain (controls: readonly Member[], domain: DomainId): Generator<Conflict> {
  if (controls.some((member) => member.domain === domain)) return
  yield { path: ['domain'], value: domain, accepted: 'a domain that controls lists' }
}

export function * checkListeners (listen: Readonly<Record<string, Listener>>): Generator<Conflict> {
  const names = Object.keys(listen)
  const seen = new Set<string>()
  for (const name of names) {
    const value = joinAddress(listen[name]!)
    if (seen.has(value)) yield { path: ['listen', name], value, accepted: 'an address and port that no other listener uses' }
    seen.add(value)
  }
}

function * checkVoters (voters: readonly NodeId[], known: ReadonlyMap<NodeId, Member>, path: Conflict['path'], domain?: DomainId): Generator<Conflict> {
  yield * findRepeats(voters, (voter) => voter, path, 'a voter')
  for (const [i, voter] of voters.entries()) {
    const member = known.get(voter)
    if (!member) yield { path: [...path, i], value: voter, accepted: 'a node that controls lists' }
    else if (domain && member.domain !== domain) yield { path: [...path, i], value: voter, accepted: `a control node of domain ${domain}` }
  }
}

export function * checkGroups (groups: Groups, controls: readonly Member[], ownDomain: DomainId): Generator<Conflict> {
  const known = new Map(controls.map((member) => [member.node, member]))
  yield * checkVoters(groups.config.voters, known, ['groups', 'config', 'voters'])
  yield * findRepeats(groups.domains, ({ domain }) => domain, ['groups', 'domains'], 'a domain')
  for (const [i, { domain, voters, witness }] of groups.domains.entries()) {
    const path = ['groups', 'domains', i]
    yield * checkVoters(voters, known, [...path, 'voters'], domain)
    const member = known.get(witness)
    if (!member) yield { path: [...path, 'witness'], value: witness, accepted: 'a node that controls lists' }
    else if (member.domain === domain) yield { path: [...path, 'witness'], value: witness, accepted: `a control node of another domain than ${domain}` }
  }
  if (groups.domains.some(({ domain }) => domain === ownDomain)) return
  yield { path: ['domain'], value: ownDomain, accepted: 'a domain that groups.domains lists' }
}
