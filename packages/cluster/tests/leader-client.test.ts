import { asId, IbisError, type NodeId } from '@ibisstair/common'
import type { RpcClient } from '@ibisstair/rpc'
import { ManualTimerService, RandomSource } from '@ibisstair/timers'
import t from 'tap'
import { LeaderClient, LeaderFinder } from '../src/index.ts'

const node = asId<NodeId>('10.0.0.1')
const toTarget = (address: NodeId) => ({ address, port: 1 })

/** Advances virtual time until the promise settles; pending promise callbacks run between the steps. */
const runUntilSettled = async <T>(timers: ManualTimerService, promise: Promise<T>): Promise<T> => {
  const progress = { isSettled: false }
  const settled = promise.finally(() => { progress.isSettled = true })
  settled.catch(() => {})
  while (!progress.isSettled) {
    for (let i = 0; i < 20; i++) await Promise.resolve()
    timers.advance(10)
  }
  return await settled
}

const createClient = (call: (method: string) => Promise<unknown>) => {
  const timers = new ManualTimerService()
  const rpc = { call: async (_target: unknown, method: string) => await call(method) } as unknown as RpcClient
  const finder = new LeaderFinder({ rpc, timers, random: new RandomSource(1), seeds: [node], toTarget })
  finder.start()
  return { timers, client: new LeaderClient({ rpc, timers, finder, toTarget }) }
}

const getError = async (promise: Promise<unknown>): Promise<IbisError> => {
  try {
    await promise
  } catch (err) {
    return IbisError.from(err)
  }
  throw new Error('the call was expected to fail')
}

t.test('a call that reached no leader does not report that the work never runs', async (t) => {
  // Guards against answering "not run" for a job that an earlier attempt through another entry had submitted.
  const { timers, client } = createClient(async () => { throw new IbisError('unreachable', 'cut off', { info: { reason: 'connect' } }) })
  const err = await getError(runUntilSettled(timers, client.call('job.submit', {}, 1_000)))
  t.equal(err.kind, 'outcome-unknown')
  t.equal(err.execution, 'unknown')
})

t.test('a call whose deadline passes before the first attempt does not report that the work never runs', async (t) => {
  const { timers, client } = createClient(async () => ({ leader: null, term: 0, members: [] }))
  const err = await getError(runUntilSettled(timers, client.call('job.submit', {}, 0)))
  t.equal(err.execution, 'unknown')
})

t.test('an error from the leader, which has checked its state, is returned unchanged', async (t) => {
  const { timers, client } = createClient(async (method) => {
    if (method === 'cluster.view') return { leader: node, term: 1, members: [node] }
    throw new IbisError('queue-full', 'too many jobs')
  })
  const err = await getError(runUntilSettled(timers, client.call('job.submit', {}, 1_000)))
  t.equal(err.kind, 'queue-full')
  t.equal(err.execution, 'not-run')
})

t.test('a call is retried at the leader that another process names', async (t) => {
  const other = asId<NodeId>('10.0.0.2')
  let attempts = 0
  const { timers, client } = createClient(async (method) => {
    if (method === 'cluster.view') return { leader: node, term: 1, members: [node, other] }
    attempts += 1
    if (attempts === 1) throw new IbisError('not-leader', 'another node leads', { info: { leader: other } })
    return { status: 'queued' }
  })
  t.same(await runUntilSettled(timers, client.call('job.submit', {}, 1_000)), { status: 'queued' })
  t.equal(attempts, 2)
})

t.test('calls that wait for an elected leader to begin share the searches for it', async (t) => {
  // After a loss of all power each process asked every control process for its view about every 4 ms: the
  // others named the elected leader, which answered that it does not lead until it had applied its log.
  const READY_AT_MS = 500
  const other = asId<NodeId>('10.0.0.2')
  const timers = new ManualTimerService()
  let views = 0
  const call = async (target: NodeId, method: string): Promise<unknown> => {
    const isReady = timers.now() >= READY_AT_MS
    if (method !== 'cluster.view') {
      if (!isReady) throw new IbisError('no-leader', 'the log is not applied yet')
      return { status: 'queued' }
    }
    views += 1
    return { leader: target === other || isReady ? node : null, term: 1, members: [node, other] }
  }
  const rpc = { call: async ({ address }: { readonly address: NodeId }, method: string) => await call(address, method) } as unknown as RpcClient
  const finder = new LeaderFinder({ rpc, timers, random: new RandomSource(1), seeds: [node, other], toTarget })
  finder.start()
  const client = new LeaderClient({ rpc, timers, finder, toTarget })
  const calls: Array<Promise<unknown>> = []
  for (let i = 0; i < 50; i++) timers.subscribe(i * 10, () => { calls.push(client.call('job.submit', {}, 2_000)) })
  await runUntilSettled(timers, timers.delay(READY_AT_MS))
  await runUntilSettled(timers, Promise.all(calls))
  t.equal(calls.length, 50)
  t.ok(views <= 2 * (READY_AT_MS / 200 + 3), `${views} views were fetched`)
})

