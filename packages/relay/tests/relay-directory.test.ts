import { asId, type DomainId, type NodeId } from '@ibisstair/common'
import t from 'tap'
import { createEndpoint } from '../../jobs/tests/support/samples.ts'
import { MAX_RELAYS, MAX_RELAYS_PER_ENDPOINT, OFFER_EXPIRY_MS } from '../src/constants.ts'
import { RelayDirectory, type RelayOffer } from '../src/index.ts'

const offerOf = (node: string, domain: string): RelayOffer => ({ node: asId<NodeId>(node), domain: asId<DomainId>(domain), announceAddress: `${node}:7002` })

const createDirectory = (nowMs = 0): RelayDirectory => {
  const directory = new RelayDirectory()
  for (const domain of ['d1', 'd2', 'd3', 'd4', 'd5']) for (let i = 0; i < 8; i++) directory.record(offerOf(`${domain}-${i}`, domain), nowMs)
  return directory
}

const endpointIn = (id: string, domain: string) => createEndpoint(id, { domain: asId<DomainId>(domain) })

t.test('the relays for an endpoint lie in different failure domains, its own first', async (t) => {
  const domains = createDirectory().listFor(endpointIn('w1', 'd3'), 0).map(({ domain }) => domain)
  t.equal(domains.length, MAX_RELAYS_PER_ENDPOINT)
  t.equal(domains[0], 'd3')
  t.equal(new Set(domains).size, MAX_RELAYS_PER_ENDPOINT)
})

t.test('endpoints are spread over the relays of their failure domain', async (t) => {
  const directory = createDirectory()
  const counts = new Map<string, number>()
  for (let i = 0; i < 80; i++) {
    const [first] = directory.listFor(endpointIn(`w${i}`, 'd1'), 0)
    counts.set(first!.node, (counts.get(first!.node) ?? 0) + 1)
  }
  t.equal(counts.size, 8)
  t.ok(Math.max(...counts.values()) <= 25, JSON.stringify([...counts]))
})

t.test('an offer that is not repeated is void', async (t) => {
  const directory = createDirectory()
  const endpoint = endpointIn('w1', 'd1')
  t.same(directory.listFor(endpoint, OFFER_EXPIRY_MS), [])
  t.equal(directory.getAnnounceAddress(endpoint, OFFER_EXPIRY_MS), null)
  directory.record(offerOf('d2-0', 'd2'), OFFER_EXPIRY_MS)
  t.same(directory.listFor(endpoint, OFFER_EXPIRY_MS).map(({ node }) => node), ['d2-0'])
})

t.test('announcements go to a relay of the endpoint\'s own failure domain, or to none', async (t) => {
  const directory = createDirectory()
  t.match(directory.getAnnounceAddress(endpointIn('w1', 'd2'), 0), /^d2-/)
  t.equal(directory.getAnnounceAddress(endpointIn('w1', 'd9'), 0), null)
})

t.test('the number of offers is bounded, and expired ones make room', async (t) => {
  const directory = new RelayDirectory()
  for (let i = 0; i < MAX_RELAYS + 10; i++) directory.record(offerOf(`n${i}`, 'd1'), 0)
  t.equal(directory.count(0), MAX_RELAYS)
  directory.record(offerOf('late', 'd1'), OFFER_EXPIRY_MS)
  t.equal(directory.count(OFFER_EXPIRY_MS), 1)
})
