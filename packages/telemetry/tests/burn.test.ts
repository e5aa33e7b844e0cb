import fc from 'fast-check'
import t from 'tap'
import { asId, type KindOfWork, type NodeId } from '@ibisstair/common'
import {
  mergeCounters, mergeObjectives, ObjectiveWindow, parseMetricsBody, reportBurn, type BurnReport, type KindObjective, type MetricsBody
} from '../src/index.ts'

const SPLASH = asId<KindOfWork>('splash-check')
const PICKUP = asId<KindOfWork>('courier-pickup')
const OBJECTIVE: KindObjective = { kind: SPLASH, startWithinMs: 100, target: 0.9 }
const MINUTE_MS = 60_000
const T0 = 1_800_000_000_000
const SEED = 20_260_101

const createWindow = (objectives: readonly KindObjective[] = [OBJECTIVE]): ObjectiveWindow => {
  const window = new ObjectiveWindow()
  window.setObjectives(objectives)
  return window
}

const createBody = (node: string, window: ObjectiveWindow, atMs: number, counters = {}): MetricsBody =>
  ({ node: asId<NodeId>(node), atMs, objectives: window.snapshot(atMs), counters })

const recordMany = (window: ObjectiveWindow, atMs: number, good: number, bad: number): void => {
  for (let i = 0; i < good; i++) window.recordStart(SPLASH, 100, atMs)
  for (let i = 0; i < bad; i++) window.recordStart(SPLASH, 101, atMs)
}

const reportOne = (window: ObjectiveWindow, atMs: number): BurnReport =>
  reportBurn(mergeObjectives([createBody('entry-1', window, atMs)])[0]!, atMs)

t.test('the burn rate is the fraction of bad requests divided by the allowed fraction', async (t) => {
  const window = createWindow()
  recordMany(window, T0, 80, 20)
  const report = reportOne(window, T0 + 1)
  t.match(report.short, { good: 80, total: 100 })
  t.ok(Math.abs(report.short.burnRate - 2) < 1e-9)
  t.ok(Math.abs(report.budgetRemaining + 1) < 1e-9)
  t.equal(report.verdict, 'burning')
})

t.test('the two windows distinguish a new burst, a lasting fault and an ended fault', async (t) => {
  const window = createWindow()
  t.equal(reportOne(window, T0).verdict, 'no-data')
  recordMany(window, T0, 1_000, 0)
  t.equal(reportOne(window, T0).verdict, 'ok')
  recordMany(window, T0 + 10 * MINUTE_MS, 10, 20)
  t.equal(reportOne(window, T0 + 10 * MINUTE_MS).verdict, 'at-risk')
  recordMany(window, T0 + 11 * MINUTE_MS, 0, 500)
  t.equal(reportOne(window, T0 + 11 * MINUTE_MS).verdict, 'burning')
  recordMany(window, T0 + 30 * MINUTE_MS, 100, 0)
  t.equal(reportOne(window, T0 + 30 * MINUTE_MS).verdict, 'recovering')
  recordMany(window, T0 + 80 * MINUTE_MS, 100, 0)
  t.equal(reportOne(window, T0 + 80 * MINUTE_MS).verdict, 'ok')
})

t.test('a target of 1 gives a finite burn rate', async (t) => {
  const window = createWindow([{ ...OBJECTIVE, target: 1 }])
  recordMany(window, T0, 1, 1)
  t.ok(Number.isFinite(reportOne(window, T0).short.burnRate))
})

t.test('a configuration change keeps the counts of remaining kinds and drops those of removed kinds', async (t) => {
  const window = createWindow([OBJECTIVE, { ...OBJECTIVE, kind: PICKUP }])
  recordMany(window, T0, 3, 1)
  window.recordMiss(PICKUP, T0)
  window.setObjectives([{ ...OBJECTIVE, startWithinMs: 200 }])
  window.recordMiss(PICKUP, T0)
  t.match(window.snapshot(T0), [{ kind: SPLASH, startWithinMs: 200, buckets: [[T0, 3, 4]] }])
  t.equal(window.snapshot(T0).length, 1)
  t.equal(window.ignored, 1)
})

