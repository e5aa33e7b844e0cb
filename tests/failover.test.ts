import t from 'tap'
import { checkPromises, type CallerReport } from '../scripts/promises.ts'
import { waitUntil } from './support/http.ts'
import { single, startProcesses, type Processes, type Reply } from './support/processes.ts'

const gang = { tasks: 4, acceleratorsPerTask: 4, slotsPerTask: 1, adjacency: 'rack' }
const inHomeDomain = { homeDomain: 'cr-sj' }
const nonIdempotent = { ...inHomeDomain, kind: 'pickup' }

const toCallerReport = (key: string, { status, body }: Reply, tasks = 1, idempotent = true): CallerReport => ({
  customer: 'clinics',
  key,
  kind: idempotent ? 'splash-check' : 'pickup',
  idempotent,
  tasks,
  expectAnswer: (index) => ({ key, index }),
  status,
  ...(body.answer && { answer: body.answer }),
  ...(body.error && { error: body.error })
})

const waitUntilRunning = async (processes: Processes, key: string, tasks = 1): Promise<void> =>
  await waitUntil(`${key} runs`, () => processes.records.filter((record) => record.key === key && record.end === undefined).length === tasks)

const countStarts = (processes: Processes, key: string): number => processes.records.filter((record) => record.key === key).length

t.test('loss of the scheduler', async (t) => {
  const processes = await startProcesses(t, { domains: ['cr-sj', 'cr-al'], entriesPerDomain: 2 })
  const { deployment } = processes
  const [first, second] = [processes.entry('cr-sj-entry-1'), processes.entry('cr-sj-entry-2')]
  await processes.configure()
  for (let i = 0; i < 3; i++) await processes.addEndpoint('cr-sj')
  await processes.waitForEndpoints('cr-sj', 3)

  // Guards promise 2 for long jobs: without adoption the gang would stop when the old leader's leases expire.
  t.test('a running gang is adopted by the next leader and not started again', async (t) => {
    const reply = processes.submit(first, 'long-gang', 6_000, { ...inHomeDomain, shape: gang })
    await waitUntilRunning(processes, 'long-gang', 4)
    const victim = await processes.findScheduler('cr-sj')
    await deployment.kill(victim)
    const report = toCallerReport('long-gang', await reply, 4)
    t.equal(report.status, 200, JSON.stringify(report.error))
    t.equal(countStarts(processes, 'long-gang'), 4)
    t.same(checkPromises([report], processes.records), [])
    deployment.startProcess(victim)
    await waitUntil('the killed process has rejoined the group', async () => (await processes.readGroup(victim, 'domain-cr-sj'))?.leader !== null)
  })

  // Guards promise 5: the second leader must read the start that the first one recorded.
  t.test('a non-idempotent request that is resent through another entry during a change of leader runs once', async (t) => {
    const replies = [processes.submit(first, 'pickup-resent', 4_000, nonIdempotent)]
    await waitUntilRunning(processes, 'pickup-resent')
    const victim = await processes.findScheduler('cr-sj')
    const killed = deployment.kill(victim)
    replies.push(processes.submit(second, 'pickup-resent', 4_000, nonIdempotent), processes.submit(second, 'pickup-resent', 4_000, nonIdempotent))
    await killed
    for (const reply of await Promise.all(replies)) t.same(checkPromises([toCallerReport('pickup-resent', reply, 1, false)], processes.records), [])
    t.equal(countStarts(processes, 'pickup-resent'), 1)
    deployment.startProcess(victim)
  })

  // Guards promise 5: the record must survive when all processes are killed and only the disks remain.
  t.test('a non-idempotent request that is resent after a restart of all processes runs once', async (t) => {
    const before = await processes.submit(first, 'pickup-kept', 20, nonIdempotent)
    t.equal(before.status, 200)
    await Promise.all(processes.nodes.map(({ node }) => deployment.kill(node)))
    for (const { node } of processes.nodes) deployment.startProcess(node)
    let after: Reply | undefined
    await waitUntil('the request is answered again', async () => {
      after = await processes.submit(second, 'pickup-kept', 20, nonIdempotent).catch(() => undefined)
      return after?.status === 200
    }, 30_000)
    t.same(after!.body.answer, before.body.answer)
    t.equal(countStarts(processes, 'pickup-kept'), 1)
  })

  // Guards promises 2 and 5: a leader that resumes after its leases expired must not act on its outdated state.
  t.test('a scheduler that resumes after its leases expired starts nothing twice', async (t) => {
    await processes.waitForEndpoints('cr-sj', 3)
    const victim = await processes.findScheduler('cr-sj')
    const replies = ['frozen-1', 'frozen-2', 'frozen-3'].map((key) => processes.submit(first, key, 1_000, { ...nonIdempotent, shape: { ...gang, tasks: 2 } }))
    await waitUntilRunning(processes, 'frozen-1', 2)
    deployment.signal(victim, 'SIGSTOP')
    await waitUntil('another process schedules', async () => await processes.findScheduler('cr-sj') !== victim, 20_000)
    const answered = await Promise.all(replies)
    deployment.signal(victim, 'SIGCONT')
    await waitUntil('the resumed process is a follower', async () => (await processes.readGroup(victim, 'domain-cr-sj'))?.role === 'follower')
    const reports = answered.map((reply, i) => toCallerReport(`frozen-${i + 1}`, reply, 2, false))
    t.same(checkPromises(reports, processes.records), [])
  })

  // Guards promise 3: the outcome must not be held by the entry alone.
  t.test('a caller whose entry was killed fetches its whole answer by key from another entry', async (t) => {
    const lost = processes.submit(first, 'entry-killed', 1_500, nonIdempotent).catch(() => 'lost')
    await waitUntilRunning(processes, 'entry-killed')
    await deployment.kill(first.node)
    t.equal(await lost, 'lost')
    const { status, body } = await processes.fetch(second, 'entry-killed')
    t.equal(status, 200)
    t.same(body.answer, [{ index: 0, body: { key: 'entry-killed', index: 0 } }])
    t.equal(countStarts(processes, 'entry-killed'), 1)
    deployment.startProcess(first.node)
  })
})

