import { asId, ERROR_TABLE, type ErrorKind, type Execution, IbisError } from '@ibisstair/common'
import type { JobMetadata, JobOutcome } from '@ibisstair/model'
import fc from 'fast-check'
import { pack, unpack } from 'msgpackr'
import t from 'tap'
import {
  type JobCommand, type JobRecord, JobRegister, type JobRegisterLimits, type JobResult, MAX_CLOCK_STEP_MS, type RecordStart
} from '../src/index.ts'

const RUNS = { seed: 5202, numRuns: 150 }
t.before(() => { t.comment(`seed ${RUNS.seed}, ${RUNS.numRuns} runs`) })

const LIMITS: JobRegisterLimits = { records: 5, retentionMs: 1000, startBytes: 10_000, answerBytes: 300 }
const TASKS = 2

const metadataOf = (key: string): JobMetadata => ({
  key: asId(key),
  customer: asId('coop'),
  caller: asId('ana'),
  kind: asId('pickup'),
  urgency: 'normal',
  shape: { tasks: TASKS, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'rack' },
  deadlineMs: 1000,
  expectedRunMs: 1000,
  idempotent: false
})

const startOf = (key: string, jobId: string, change: Partial<RecordStart> = {}): RecordStart => ({
  type: 'record-start',
  customer: asId('coop'),
  key: asId(key),
  jobId: asId(jobId),
  attempt: 1,
  fingerprint: 'f-1',
  metadata: metadataOf(key),
  assignments: Array.from({ length: TASKS }, (_, index) => ({
    index, taskId: asId(`${jobId}/${index}`), endpointId: asId('e-1'), incarnation: 1
  })),
  atMs: 0,
  ...change
})

const failedWith = (kind: ErrorKind, execution: Execution = ERROR_TABLE[kind].execution): JobOutcome =>
  ({ state: 'failed', error: new IbisError(kind, 'detail', { execution }).toBody() })

const doneWith = (text: string): JobOutcome =>
  ({ state: 'done', answers: Array.from({ length: TASKS }, (_, index) => ({ index, body: text })) })

const NOT_RUN = failedWith('gang-not-started')
const RAN = failedWith('task-failed')
const UNKNOWN = failedWith('outcome-unknown')
const DONE = doneWith('ok')

const outcomeOf = (key: string, jobId: string, outcome: JobOutcome, atMs = 0, attempt = 1): JobCommand =>
  ({ type: 'record-outcome', customer: asId('coop'), key: asId(key), jobId: asId(jobId), attempt, outcome, atMs })

const ackOf = (key: string, jobId: string, atMs = 0): JobCommand =>
  ({ type: 'acknowledge', customer: asId('coop'), key: asId(key), jobId: asId(jobId), atMs })

const statusOf = (result: JobResult): string => result.status === 'refused' ? result.error.kind : result.status

t.test('a second start is answered with the existing record, before and after the outcome', async (t) => {
  const register = new JobRegister(LIMITS)
  t.match(register.apply(startOf('k', 'j1')), { status: 'recorded', record: { jobId: 'j1' } })
  t.match(register.apply(startOf('k', 'j2')), { status: 'exists', record: { jobId: 'j1' } })
  t.match(register.apply(startOf('k', 'j1')), { status: 'exists' }, 'a proposer that resends must not start twice')
  for (const outcome of [UNKNOWN, DONE]) {
    register.apply(outcomeOf('k', 'j1', outcome))
    t.match(register.apply(startOf('k', 'j3')), { status: 'exists', record: { jobId: 'j1', outcome } })
  }
})

t.test('after "not run" a new start is recorded, but not a delayed copy of the old one', async (t) => {
  const register = new JobRegister(LIMITS)
  register.apply(startOf('k', 'j1'))
  register.apply(outcomeOf('k', 'j1', NOT_RUN))
  t.equal(register.apply(startOf('k', 'j1')).status, 'exists')
  t.equal(register.apply(startOf('k', 'j1', { attempt: 2 })).status, 'recorded')
  t.equal(register.listWithoutOutcome().length, 1)
  register.apply(outcomeOf('k', 'j1', NOT_RUN, 0, 2))
  t.equal(register.apply(startOf('k', 'j2')).status, 'recorded')
})

t.test('a different request under a known key is a conflict, whatever the outcome', async (t) => {
  const register = new JobRegister(LIMITS)
  register.apply(startOf('k', 'j1'))
  t.equal(statusOf(register.apply(startOf('k', 'j2', { fingerprint: 'f-2' }))), 'key-conflict')
  register.apply(outcomeOf('k', 'j1', NOT_RUN))
  t.equal(statusOf(register.apply(startOf('k', 'j2', { fingerprint: 'f-2' }))), 'key-conflict')
})