t.test('a control process that comes back is found while earlier calls to it still hang', async (t) => {
  // A packet to a VM without power is not answered, so that the call ends only with its timeout.
  const BACK_AT_MS = 300
  const timers = new ManualTimerService()
  const call = async (_target: unknown, _method: string, _params: unknown, timeoutMs: number): Promise<unknown> => {
    if (timers.now() >= BACK_AT_MS) return { leader: node, term: 1, members: [node] }
    await timers.delay(timeoutMs)
    throw new IbisError('unreachable', 'no answer', { info: { reason: 'timeout' } })
  }
  const finder = new LeaderFinder({ rpc: { call } as unknown as RpcClient, timers, random: new RandomSource(1), seeds: [node], toTarget })
  finder.start()
  await runUntilSettled(timers, timers.delay(BACK_AT_MS + 220))
  t.equal(finder.leader, node)
})

t.test('a view that can\'t be read is reported and changes nothing', async (t) => {
  const errors: IbisError[] = []
  const timers = new ManualTimerService()
  const rpc = { call: async () => ({ leader: 7, term: 'first' }) } as unknown as RpcClient
  const finder = new LeaderFinder({ rpc, timers, random: new RandomSource(1), seeds: [node], toTarget, onError: (_node, err) => errors.push(err) })
  finder.start()
  await runUntilSettled(timers, timers.delay(10))
  t.equal(finder.leader, null)
  t.equal(errors.length, 1)
})

t.test('a refusal after an attempt without an answer does not report that the work never runs', async (t) => {
  // Guards against a 401 or 404 for a job that runs: its key or queue was removed between two attempts of one call.
  const refuseAfter = (first: IbisError, refusal: IbisError) => {
    let attempts = 0
    return createClient(async (method) => {
      if (method === 'cluster.view') return { leader: node, term: 1, members: [node] }
      attempts += 1
      throw attempts === 1 ? first : refusal
    })
  }
  const unanswered = [
    new IbisError('unreachable', 'no answer', { info: { reason: 'timeout' } }),
    new IbisError('unreachable', 'socket hang up', { info: { reason: 'connection' } }),
    new IbisError('outcome-unknown', 'not committed in time'),
    new IbisError('no-leader', 'leadership ended during the call', { execution: 'unknown' })
  ]
  for (const first of unanswered) {
    for (const kind of ['bad-credential', 'unknown-queue', 'queue-full'] as const) {
      const { timers, client } = refuseAfter(first, new IbisError(kind, 'refused', { retryAfterMs: 700 }))
      const err = await getError(runUntilSettled(timers, client.call('job.submit', {}, 1_000)))
      t.equal(err.kind, 'outcome-unknown', `${kind} after: ${first.message}`)
      t.equal(err.execution, 'unknown')
      t.equal(err.retryAfterMs, 700)
    }
  }
  const undelivered = [new IbisError('unreachable', 'refused', { info: { reason: 'connect' } }), new IbisError('not-leader', 'another process leads')]
  for (const first of undelivered) {
    const { timers, client } = refuseAfter(first, new IbisError('bad-credential', 'unknown key'))
    const err = await getError(runUntilSettled(timers, client.call('job.submit', {}, 1_000)))
    t.equal(err.kind, 'bad-credential', `after: ${first.message}`)
  }
  const { timers, client } = refuseAfter(unanswered[0]!, new IbisError('bad-credential', 'unknown key'))
  const err = await getError(runUntilSettled(timers, client.call('job.status', {}, 1_000)))
  t.equal(err.kind, 'bad-credential', 'a call that reads has nothing to run')
})