t.test('a failure domain that is partitioned from the others', async (t) => {
  const processes = await startProcesses(t, { domains: ['cr-sj', 'cr-al', 'cr-he'], entriesPerDomain: 1 })
  const { deployment } = processes
  const entry = processes.entry('cr-sj-entry-1')
  await processes.configure()
  for (let i = 0; i < 2; i++) await processes.addEndpoint('cr-sj')
  await processes.waitForEndpoints('cr-sj', 2)
  const others = processes.nodes.map(({ node }) => node).filter((node) => !node.startsWith('cr-sj'))
  for (const node of others) deployment.signal(node, 'SIGSTOP')
  let victim = ''

  // A frozen process keeps its connections open and answers nothing, as in a network partition that drops packets.
  t.test('continues to serve both idempotent and non-idempotent requests', async (t) => {
    const check = await processes.submit(entry, 'isolated-check', 20, inHomeDomain)
    const pickup = await processes.submit(entry, 'isolated-pickup', 20, nonIdempotent)
    t.equal(check.status, 200, JSON.stringify(check.body))
    t.equal(pickup.status, 200, JSON.stringify(pickup.body))
  })

  // Guards promise 4: without a majority nothing can be recorded, so nothing non-idempotent may start.
  t.test('with one control process left, serves idempotent requests and refuses the others as not run', async (t) => {
    // The remaining process is the follower, which must first detect the loss of its leader.
    victim = await processes.findScheduler('cr-sj')
    await deployment.kill(victim)
    let check: Reply | undefined
    await waitUntil('an idempotent request is answered', async () => {
      check = await processes.submit(entry, 'alone-check', 20, inHomeDomain)
      return check.status === 200
    }, 40_000)
    const pickup = await processes.submit(entry, 'alone-pickup', 20, { ...nonIdempotent, deadlineMs: 3_000, resend: false })
    t.equal(pickup.body.error?.execution, 'not-run', JSON.stringify(pickup.body))
    t.equal(countStarts(processes, 'alone-pickup'), 0)
  })

  t.test('records starts again once all its processes are back, and the refused request then runs once', async (t) => {
    deployment.startProcess(victim)
    for (const node of others) deployment.signal(node, 'SIGCONT')
    let pickup: Reply | undefined
    await waitUntil('the refused request runs', async () => {
      pickup = await processes.submit(entry, 'alone-pickup', 20, nonIdempotent)
      return pickup.status === 200
    }, 40_000)
    t.equal(countStarts(processes, 'alone-pickup'), 1)
  })
})