t.test('the same key of two customers identifies two records', async (t) => {
  const register = new JobRegister(LIMITS)
  const other = { ...metadataOf('k'), customer: asId<never>('guild') }
  register.apply(startOf('k', 'j1'))
  t.equal(register.apply(startOf('k', 'j2', { customer: asId('guild'), metadata: other })).status, 'recorded')
})

t.test('a recorded outcome is final; only "unknown" can be replaced, and never by "not run"', async (t) => {
  const all = { NOT_RUN, RAN, UNKNOWN, DONE }
  for (const [from, first] of Object.entries(all)) {
    for (const [to, second] of Object.entries(all)) {
      const register = new JobRegister(LIMITS)
      register.apply(startOf('k', 'j1'))
      register.apply(outcomeOf('k', 'j1', first))
      const allowed = from === to || (from === 'UNKNOWN' && (to === 'RAN' || to === 'DONE'))
      const result = register.apply(outcomeOf('k', 'j1', second))
      t.equal(result.status, allowed ? 'recorded' : 'exists', `${from} then ${to}`)
      t.strictSame(register.get(asId('coop'), asId('k'))?.outcome, allowed ? second : first, `${from} then ${to}`)
    }
  }
})

t.test('an outcome of another job or attempt is not recorded', async (t) => {
  const register = new JobRegister(LIMITS)
  register.apply(startOf('k', 'j1', { attempt: 2 }))
  t.equal(register.apply(outcomeOf('k', 'j0', DONE)).status, 'exists')
  t.equal(register.apply(outcomeOf('k', 'j1', DONE, 0, 1)).status, 'exists')
  t.equal(statusOf(register.apply(outcomeOf('other', 'j1', DONE))), 'not-found')
  t.equal(register.listWithoutOutcome().length, 1)
})

t.test('a partial result is not recorded as done', async (t) => {
  const register = new JobRegister(LIMITS)
  register.apply(startOf('k', 'j1'))
  const partial: JobOutcome = { state: 'done', answers: [{ index: 0, body: 1 }] }
  const doubled: JobOutcome = { state: 'done', answers: [{ index: 0, body: 1 }, { index: 0, body: 1 }] }
  for (const outcome of [partial, doubled]) t.equal(statusOf(register.apply(outcomeOf('k', 'j1', outcome))), 'invalid-request')
  t.equal(register.listWithoutOutcome().length, 1)
})

t.test('a start is refused unless its metadata match its key and its assignments cover every task', async (t) => {
  const register = new JobRegister(LIMITS)
  const { assignments } = startOf('k', 'j1')
  t.equal(statusOf(register.apply(startOf('k', 'j1', { metadata: metadataOf('other') }))), 'invalid-request')
  t.equal(statusOf(register.apply(startOf('k', 'j1', { assignments: assignments.slice(1) }))), 'invalid-request')
  t.equal(register.getStats().records, 0)
})

/** A customer may hold at most as many records as are still free. */
const MAX_RECORDS_PER_CUSTOMER = Math.ceil(LIMITS.records / 2)

const fill = (register: JobRegister, atMs: number): void => {
  for (let i = 0; i < MAX_RECORDS_PER_CUSTOMER; i++) {
    register.apply(startOf(`k${i}`, `j${i}`, { atMs }))
    register.apply(outcomeOf(`k${i}`, `j${i}`, DONE, atMs))
  }
}

t.test('a full register refuses starts instead of dropping an outcome within the retention age', async (t) => {
  const register = new JobRegister(LIMITS)
  fill(register, 0)
  const refused = register.apply(startOf('new', 'j', { atMs: LIMITS.retentionMs - 1 }))
  t.match(refused, { status: 'refused', error: { kind: 'overloaded', execution: 'not-run' } })
  t.equal(register.apply(startOf('k0', 'j', { atMs: LIMITS.retentionMs - 1 })).status, 'exists')
  t.equal(register.apply(startOf('new', 'j', { atMs: LIMITS.retentionMs })).status, 'recorded')
  t.equal(register.getStats().records, 1)
})

t.test('a start without an outcome never expires', async (t) => {
  const register = new JobRegister(LIMITS)
  register.apply(startOf('k', 'j1'))
  for (let i = 1; i < 10; i++) register.apply(ackOf('none', 'j', i * LIMITS.retentionMs))
  t.equal(register.apply(startOf('k', 'j2', { atMs: 10 * LIMITS.retentionMs })).status, 'exists')
  t.same(register.listWithoutOutcome().map(({ jobId }) => jobId), ['j1'])
})

