// Runs one deployment on loopback, kills a scheduler while requests run, and checks the promises on the outcomes.
import { spawnSync } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { RandomSource } from '@ibisstair/timers'
import { call, send, type Work } from './callers.ts'
import { Deployment } from './deployment.ts'
import { checkPromises, type CallerReport } from './promises.ts'
import { FakeEndpoint } from './fake-endpoint.ts'

const ROOT = fileURLToPath(new URL('..', import.meta.url))
const FOLDER = `${ROOT}.demo`
const DOMAINS = ['cr-sj', 'cr-al', 'cr-he', 'cr-ca']
const RACKS = [{ id: 'rack-1', workers: 6 }, { id: 'rack-2', workers: 2 }]
const READY_TIMEOUT_MS = 20_000

const waitUntil = async (description: string, condition: () => Promise<boolean>): Promise<void> => {
  const end = Date.now() + READY_TIMEOUT_MS
  while (!(await condition().catch(() => false))) {
    if (Date.now() > end) throw new Error(`timed out: ${description}`)
    await new Promise((resolve) => { setTimeout(resolve, 100) })
  }
}

const single = { tasks: 1, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'any' } as const

const createWork = (random: RandomSource): Work[] => {
  const work: Work[] = []
  const add = (count: number, make: (i: number) => Work): void => {
    for (let i = 0; i < count; i++) work.push(make(i))
  }
  add(150, (i) => ({ key: `splash-${i}`, customer: 'clinics', caller: `nurse-${i % 9}`, kind: 'splash-check', idempotent: true, shape: single, runMs: random.int(20, 200) }))
  add(80, (i) => ({ key: `pickup-${i}`, customer: 'couriers', caller: `driver-${i % 5}`, kind: 'pickup', idempotent: false, shape: single, runMs: random.int(50, 400) }))
  add(24, (i) => ({ key: `match-${i}`, customer: 'welders', caller: `matcher-${i % 3}`, kind: 'swap-match', idempotent: true, shape: { tasks: random.pick([2, 4, 8])!, acceleratorsPerTask: 4, slotsPerTask: 1, adjacency: 'rack' }, runMs: random.int(200, 1500) }))
  add(6, (i) => ({ key: `plan-${i}`, customer: 'couriers', caller: 'planner', kind: 'pickup', idempotent: false, shape: { tasks: 4, acceleratorsPerTask: 8, slotsPerTask: 1, adjacency: 'rack' }, runMs: random.int(200, 800) }))
  return random.shuffle(work)
}

const runCtl = (deployment: Deployment, ...args: string[]): void => {
  const { address, port } = deployment.entries[0]!.operators
  const { status, stdout, stderr } = spawnSync(process.execPath, [
    `${ROOT}dist/ibisstair-ctl.mjs`, ...args, '--entry', `http://${address}:${port}`, '--secret-file', deployment.secretFile
  ], { encoding: 'utf8' })
  if (status !== 0) throw new Error(`ibisstair-ctl ${args.join(' ')}: ${stdout}${stderr}`)
}

const configure = (deployment: Deployment): void => {
  for (const domain of DOMAINS) {
    const racks = RACKS.flatMap(({ id, workers }) => ['--rack', `${domain}-${id}:${workers}:8:8`])
    runCtl(deployment, 'domain', 'put', domain, '--region', 'cr-central', ...racks)
  }
  const kind = (name: string, urgency: string, idempotent: string, runMs: number, startWithinMs: number): void =>
    runCtl(deployment, 'kind', 'put', name, '--urgency', urgency, '--idempotent', idempotent, '--expected-run-ms', String(runMs), '--start-within-ms', String(startWithinMs), '--target', '0.99')
  kind('splash-check', 'urgent', 'yes', 100, 8_700)
  kind('swap-match', 'normal', 'yes', 800, 30_000)
  kind('pickup', 'normal', 'no', 200, 30_000)
  for (const customer of ['clinics', 'welders', 'couriers']) runCtl(deployment, 'customer', 'create', customer, '--priority', customer === 'clinics' ? '2' : '1', '--max-queued', '500')
  runCtl(deployment, 'guarantee', 'add', 'clinics', '--tasks', '1', '--accelerators', '1', '--count', '16')
  runCtl(deployment, 'guarantee', 'add', 'welders', '--tasks', '4', '--accelerators', '4', '--adjacency', 'rack', '--count', '4')
}

const isServing = async (deployment: Deployment, workers: number): Promise<boolean> => {
  const { operators } = deployment.entries[0]!
  const { body } = await call(operators, 'GET', '/v1/status', undefined, { authorization: `Bearer ${deployment.secret}` }, 2_000)
  const { controls } = body as { controls: Array<{ session?: { totalAccelerators: number, recovering: boolean } | null }> }
  const accelerators = controls.reduce((sum, { session }) => sum + (session && !session.recovering ? session.totalAccelerators : 0), 0)
  return accelerators === workers * 8
}

