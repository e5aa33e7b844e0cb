import type { DomainId, NodeId } from '@ibisstair/common'
import type { Listener, Member } from './fields.ts'

/** A value that is valid on its own but contradicts another field. */
export interface Conflict {
  readonly path: ReadonlyArray<string | number>
  readonly value: unknown
  readonly accepted: string
}

interface Groups {
  readonly config: { readonly voters: readonly NodeId[] }
  readonly domains: ReadonlyArray<{ readonly domain: DomainId, readonly voters: readonly NodeId[], readonly witness: NodeId }>
}

const formatAddress = ({ address, port }: Listener): string => `${address} port ${port}`

function * findDuplicates<T> (items: readonly T[], getName: (item: T) => string, path: Conflict['path'], label: string): Generator<Conflict> {
  const seen = new Set<string>()
  for (const [i, item] of items.entries()) {
    const name = getName(item)
    if (seen.has(name)) yield { path: [...path, i], value: name, accepted: `${label} that is listed once` }
    seen.add(name)
  }
}

export function * checkMembers (field: string, members: readonly Member[]): Generator<Conflict> {
  yield * findDuplicates(members, ({ node }) => node, [field], 'a node')
  yield * findDuplicates(members, formatAddress, [field], 'an address and port')
}

export function * checkOwnNode (field: string, members: readonly Member[], node: NodeId, domain: DomainId): Generator<Conflict> {
  const ownMember = members.find((member) => member.node === node)
  if (!ownMember) yield { path: ['node'], value: node, accepted: `a node that ${field} lists` }
  else if (ownMember.domain !== domain) yield { path: ['domain'], value: domain, accepted: `${ownMember.domain}, the domain of node ${node} in ${field}` }
}

export function * checkOwnDomain (controls: readonly Member[], domain: DomainId): Generator<Conflict> {
  if (controls.some((member) => member.domain === domain)) return
  yield { path: ['domain'], value: domain, accepted: 'a domain that controls lists' }
}

export function * checkListeners (listen: Readonly<Record<string, Listener>>): Generator<Conflict> {
  const names = Object.keys(listen)
  const seen = new Set<string>()
  for (const name of names) {
    const value = formatAddress(listen[name]!)
    if (seen.has(value)) yield { path: ['listen', name], value, accepted: 'an address and port that no other listener uses' }
    seen.add(value)
  }
}

function * checkVoters (voters: readonly NodeId[], controlsByNode: ReadonlyMap<NodeId, Member>, path: Conflict['path'], domain?: DomainId): Generator<Conflict> {
  yield * findDuplicates(voters, (voter) => voter, path, 'a voter')
  for (const [i, voter] of voters.entries()) {
    const member = controlsByNode.get(voter)
    if (!member) yield { path: [...path, i], value: voter, accepted: 'a node that controls lists' }
    else if (domain && member.domain !== domain) yield { path: [...path, i], value: voter, accepted: `a control node of domain ${domain}` }
  }
}

export function * checkGroups (groups: Groups, controls: readonly Member[], ownDomain: DomainId): Generator<Conflict> {
  const controlsByNode = new Map(controls.map((member) => [member.node, member]))
  yield * checkVoters(groups.config.voters, controlsByNode, ['groups', 'config', 'voters'])
  yield * findDuplicates(groups.domains, ({ domain }) => domain, ['groups', 'domains'], 'a domain')
  for (const [i, { domain, voters, witness }] of groups.domains.entries()) {
    const path = ['groups', 'domains', i]
    yield * checkVoters(voters, controlsByNode, [...path, 'voters'], domain)
    const member = controlsByNode.get(witness)
    if (!member) yield { path: [...path, 'witness'], value: witness, accepted: 'a node that controls lists' }
    else if (member.domain === domain) yield { path: [...path, 'witness'], value: witness, accepted: `a control node of another domain than ${domain}` }
  }
  if (groups.domains.some(({ domain }) => domain === ownDomain)) return
  yield { path: ['domain'], value: ownDomain, accepted: 'a domain that groups.domains lists' }
}
