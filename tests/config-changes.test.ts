import t from 'tap'
import type { EntryAddress } from '../scripts/deployment.ts'
import { waitUntil } from './support/http.ts'
import { putCustomer, startProcesses, type Processes } from './support/processes.ts'

/** Longest time from the acceptance of a change until every process serves it. */
const PROPAGATION_LIMIT_MS = 8_000

const readCustomers = async (processes: Processes, entry: EntryAddress): Promise<Record<string, number>> => {
  const { body } = await processes.operate(entry, 'GET', '/v1/config')
  return Object.fromEntries(body.customers.map(({ id, priority }: { id: string, priority: number }) => [id, priority]))
}

t.test('accepted configuration changes', async (t) => {
  const processes = await startProcesses(t)
  const [first, second, third] = processes.deployment.entries as [EntryAddress, EntryAddress, EntryAddress]
  await processes.configure()

  t.test('of two changes with the same expected version one is accepted and the other is refused with the version in force', async (t) => {
    const replies = await Promise.all([
      processes.propose(first, 'race-a', 1, [putCustomer('race-a')]),
      processes.propose(second, 'race-b', 1, [putCustomer('race-b')])
    ])
    const accepted = replies.filter(({ status }) => status === 200)
    const refused = replies.filter(({ status }) => status !== 200)
    t.equal(accepted.length, 1, 'a second accepted change would have overwritten the first')
    t.equal(accepted[0]!.body.version, 2)
    t.equal(refused[0]!.body.error.kind, 'version-conflict')
    t.equal(refused[0]!.body.error.execution, 'not-run')
    t.match(refused[0]!.body.error.detail, /version in force is 2/)
    const customers = Object.keys(await readCustomers(processes, first))
    t.equal(customers.filter((id) => id.startsWith('race-')).length, 1)
  })

  t.test('a change that is resent after its answer was lost returns the same result and is applied once', async (t) => {
    const change = ['lost-answer', 2, [putCustomer('resent')]] as const
    const lostCall = new AbortController()
    const { address, port } = first.operators
    const sent = fetch(`http://${address}:${port}/v1/config/changes`, {
      method: 'POST',
      signal: lostCall.signal,
      headers: { 'content-type': 'application/json', authorization: `Bearer ${processes.deployment.secret}` },
      body: JSON.stringify({ changeId: change[0], expectedVersion: change[1], delta: change[2] })
    })
    await waitUntil('the change is in force', async () => await processes.readVersion(second.node) === 3).finally(() => lostCall.abort())
    await sent.catch(() => {})
    const again = await Promise.all([first, second, third].map((entry) => processes.propose(entry, ...change)))
    for (const reply of again) t.match(reply, { status: 200, body: { version: 3, changeId: 'lost-answer' } })
    t.equal((await processes.operate(first, 'GET', '/v1/config')).body.version, 3, 'applying the resent change again would add a version')
    const other = await processes.propose(first, 'lost-answer', 3, [putCustomer('different')])
    t.equal(other.body.error.kind, 'key-conflict', 'a different change under a used id must not get the result of the first change')
  })

  t.test('every accepted change is in force in every process within 8 s', async (t) => {
    const propagationTimesMs: number[] = []
    for (let i = 0; i < 10; i += 1) {
      const reply = await processes.propose([first, second, third][i % 3]!, `spread-${i}`, 3 + i, [putCustomer('clinics', 2 + i)])
      t.equal(reply.body.version, 4 + i)
      propagationTimesMs.push(await processes.measurePropagation(4 + i))
    }
    t.comment(`milliseconds from acceptance until ${processes.nodes.length} processes served the version: ${propagationTimesMs.map(Math.round).join(', ')}`)
    t.ok(Math.max(...propagationTimesMs) < PROPAGATION_LIMIT_MS)
  })

  t.test('a change stays in force when the leader is killed right after accepting it', async (t) => {
    const leader = await processes.findLeader('config')
    const reply = await processes.propose(first, 'leader-killed', 13, [putCustomer('leader-killed')])
    processes.deployment.signal(leader, 'SIGKILL')
    t.match(reply, { status: 200, body: { version: 14 } })
    await processes.deployment.kill(leader)
    const survivors = processes.nodes.map(({ node }) => node).filter((node) => node !== leader)
    t.ok(await processes.measurePropagation(14, survivors) < PROPAGATION_LIMIT_MS)
    const again = await processes.proposeUntilDecided(second, 'leader-killed', 13, [putCustomer('leader-killed')])
    t.match(again, { status: 200, body: { version: 14 } }, 'the next leader has the change')
    const next = await processes.proposeUntilDecided(second, 'after-loss', 14, [putCustomer('after-loss')])
    t.match(next, { status: 200, body: { version: 15 } })
    processes.deployment.startProcess(leader)
    t.ok(await processes.measurePropagation(15) < PROPAGATION_LIMIT_MS)
  })

  t.test('300 changes survive a restart of all processes', async (t) => {
    for (let i = 0; i < 300; i += 1) {
      const reply = await processes.proposeUntilDecided([first, second, third][i % 3]!, `many-${i}`, 15 + i, [putCustomer(`many-${i % 40}`, 1 + i)])
      if (reply.body.version !== 16 + i) throw new Error(`change ${i}: ${JSON.stringify(reply.body)}`)
    }
    await Promise.all(processes.nodes.map(({ node }) => processes.deployment.kill(node)))
    for (const { node } of processes.nodes) processes.deployment.startProcess(node)
    await processes.measurePropagation(315)
    for (const entry of processes.deployment.entries) {
      const { body } = await processes.operate(entry, 'GET', '/v1/config')
      t.equal(body.version, 315)
      const customers = await readCustomers(processes, entry)
      for (let i = 260; i < 300; i += 1) t.equal(customers[`many-${i % 40}`], 1 + i, `change ${i} is in force`)
    }
    const again = await processes.proposeUntilDecided(first, 'many-299', 314, [putCustomer(`many-${299 % 40}`, 300)])
    t.match(again, { status: 200, body: { version: 315 } }, 'the results of earlier changes survive as well')
    const stale = await processes.proposeUntilDecided(first, 'stale', 300, [putCustomer('stale')])
    t.equal(stale.body.error.kind, 'version-conflict')
    const next = await processes.proposeUntilDecided(first, 'after-restart', 315, [putCustomer('after-restart')])
    t.match(next, { status: 200, body: { version: 316 } })
  })
})