t.test('a scheduler that loses its majority', async (t) => {
  const processes = await startProcesses(t, { domains: ['cr-sj', 'cr-al'], entriesPerDomain: 1 })
  const { deployment } = processes
  const entry = processes.entry('cr-sj-entry-1')
  await processes.configure()
  await processes.addEndpoint('cr-sj')
  await processes.waitForEndpoints('cr-sj', 1)
  const scheduler = await processes.findScheduler('cr-sj')
  const peer = deployment.controls.find(({ node, domain }) => domain === 'cr-sj' && node !== scheduler)!.node

  // Guards against a request that the old leader accepted and that then never ends.
  t.test('ends an accepted request whose start it could not record, with execution unknown', async (t) => {
    for (const { node } of processes.nodes) if (node.startsWith('cr-al')) deployment.signal(node, 'SIGSTOP')
    await deployment.kill(peer)
    const pickup = await processes.submit(entry, 'unrecorded', 20, { ...nonIdempotent, deadlineMs: 3_000 })
    t.equal(pickup.body.error?.execution, 'unknown', JSON.stringify(pickup.body))
    t.equal(countStarts(processes, 'unrecorded'), 0)
  })
})

t.test('guaranteed capacity is reclaimed from running work', async (t) => {
  const processes = await startProcesses(t, { domains: ['cr-sj', 'cr-al'], entriesPerDomain: 1 })
  const entry = processes.entry('cr-sj-entry-1')
  await processes.configure()
  const guaranteed = { tasks: 2, acceleratorsPerTask: 8, slotsPerTask: 1, adjacency: 'rack' }
  await processes.proposeUntilDecided(entry, 'guarantee', 1, [
    { op: 'put-customer', customer: { id: 'welders', priority: 1, guarantees: [{ shape: guaranteed, count: 1, domain: 'cr-sj' }], maxQueued: 100 } }
  ])
  await processes.measurePropagation(2)
  for (let i = 0; i < 2; i++) await processes.addEndpoint('cr-sj')
  await processes.waitForEndpoints('cr-sj', 2)

  // Guards promise 1 in its worst case: the victims do not complete a checkpoint and have to be stopped.
  t.test('within 5.5 s while the victims ignore the checkpoint and a flood of requests continues', async (t) => {
    for (const endpoint of processes.endpoints) endpoint.faults = { ignoreCheckpoint: true }
    for (let i = 0; i < 40; i++) processes.submit(entry, `flood-${i}`, 60_000, { ...inHomeDomain, shape: single }, '?wait=0').catch(() => {})
    await waitUntil('the flood holds every accelerator', () => processes.records.filter(({ end }) => end === undefined).length === 16)
    const began = performance.now()
    const reply = processes.submit(entry, 'guaranteed', 100, { ...inHomeDomain, customer: 'welders', shape: guaranteed })
    await waitUntilRunning(processes, 'guaranteed', 2)
    const elapsedMs = performance.now() - began
    t.ok(elapsedMs <= 5_500, `reclaimed after ${Math.round(elapsedMs)} ms`)
    t.equal((await reply).status, 200)
  })
})