t.test('a leader whose wall clock is a year ahead does not expire outcomes, and one whose clock is behind does not stop their expiry', async (t) => {
  const limits = { ...LIMITS, retentionMs: 2 * MAX_CLOCK_STEP_MS }
  const register = new JobRegister(limits)
  const year = 365 * 24 * 3600 * 1000
  register.apply(startOf('k', 'j1', { atMs: year }))
  register.apply(outcomeOf('k', 'j1', DONE, year))
  register.apply(ackOf('none', 'j', 2 * year))
  t.equal(register.apply(startOf('k', 'j2', { atMs: 2 * year })).status, 'exists')
  register.apply(ackOf('none', 'j', 0))
  t.equal(register.apply(startOf('k', 'j2', { atMs: MAX_CLOCK_STEP_MS - 1 })).status, 'exists')
  t.equal(register.apply(startOf('k', 'j2', { atMs: MAX_CLOCK_STEP_MS })).status, 'recorded')
})

t.test('answers are released only after acknowledgement and only to free space; the record is kept', async (t) => {
  const register = new JobRegister({ ...LIMITS, answerBytes: 500 })
  const big = doneWith('x'.repeat(100))
  for (const key of ['a', 'b']) register.apply(startOf(key, key))
  for (const key of ['a', 'b']) register.apply(outcomeOf(key, key, big))
  t.equal(statusOf(register.apply(startOf('c', 'c'))), 'overloaded')
  t.strictSame(register.get(asId('coop'), asId('b'))?.outcome, big)
  register.apply(ackOf('b', 'b'))
  t.strictSame(register.get(asId('coop'), asId('b'))?.outcome, { state: 'released' })
  t.equal(register.apply(startOf('c', 'c')).status, 'recorded')
  t.match(register.apply(startOf('b', 'b2')), { status: 'exists', record: { outcome: { state: 'released' } } })
  register.apply(ackOf('a', 'a'))
  t.strictSame(register.get(asId('coop'), asId('a'))?.outcome, big, 'kept while there is space')
})

t.test('a flood of starts by one customer, or by three, leaves capacity for another', async (t) => {
  const startBy = (customer: string, i: number): RecordStart =>
    startOf(`${customer}-${i}`, `${customer}-${i}`, { customer: asId(customer), metadata: { ...metadataOf(`${customer}-${i}`), customer: asId(customer) } })
  for (const floods of [['a'], ['a', 'b', 'c']]) {
    const register = new JobRegister({ ...LIMITS, records: 20, startBytes: 1e6 })
    const held = new Map<string, number>()
    for (let i = 0; i < 100; i++) {
      const customer = floods[i % floods.length]!
      const result = register.apply(startBy(customer, i))
      if (result.status === 'recorded') held.set(customer, (held.get(customer) ?? 0) + 1)
      else t.match(result, { error: { kind: 'overloaded', execution: 'not-run', info: { limit: 20 } } })
    }
    const each = Math.floor(20 / (floods.length + 1))
    t.ok([...held.values()].every((count) => count >= each - 1 && count <= each + 1), JSON.stringify([...held]))
    t.equal(register.apply(startBy('small', 0)).status, 'recorded')
  }
})

t.test('answers that one customer never fetches do not stop the starts of another', async (t) => {
  const register = new JobRegister(LIMITS)
  register.apply(startOf('a', 'a'))
  register.apply(outcomeOf('a', 'a', doneWith('x'.repeat(100))))
  t.equal(statusOf(register.apply(startOf('b', 'b'))), 'overloaded')
  const other = startOf('k', 'k', { customer: asId('guild'), metadata: { ...metadataOf('k'), customer: asId('guild') } })
  t.equal(register.apply(other).status, 'recorded')
})

t.test('an acknowledgement needs an outcome', async (t) => {
  const register = new JobRegister(LIMITS)
  register.apply(startOf('k', 'j1'))
  t.equal(statusOf(register.apply(ackOf('k', 'j1'))), 'invalid-request')
  t.equal(statusOf(register.apply(ackOf('none', 'j1'))), 'not-found')
})

t.test('start records of wide gangs are bounded by their bytes', async (t) => {
  const register = new JobRegister({ ...LIMITS, startBytes: 1200 })
  t.equal(register.apply(startOf('a', 'j1')).status, 'recorded')
  const { startBytes } = register.getStats()
  t.ok(startBytes > 300 && startBytes < 400, `${startBytes} bytes`)
  t.match(register.apply(startOf('b', 'j2')), { status: 'recorded' })
  t.match(register.apply(startOf('c', 'j3')), { status: 'refused', error: { kind: 'overloaded', info: { limit: 1200 } } })
  register.apply(outcomeOf('a', 'j1', NOT_RUN))
  t.equal(register.apply(startOf('a', 'j4')).status, 'recorded', 'a start after "not run" replaces its record')
  register.apply(outcomeOf('a', 'j4', DONE))
  register.apply(ackOf('none', 'j', LIMITS.retentionMs))
  t.equal(register.apply(startOf('c', 'j3', { atMs: LIMITS.retentionMs })).status, 'recorded', 'expiry frees the space')
})

