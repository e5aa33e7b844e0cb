import t from 'tap'
import { MemoryDisk } from '@ibisstair/storage'
import { asOperator, send, waitUntil, type Reply } from './support/http.ts'
import { DOMAIN, startInProcess } from './support/in-process.ts'
import { putCustomer, single } from './support/processes.ts'

t.test('on a full disk, changes and non-idempotent work are refused as not run and other work is served', async (t) => {
  const disk = new MemoryDisk()
  const path = await startInProcess(t, { fs: disk.attach() })
  const { operators, callers } = path.addresses
  const kind = (name: string, idempotent: boolean): object =>
    ({ op: 'put-kind', kind: { kind: name, urgency: 'normal', idempotent, expectedRunMs: 50, objective: { startWithinMs: 5_000, target: 0.99 } } })
  const propose = (changeId: string, expectedVersion: number, delta: readonly object[]): Promise<Reply> =>
    send(operators, 'POST', '/v1/config/changes', { changeId, expectedVersion, delta }, asOperator)
  const submit = (key: string, kind: string): Promise<Reply> =>
    send(callers, 'POST', '/v1/requests', { key, customer: 'clinics', caller: 'nurse-1', kind, shape: single, payload: { runMs: 20 } })
  const getStarts = (key: string): number => path.endpoints.flatMap(({ records }) => records).filter((record) => record.key === key).length

  const racks = [{ id: 'rack-1', workers: 2, acceleratorsPerWorker: 8, slotsPerWorker: 8 }]
  const delta = [{ op: 'put-domain', domain: { id: DOMAIN, region: 'cr-central', racks } }, kind('splash-check', true), kind('pickup', false), putCustomer('clinics')]
  await waitUntil('the first change is accepted', async () => (await propose('set-up', 0, delta)).status === 200)
  await waitUntil('the scheduler has both endpoints', async () => {
    const { body } = await send(operators, 'GET', '/v1/status', undefined, asOperator)
    return body.controls[0].session?.totalAccelerators === 16
  })
  t.equal((await submit('before', 'pickup')).status, 200)

  disk.setCapacity(disk.usedBytes)
  const change = await propose('on-full-disk', 1, [putCustomer('nobody')])
  t.equal(change.status, 507, JSON.stringify(change.body))
  t.match(change.body.error, { kind: 'disk-full', execution: 'not-run' })
  const refused = await submit('refused', 'pickup')
  t.match(refused.body.error, { execution: 'not-run', resendSafe: true }, JSON.stringify(refused.body))
  t.equal(getStarts('refused'), 0, 'a request refused as not run did not start')
  t.equal((await submit('served', 'splash-check')).status, 200, 'idempotent work is still served')
  t.equal((await send(callers, 'GET', '/v1/requests/clinics/before')).status, 200, 'recorded answers stay readable')
  t.equal((await send(operators, 'GET', '/v1/config', undefined, asOperator)).body.version, 1, 'the configuration in force remains')

  disk.setCapacity(Infinity)
  await waitUntil('changes are accepted again', async () => (await propose('after', 1, [putCustomer('after')])).status === 200)
  let config: { version: number, customers: ReadonlyArray<{ id: string }> } = { version: 0, customers: [] }
  await waitUntil('the entry has the change', async () => {
    config = (await send(operators, 'GET', '/v1/config', undefined, asOperator)).body
    return config.version > 1
  })
  t.equal(config.version, 2)
  t.same(config.customers.map(({ id }) => id).sort(), ['after', 'clinics'], 'the refused change was not applied')
  t.equal((await submit('refused', 'pickup')).status, 200, 'the refused request can be sent again')
  t.equal(getStarts('refused'), 1)
})