t.test('the number of buckets stays bounded over days and when the wall clock steps back', async (t) => {
  const window = createWindow()
  for (let minute = 0; minute < 3_000; minute++) recordMany(window, T0 + minute * MINUTE_MS, 1, 0)
  const end = T0 + 3_000 * MINUTE_MS
  t.ok(window.snapshot(end)[0]!.buckets.length <= 61)
  recordMany(window, T0, 5, 0)
  t.same(window.snapshot(T0)[0]!.buckets, [[T0, 5, 5]], 'after a step back no bucket lies in the future')
})

t.test('entries are merged by kind and bucket; a node that is read twice counts once', async (t) => {
  const first = createWindow()
  const second = createWindow([{ ...OBJECTIVE, target: 0.99 }])
  recordMany(first, T0, 2, 1)
  recordMany(second, T0, 4, 0)
  const bodies = [
    createBody('entry-1', first, T0, { accepted: 3, refused: 1 }),
    createBody('entry-1', first, T0 - 1, { accepted: 2 }),
    createBody('entry-2', second, T0 + 1, { accepted: 4 })
  ]
  const [merged] = mergeObjectives(bodies)
  t.same(merged!.buckets, [[T0, 6, 7]])
  t.match(merged, { target: 0.99, mixed: true })
  t.same(mergeCounters(bodies), { accepted: 7, refused: 1 })
})

t.test(`the merged report of any split over entries equals the report of one entry (seed ${SEED})`, async () => {
  const starts = fc.array(fc.record({
    entry: fc.nat(3),
    offsetMs: fc.nat(90 * MINUTE_MS),
    waitedMs: fc.nat(200)
  }), { maxLength: 200 })
  fc.assert(fc.property(starts, (list) => {
    const sorted = [...list].sort((a, b) => a.offsetMs - b.offsetMs)
    const whole = createWindow()
    const parts = [0, 1, 2, 3].map(() => createWindow())
    for (const { entry, offsetMs, waitedMs } of sorted) {
      whole.recordStart(SPLASH, waitedMs, T0 + offsetMs)
      parts[entry]!.recordStart(SPLASH, waitedMs, T0 + offsetMs)
    }
    const atMs = T0 + 90 * MINUTE_MS
    const merged = mergeObjectives(parts.map((part, i) => createBody(`entry-${i}`, part, atMs)))
    return JSON.stringify(reportBurn(merged[0]!, atMs)) === JSON.stringify(reportOne(whole, atMs))
  }), { seed: SEED, numRuns: 100 })
})

t.test('a metrics body survives a JSON round trip, and an invalid one is rejected with the field name', async (t) => {
  const window = createWindow()
  recordMany(window, T0, 2, 1)
  const body = createBody('entry-1', window, T0, { accepted: 3 })
  t.same(parseMetricsBody(JSON.parse(JSON.stringify(body)), 'entry-1'), body)
  t.same(parseMetricsBody({ ...body, added: true }, 'entry-1'), body, 'a field of a newer version is ignored')
  const withBucket = (bucket: unknown) => ({ ...body, objectives: [{ ...OBJECTIVE, buckets: [bucket] }] })
  t.throws(() => parseMetricsBody(withBucket([T0, 5, 4]), 'entry-1'), /entry-1: field objectives\.0\.buckets\.0: got .*at most as many good/)
  t.throws(() => parseMetricsBody(withBucket([T0, 1.5, 4]), 'entry-1'), /objectives\.0\.buckets\.0\.1/)
  t.throws(() => parseMetricsBody({ ...body, counters: { accepted: 'many' } }, 'entry-1'), /counters\.accepted/)
  t.throws(() => parseMetricsBody('text', 'entry-1'), /accepted is Object/)
})