const findLeader = async (deployment: Deployment, domain: string): Promise<string> => {
  const { operators } = deployment.entries[0]!
  const { body } = await call(operators, 'GET', '/v1/status', undefined, { authorization: `Bearer ${deployment.secret}` }, 2_000)
  const { controls } = body as { controls: Array<{ node: string, domain: string, session?: object | null }> }
  return controls.find((control) => control.domain === domain && control.session)?.node ?? `${domain}-control-1`
}

const printOutcomes = (reports: readonly CallerReport[]): void => {
  const table = new Map<string, Record<string, number>>()
  for (const { kind, error } of reports) {
    const row = table.get(kind) ?? {}
    const outcome = error ? `${error.kind} (${error.execution})` : 'answered'
    row[outcome] = (row[outcome] ?? 0) + 1
    table.set(kind, row)
  }
  console.log('\nOutcomes of the requests:')
  for (const [kind, row] of table) console.log(`  ${kind.padEnd(14)} ${Object.entries(row).map(([outcome, count]) => `${outcome}: ${count}`).join(', ')}`)
}

const printBurn = (deployment: Deployment): void => {
  const entries = deployment.entries.flatMap(({ operators }) => ['--entry', `http://${operators.address}:${operators.port}`])
  const { stdout, stderr, status } = spawnSync(process.execPath, [`${ROOT}dist/ibisstair-burn.mjs`, ...entries, '--secret-file', deployment.secretFile], { encoding: 'utf8' })
  console.log(`\nService-level burn:\n${stdout}${stderr}`)
  if (status !== 0) throw new Error('the burn report failed')
}

const startEndpoints = async (deployment: Deployment): Promise<FakeEndpoint[]> => {
  const endpoints = DOMAINS.flatMap((domain) => RACKS.flatMap(({ id, workers }) => Array.from({ length: workers }, (_, i) => new FakeEndpoint({
    id: `${domain}-${id}-worker-${i + 1}`,
    domain,
    rack: `${domain}-${id}`,
    entries: deployment.entries.filter((entry) => entry.domain === domain).map((entry) => entry.endpoints)
  }))))
  for (const endpoint of endpoints) await endpoint.start()
  return endpoints
}

const runWork = async (deployment: Deployment, work: readonly Work[]): Promise<CallerReport[]> => {
  const entries = deployment.entries.map(({ callers }) => callers)
  const half = Math.floor(work.length / 2)
  const first = work.slice(0, half).map((item, i) => send(entries, item, i))
  const victim = await findLeader(deployment, 'cr-sj')
  console.log(`Killing ${victim}, which schedules cr-sj.`)
  await deployment.kill(victim)
  const second = work.slice(half).map((item, i) => send(entries, item, i))
  const reports = await Promise.all([...first, ...second])
  deployment.startProcess(victim)
  return reports
}

const main = async (): Promise<number> => {
  const began = Date.now()
  const seed = Number(process.env.DEMO_SEED ?? 1)
  const deployment = await Deployment.create({ folder: FOLDER, name: 'co-op', domains: DOMAINS })
  let endpoints: FakeEndpoint[] = []
  try {
    console.log(`Starting ${deployment.controls.length} control processes and ${deployment.entries.length} entries in ${DOMAINS.join(', ')} (seed ${seed}).`)
    await deployment.start()
    await waitUntil('an entry answers', async () => (await call(deployment.entries[0]!.callers, 'GET', '/livez')).status === 200)
    await waitUntil('the config group has a leader', async () => { runCtl(deployment, 'status'); runCtl(deployment, 'domain', 'put', DOMAINS[0]!, '--region', 'cr-central', '--rack', 'cr-sj-rack-1:6:8:8'); return true })
    console.log('An operator creates the failure domains, kinds of work, customers and guaranteed shapes.')
    configure(deployment)
    endpoints = await startEndpoints(deployment)
    await waitUntil('every failure domain schedules its workers', () => isServing(deployment, endpoints.length))
    const work = createWork(new RandomSource(seed))
    console.log(`${endpoints.length} workers have announced themselves; submitting ${work.length} requests.`)
    const reports = await runWork(deployment, work)
    printOutcomes(reports)
    printBurn(deployment)
    const records = endpoints.flatMap((endpoint) => endpoint.records)
    const violations = checkPromises(reports, records)
    const unanswered = reports.filter(({ answer }) => !answer)
    for (const { promise, detail } of violations) console.log(`BROKEN: ${promise}: ${detail}`)
    for (const { key, error } of unanswered) console.log(`not answered: ${key}: ${error?.kind} (${error?.execution})`)
    console.log(`${reports.length - unanswered.length} of ${reports.length} requests answered, ${records.length} tasks started, ${violations.length} promises broken, ${((Date.now() - began) / 1000).toFixed(1)} s.`)
    return violations.length === 0 ? 0 : 1
  } finally {
    for (const endpoint of endpoints) endpoint.kill()
    await deployment.stop()
  }
}

process.exit(await main())
