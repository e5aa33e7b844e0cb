import t from 'tap'
import { waitUntil } from './support/http.ts'
import { putCustomer, startProcesses } from './support/processes.ts'

/** Longest time until every process serves an accepted change. */
const PROPAGATION_LIMIT_MS = 8_000

t.test('voters that lose their data', async (t) => {
  const processes = await startProcesses(t)
  const { deployment } = processes
  await processes.configure()
  const entry = processes.entry('cr-he-entry-1')
  const voters = ['cr-sj-control-1', 'cr-sj-control-2', 'cr-al-control-1']
  await processes.changeUpTo(entry, 1, 3)

  t.test('a voter that loses its data right after another was replaced leaves a majority', async (t) => {
    const leader = await processes.findLeader('config')
    const [first, second] = voters.filter((node) => node !== leader) as [string, string]
    await deployment.kill(first)
    deployment.loseData(first)
    deployment.startProcess(first)
    await waitUntil('the first voter has rejoined under a new incarnation', async () => {
      const group = await processes.readGroup(leader, 'config')
      const member = group?.members.find(({ node }) => node === first)
      return group?.role === 'leader' && member?.role === 'voter' && member.incarnation !== '1'
    })
    await deployment.kill(second)
    deployment.loseData(second)
    await processes.changeUpTo(entry, 3, 5)
    t.equal((await processes.readGroup(leader, 'config'))?.members.length, 3)
    deployment.startProcess(second)
    t.ok(await processes.measurePropagation(5) < PROPAGATION_LIMIT_MS)
    await waitUntil('the second voter has rejoined as well', async () => {
      const member = (await processes.readGroup(await processes.findLeader('config'), 'config'))?.members.find(({ node }) => node === second)
      return member?.role === 'voter' && member.incarnation !== '1'
    })
    await processes.changeUpTo(entry, 5, 6)
    t.ok(await processes.measurePropagation(6) < PROPAGATION_LIMIT_MS)
  })

  t.test('without a majority changes are refused as not run; a new group imports the newest copy and continues its version numbers', async (t) => {
    for (const node of voters) await deployment.kill(node)
    for (const node of voters.slice(1)) deployment.loseData(node)
    for (const node of voters) deployment.startProcess(node)
    await processes.measurePropagation(6)
    const refused = await processes.propose(entry, 'without-majority', 6, [putCustomer('without-majority')])
    t.not(refused.status, 200)
    t.equal(refused.body.error.execution, 'not-run')
    t.equal((await processes.operate(entry, 'GET', '/v1/config')).body.version, 6, 'the configuration in force remains')

    const newest = (await processes.operate(entry, 'GET', '/v1/config')).body
    // The new voters have never been members of this group, so they may start it in their first incarnation.
    const config = { voters: ['cr-al-control-2', 'cr-he-control-1', 'cr-he-control-2'] }
    for (const { node } of deployment.controls) {
      await deployment.kill(node)
      deployment.changeSettings(node, (settings) => ({ ...settings, groups: { ...settings.groups, config } }))
      deployment.startProcess(node)
    }
    await processes.findLeader('config')
    const early = await processes.propose(entry, 'before-import', 0, [putCustomer('before-import')])
    t.equal(early.body.error.kind, 'stale-config', 'version numbers must not restart')
    await waitUntil('the newest copy is imported', async () => (await processes.operate(entry, 'POST', '/v1/config/import', { config: newest })).status === 200)
    await processes.changeUpTo(entry, 6, 8)
    t.ok(await processes.measurePropagation(8) < PROPAGATION_LIMIT_MS)
    const again = await processes.operate(entry, 'POST', '/v1/config/import', { config: newest })
    t.equal(again.body.error?.kind, 'version-conflict', 'an old copy must not replace a newer version')
  })
})
