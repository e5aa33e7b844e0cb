import t from 'tap'
import { asOperator, send, waitUntil } from './support/http.ts'
import { DOMAIN, startInProcess, type InProcess } from './support/in-process.ts'

const kinds = [
  { kind: 'splash-check', urgency: 'urgent', idempotent: true, expectedRunMs: 50, objective: { startWithinMs: 5000, target: 0.99 } },
  { kind: 'pickup', urgency: 'normal', idempotent: false, expectedRunMs: 50, objective: { startWithinMs: 20000, target: 0.99 } }
]
const delta = [
  { op: 'put-domain', domain: { id: DOMAIN, region: 'cr-central', racks: [{ id: 'rack-1', workers: 2, acceleratorsPerWorker: 8, slotsPerWorker: 8 }] } },
  ...kinds.map((kind) => ({ op: 'put-kind', kind })),
  { op: 'put-customer', customer: { id: 'clinics', priority: 1, guarantees: [], maxQueued: 100 } }
]
const shape = { tasks: 1, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'any' }
const toRequest = (key: string, more: object = {}): object => ({ key, customer: 'clinics', caller: 'nurse-1', kind: 'splash-check', shape, payload: { runMs: 20 }, ...more })

const configure = async ({ addresses }: InProcess): Promise<void> => {
  const change = { changeId: 'set-up', expectedVersion: 0, delta }
  const reply = await send(addresses.operators, 'POST', '/v1/config/changes', change, asOperator)
  if (reply.status !== 200) throw new Error(JSON.stringify(reply.body))
  await waitUntil('the entry is ready', async () => (await send(addresses.callers, 'GET', '/readyz')).status === 200)
  await waitUntil('endpoints are known', async () => {
    const { body } = await send(addresses.operators, 'GET', '/v1/status', undefined, asOperator)
    return body.controls[0].session?.totalAccelerators === 16
  })
}

t.test('a request is placed on an announced endpoint and returns the answer of that endpoint', async (t) => {
  const path = await startInProcess(t)
  await configure(path)
  const reply = await send(path.addresses.callers, 'POST', '/v1/requests', toRequest('a', { payload: { runMs: 5, answer: { found: 3 } } }))
  t.equal(reply.status, 200)
  t.same(reply.body.answer, [{ index: 0, body: { found: 3 } }])
})

t.test('a gang runs across two endpoints and every task answers', async (t) => {
  const path = await startInProcess(t)
  await configure(path)
  const gang = { tasks: 4, acceleratorsPerTask: 4, slotsPerTask: 1, adjacency: 'rack' }
  const reply = await send(path.addresses.callers, 'POST', '/v1/requests', toRequest('gang', { shape: gang }))
  t.equal(reply.status, 200)
  t.same(reply.body.answer.map(({ index }: { index: number }) => index), [0, 1, 2, 3])
  t.equal(path.endpoints.flatMap(({ records }) => records).length, 4)
})

t.test('a non-idempotent request that is sent several times at once runs once', async (t) => {
  const path = await startInProcess(t)
  await configure(path)
  const request = toRequest('pickup-1', { kind: 'pickup', payload: { runMs: 100 } })
  const replies = await Promise.all([1, 2, 3].map(() => send(path.addresses.callers, 'POST', '/v1/requests', request)))
  for (const reply of replies) t.equal(reply.status, 200)
  t.equal(path.endpoints.flatMap(({ records }) => records).length, 1)
  const other = await send(path.addresses.callers, 'POST', '/v1/requests', toRequest('pickup-1', { kind: 'pickup', payload: { runMs: 7 } }))
  t.equal(other.body.error.kind, 'key-conflict')
})

t.test('an answer can be fetched later by key, and an unknown key is reported', async (t) => {
  const path = await startInProcess(t)
  await configure(path)
  const accepted = await send(path.addresses.callers, 'POST', '/v1/requests?wait=0', toRequest('later', { payload: { runMs: 100 } }))
  t.equal(accepted.status, 202)
  const fetched = await send(path.addresses.callers, 'GET', '/v1/requests/clinics/later?waitMs=5000')
  t.equal(fetched.status, 200)
  t.equal(fetched.body.answer.length, 1)
  t.equal((await send(path.addresses.callers, 'GET', '/v1/requests/clinics/nothing')).status, 404)
})

t.test('cancelling reports whether the request had run', async (t) => {
  const path = await startInProcess(t, { endpoints: 2 })
  await configure(path)
  const big = { tasks: 2, acceleratorsPerTask: 8, slotsPerTask: 1, adjacency: 'any' }
  await send(path.addresses.callers, 'POST', '/v1/requests?wait=0', toRequest('long', { shape: big, payload: { runMs: 60_000 } }))
  await send(path.addresses.callers, 'POST', '/v1/requests?wait=0', toRequest('queued', { shape: big }))
  const queued = await send(path.addresses.callers, 'DELETE', '/v1/requests/clinics/queued')
  t.equal(queued.body.error.execution, 'not-run')
  await waitUntil('the long job runs', async () => (await send(path.addresses.callers, 'GET', '/v1/requests/clinics/long')).body.state === 'running')
  const running = await send(path.addresses.callers, 'DELETE', '/v1/requests/clinics/long')
  t.equal(running.body.error.kind, 'cancelled-running')
  t.notOk(path.endpoints.flatMap(({ records }) => records).some(({ key }) => key === 'queued'))
})

t.test('invalid input is refused as not run with its error kind and starts no task', async (t) => {
  const path = await startInProcess(t)
  await configure(path)
  const bad = [
    [toRequest('x', { shape: { ...shape, tasks: -1 } }), 'invalid-request'],
    [toRequest('x', { shape: { ...shape, acceleratorsPerTask: 9 } }), 'never-fits'],
    [toRequest('x', { customer: 'nobody' }), 'unknown-customer'],
    [toRequest('x', { kind: 'nothing' }), 'unknown-kind'],
    [toRequest('x', { colour: 'red' }), 'invalid-request'],
    ['{', 'invalid-request'],
    ['[]', 'invalid-request'],
    [JSON.stringify({ payload: 'x'.repeat(2 * 1024 * 1024) }), 'body-too-large']
  ] as const
  for (const [body, kind] of bad) {
    const reply = await send(path.addresses.callers, 'POST', '/v1/requests', body)
    t.equal(reply.body.error.kind, kind)
    t.equal(reply.body.error.execution, 'not-run')
  }
  t.equal((await send(path.addresses.operators, 'GET', '/v1/config')).status, 401)
  t.equal((await send(path.addresses.callers, 'GET', '/v1/config')).status, 400)
  t.equal(path.endpoints.flatMap(({ records }) => records).length, 0)
})
