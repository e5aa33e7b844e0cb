import { asId, IbisError, type CustomerId, type JobId } from '@ibisstair/common'
import type { Dispatcher } from '@ibisstair/dispatch'
import { SchedulingState, type ServiceConfig, type StateCommand, type StateResult, type StepSpec } from '@ibisstair/jobs'
import { RelayDirectory } from '@ibisstair/relay'
import { Metrics } from '@ibisstair/telemetry'
import { ManualTimerService, RandomSource } from '@ibisstair/timers'
import t from 'tap'
import { createEndpoint, createStep, register, start } from '../../jobs/tests/support/samples.ts'
import { AdmissionControl, LeaderService } from '../src/index.ts'

const HOST = 'jobs.example'
const KEYS: Readonly<Record<string, string>> = { clinics: 'key-1', labs: 'key-2' }
const endpoint = createEndpoint('w1')
/** Three objectives of one of these jobs are 12 s: (1 s + 2 x 1.5 s) x 3; the service has 8 accelerators. */
const step = createStep({ count: 8, estimateMs: 1_500 })
const CAPACITY_JOBS = 8

const createConfig = (): ServiceConfig => ({
  version: 1,
  services: ['s'],
  document: '',
  customers: Object.entries(KEYS).map(([name, key]) => ({ name: asId<CustomerId>(name), keys: [key], guaranteedAccelerators: name === 'labs' ? 8 : 0 })),
  queues: [0, 1].map((priority) => ({ name: `q${priority}`, host: HOST, pathPrefix: `/q${priority}/`, service: 's', priority, maxAttempts: 3, stretch: 2, targetLatencyMs: 1_000, timeoutMs: 3_000, isPublic: false }))
})

class Fixture {
  readonly state = new SchedulingState()
  readonly timers = new ManualTimerService()
  readonly metrics = new Metrics({ node: 'n' })
  readonly lines: Array<{ readonly message: string, readonly fields: unknown }> = []
  readonly admission: AdmissionControl
  readonly service: LeaderService
  readonly proposed: StateCommand[] = []
  /** Replaces the proposal of the next commands, for example to leave its outcome unknown. */
  propose: ((command: StateCommand) => Promise<StateResult>) | null = null

  constructor () {
    const log = (message: string, fields: unknown): void => { this.lines.push({ message, fields }) }
    const { state, timers, metrics } = this
    const options = { state, timers, metrics, logger: { error: log, warn: log, info: log, debug: log } }
    this.admission = new AdmissionControl({ ...options, random: new RandomSource(3), hasFairShares: false })
    const propose = async (command: StateCommand): Promise<StateResult> => {
      this.proposed.push(command)
      return this.propose ? await this.propose(command) : state.apply(command)
    }
    this.service = new LeaderService({ ...options, propose, admission: this.admission, relays: new RelayDirectory(), dispatcher: {} as Dispatcher })
    state.apply({ type: 'configure', config: createConfig() })
    state.apply(register(endpoint))
  }

  async submit (id: string, { customer = 'clinics', priority = 1, steps = [step] as readonly StepSpec[] } = {}): Promise<string> {
    const params = { host: HOST, path: `/q${priority}/${id}`, credential: KEYS[customer]!, submission: { payload: 'p', steps, recurrence: null } }
    return await this.service.handle('job.submit', params).then(() => 'accepted', (err: unknown) => {
      const { kind, execution, retryAfterMs } = IbisError.from(err)
      return `${kind} ${execution} ${retryAfterMs! >= 500}`
    })
  }

  /** Fills three objectives of the service; returns the number of accepted jobs. */
  async fill (options: { readonly customer?: string, readonly priority?: number } = {}): Promise<number> {
    for (let i = 0; ; i++) if (await this.submit(`f${i}`, options) !== 'accepted') return i
  }