t.test('the proposer, which applies its own object, agrees with replicas that applied its JSON', async (t) => {
  const start = startOf('k', 'j1')
  const outcome = outcomeOf('k', 'j1', { state: 'done', answers: [{ index: 0, body: undefined }, { index: 1, body: { a: undefined, b: [undefined, NaN] } }] })
  const commands = [{ ...start, metadata: { ...start.metadata, homeDomain: undefined } } as unknown as JobCommand, outcome]
  const proposer = new JobRegister(LIMITS)
  const follower = new JobRegister(LIMITS)
  for (const command of commands) {
    const result = proposer.apply(command)
    t.equal(result.status, 'recorded')
    t.strictSame(follower.apply(JSON.parse(JSON.stringify(command))), result)
  }
  t.strictSame(follower.toSnapshot(), proposer.toSnapshot())
})

t.test('a malformed command is refused on every replica instead of stopping it', async (t) => {
  const register = new JobRegister(LIMITS)
  const inputs: unknown[] = [null, 3, {}, { type: 'record-start' }, { ...startOf('k', 'j'), atMs: NaN }, { ...startOf('k', 'j'), extra: 1 },
    { ...startOf('k', 'j'), assignments: [] }, { type: 'x' }]
  for (const input of inputs) t.equal(statusOf(register.apply(input as JobCommand)), 'invalid-request')
  t.equal(register.getStats().records, 0)
})

t.test('an answer that cannot be encoded is refused instead of stopping every replica', async (t) => {
  const register = new JobRegister(LIMITS)
  register.apply(startOf('k', 'j1'))
  const outcome: JobOutcome = { state: 'done', answers: [{ index: 0, body: 1n }, { index: 1, body: 1 }] }
  t.equal(statusOf(register.apply(outcomeOf('k', 'j1', outcome))), 'invalid-request')
})

type Step =
  | { readonly type: 'start' | 'conflict', readonly key: string, readonly job: number, readonly attempt: number, readonly elapsedMs: number }
  | { readonly type: 'outcome', readonly key: string, readonly outcome: JobOutcome, readonly stale: boolean, readonly elapsedMs: number }
  | { readonly type: 'ack', readonly key: string, readonly elapsedMs: number }
  | { readonly type: 'resend', readonly back: number, readonly elapsedMs: number }
  | { readonly type: 'restart', readonly encoding: 'json' | 'msgpack', readonly elapsedMs: number }

const keys = fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f', 'g')
const elapsedMs = fc.constantFrom(0, 0, 1, 20, 100, 400, -50)

const steps: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      type: fc.constantFrom('start' as const, 'start' as const, 'start' as const, 'conflict' as const),
      key: keys,
      job: fc.integer({ min: 0, max: 3 }),
      attempt: fc.integer({ min: 1, max: 2 }),
      elapsedMs
    })
  },
  {
    weight: 6,
    arbitrary: fc.record({
      type: fc.constant('outcome' as const),
      key: keys,
      outcome: fc.constantFrom(NOT_RUN, NOT_RUN, RAN, UNKNOWN, DONE, doneWith('x'.repeat(60))),
      stale: fc.boolean(),
      elapsedMs
    })
  },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('ack' as const), key: keys, elapsedMs }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('resend' as const), back: fc.integer({ min: 1, max: 6 }), elapsedMs }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('restart' as const), encoding: fc.constantFrom('json' as const, 'msgpack' as const), elapsedMs }) }
)

const buildCommand = (step: Exclude<Step, { type: 'restart' }>, known: (key: string) => JobRecord | undefined, sent: readonly JobCommand[], atMs: number): JobCommand | undefined => {
  switch (step.type) {
    case 'start':
    case 'conflict':
      return startOf(step.key, `${step.key}-${step.job}`, { attempt: step.attempt, fingerprint: step.type === 'start' ? 'f-1' : 'f-2', atMs })
    case 'outcome': {
      const record = known(step.key)
      const jobId = record && !step.stale ? record.jobId : `${step.key}-0`
      return outcomeOf(step.key, jobId, step.outcome, atMs, record && !step.stale ? record.attempt : 1)
    }
    case 'ack': return ackOf(step.key, known(step.key)?.jobId ?? 'none', atMs)
    case 'resend': return sent[sent.length - step.back]
  }
}