  complete (id: string): void {
    this.state.apply(start(id, 0, 1, Array.from({ length: 8 }, () => endpoint)))
    const ends = Array.from({ length: 8 }, (_, index) => ({ task: `${id}.0.0.${index}` as never, run: 1, outcome: 'done' as const, checkpoint: '' }))
    this.state.apply({ type: 'end', endpoint: endpoint.life, ends, atMs: 0 })
  }
}

t.test('a rejected submission is not recorded, is logged and counted, and is accepted when the backlog has drained', async (t) => {
  const fixture = new Fixture()
  const accepted = await fixture.fill()
  t.ok(accepted >= CAPACITY_JOBS, `${accepted} jobs were accepted`)
  const { length } = fixture.proposed
  t.equal(await fixture.submit('a1'), 'queue-full not-run true')
  t.equal(fixture.proposed.length, length, 'nothing is proposed')
  t.equal(fixture.state.jobs.get(asId<JobId>('a1')), undefined)
  t.equal(fixture.metrics.counter('submissions.rejected.queue-full'), 2)
  t.match(fixture.lines.filter(({ message }) => message === 'submission rejected').at(-1)!.fields, { job: 'a1', customer: 'clinics', reason: 'queue-full', accelerators: 8, limitMs: 12_000, ownS: Number, shareS: 96, retryAfterMs: Number })
  t.equal(await fixture.submit('f0'), 'accepted', 'a known job is never rejected')
  for (let i = 0; i < 100; i++) await fixture.submit(`b${i}`)
  t.equal(fixture.lines.filter(({ message }) => message === 'submission rejected').length, 10, 'lines are bounded')
  for (let i = 0; i < 3; i++) fixture.complete(`f${i}`)
  t.equal(await fixture.submit('a1'), 'queue-full not-run true', 'the backlog is not computed for each submission')
  fixture.timers.advance(250)
  t.equal(await fixture.submit('a1'), 'accepted')
  fixture.timers.advance(1_000)
  t.ok(fixture.metrics.read().gauges['backlog.core-s.s']! > 0)
  fixture.admission.close()
  t.equal(fixture.metrics.read().gauges['backlog.core-s.s'], 0)
})

t.test('a job with a proposal whose outcome is not known is not rejected when it is submitted again', async (t) => {
  // Guards against "not run" for a job that the earlier proposal still commits.
  const fixture = new Fixture()
  fixture.propose = async () => { throw new IbisError('outcome-unknown', 'not committed in time') }
  t.match(await fixture.submit('a1'), /^outcome-unknown unknown/)
  fixture.propose = async () => { throw new IbisError('no-quorum', 'no majority') }
  t.match(await fixture.submit('a2'), /^no-quorum not-run/)
  fixture.propose = null
  await fixture.fill()
  t.equal(await fixture.submit('a1'), 'accepted')
  t.match(await fixture.submit('a2'), /^queue-full/, 'the earlier proposal was certainly dropped')
})

t.test('work within a guarantee is accepted in a flood of urgent work, and again as soon as earlier work has ended', async (t) => {
  const fixture = new Fixture()
  await fixture.fill({ priority: 0 })
  const urgent = { customer: 'labs', priority: 0 }
  t.equal(await fixture.submit('a1', urgent), 'accepted')
  t.match(await fixture.submit('a2', urgent), /^deadline-unreachable/, 'beyond the guarantee')
  fixture.complete('a1')
  t.equal(await fixture.submit('a2', urgent), 'accepted', 'without waiting for the next computation of the backlog')
})

t.test('work that does not begin now or does not end is not judged by the present backlog', async (t) => {
  const fixture = new Fixture()
  await fixture.fill()
  t.equal(await fixture.submit('a1', { steps: [createStep({ longRunning: true })] }), 'accepted')
  const later = { host: HOST, path: '/q1/a2', credential: KEYS.clinics!, submission: { payload: 'p', steps: [step], recurrence: { occurrences: 2, startAtMs: 60_000, intervalMs: 1_000 } } }
  t.match(await fixture.service.handle('job.submit', later), { status: 'queued' })
})