/** State of one key as expected from the results so far. */
interface ExpectedState {
  readonly fingerprint: string
  readonly outcome?: JobOutcome
  readonly finishedAtMs?: number
}

const isNotRun = (outcome: JobOutcome | undefined): boolean => outcome?.state === 'failed' && outcome.error.execution === 'not-run'
const isUnknown = (outcome: JobOutcome | undefined): boolean => outcome?.state === 'failed' && outcome.error.execution === 'unknown'

t.test('resends, races, restarts and expiry never allow a second start, and replicas stay equal', async (t) => {
  const seen = { started: 0, exists: 0, overloaded: 0, conflicts: 0, restartedAfterNotRun: 0, expired: 0 }
  fc.assert(fc.property(fc.array(steps, { maxLength: 60, size: 'max' }), (list) => {
    const steady = new JobRegister(LIMITS)
    let restarted = new JobRegister(LIMITS)
    const expected = new Map<string, ExpectedState>()
    const sent: JobCommand[] = []
    let atMs = 1_000_000
    let agedMs = 0
    let lastAtMs: number | undefined
    for (const step of list) {
      atMs += step.elapsedMs
      if (step.type === 'restart') {
        const snapshot = restarted.toSnapshot()
        restarted = new JobRegister(LIMITS)
        restarted.restore(step.encoding === 'json' ? JSON.parse(JSON.stringify(snapshot)) : unpack(pack(snapshot)))
        continue
      }
      const command = buildCommand(step, (key) => steady.get(asId('coop'), asId(key)), sent, atMs)
      if (!command) continue
      sent.push(command)
      agedMs += Math.max(0, command.atMs - (lastAtMs ?? command.atMs))
      lastAtMs = command.atMs
      const result = steady.apply(command)
      t.strictSame(restarted.apply(JSON.parse(JSON.stringify(command))), result, 'replicas agree')
      t.strictSame(restarted.toSnapshot(), steady.toSnapshot(), 'replicas hold the same state')
      const stats = steady.getStats()
      t.ok(stats.records <= LIMITS.records, 'the number of records is bounded')

      const before = expected.get(command.key)
      const isExpired = before?.finishedAtMs !== undefined && agedMs - before.finishedAtMs >= LIMITS.retentionMs
      const known = isExpired ? undefined : before
      if (command.type === 'record-start') {
        if (result.status === 'recorded') {
          t.ok(!known || isNotRun(known.outcome), 'a start is recorded once unless it did not run')
          t.ok(!known || known.fingerprint === command.fingerprint, 'a key keeps its request')
          expected.set(command.key, { fingerprint: command.fingerprint })
          seen.started += 1
          if (known) seen.restartedAfterNotRun += 1
          if (isExpired) seen.expired += 1
        } else if (result.status === 'exists') {
          t.ok(known, 'an existing record was started before')
          seen.exists += 1
        } else if (result.error.kind === 'overloaded') {
          t.notOk(known, 'a known key is never refused for lack of space')
          seen.overloaded += 1
        } else {
          t.equal(result.error.kind, 'key-conflict')
          t.not(known?.fingerprint, command.fingerprint)
          seen.conflicts += 1
        }
      }
      if (command.type === 'record-outcome' && result.status === 'recorded') {
        t.ok(known, 'an outcome belongs to a start')
        const isSame = known?.outcome !== undefined && JSON.stringify(known.outcome) === JSON.stringify(command.outcome)
        t.ok(!known?.outcome || isSame || (isUnknown(known.outcome) && !isNotRun(command.outcome)), 'a recorded outcome is final unless it was "unknown"')
        if (known && !isSame) expected.set(command.key, { ...known, outcome: command.outcome, finishedAtMs: agedMs })
      }
      for (const [key, { outcome, finishedAtMs }] of expected) {
        if (finishedAtMs !== undefined && agedMs - finishedAtMs >= LIMITS.retentionMs) continue
        const record = steady.get(asId('coop'), asId(key))
        t.ok(record, 'no record is dropped within the retention age')
        if (record?.outcome?.state === 'released') t.ok(record.acknowledged && outcome?.state === 'done', 'only acknowledged answers are released')
        else t.strictSame(record?.outcome, outcome, 'the outcome is kept')
      }
    }
  }), RUNS)
  t.comment(`seen: ${JSON.stringify(seen)}`)
  for (const [name, count] of Object.entries(seen)) t.ok(count > 0, `the runs reached: ${name}`)
})
