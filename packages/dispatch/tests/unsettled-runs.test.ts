import { asId, type TaskId } from '@ibisstair/common'
import { toEndpointIncarnation, type ActiveRun } from '@ibisstair/jobs'
import { Metrics, type Logger, type LogFields } from '@ibisstair/telemetry'
import t from 'tap'
import { MAX_REPORTED_RUNS, MIN_UNSETTLED_MS, OBSERVATION_PERIOD_MS, REPEATED_REPORT_MS, UnsettledRuns, type UnsettledCause } from '../src/unsettled-runs.ts'

class Fixture {
  readonly metrics = new Metrics({ node: 'n' })
  readonly lines: Array<{ readonly message: string, readonly fields: LogFields }> = []
  readonly #runs: UnsettledRuns

  constructor () {
    const log = (message: string, fields: LogFields = {}): void => { this.lines.push({ message, fields }) }
    const logger: Logger = { error: log, warn: log, info: log, debug: log }
    this.#runs = new UnsettledRuns(logger, this.metrics)
  }

  observe (count: number, cause: UnsettledCause | null, nowMs: number): void {
    const statuses = Array.from({ length: count }, (_, index) => ({ run: createRun(index), cause, describe: () => ({ phase: 'starting' }) }))
    this.#runs.observe(() => statuses, nowMs)
  }

  takeLines (message = 'run unsettled'): LogFields[] {
    return this.lines.splice(0).filter((line) => line.message === message).map(({ fields }) => fields)
  }
}

const createRun = (index: number): ActiveRun =>
  ({ task: asId<TaskId>(`ab.0.0.${index}`), run: 1, endpoint: toEndpointIncarnation(asId('w1'), 1), startedAtMs: 0 })

t.test('a run is reported once it has been unsettled for a while, and again after a longer one', async (t) => {
  const fixture = new Fixture()
  fixture.observe(1, 'unconfirmed', 0)
  t.same(fixture.takeLines(), [])
  const times = [MIN_UNSETTLED_MS, MIN_UNSETTLED_MS + OBSERVATION_PERIOD_MS, MIN_UNSETTLED_MS + REPEATED_REPORT_MS]
  const lines = times.map((nowMs) => {
    fixture.observe(1, 'unconfirmed', nowMs)
    return fixture.takeLines()
  })
  t.match(lines[0], [{ task: 'ab.0.0.0', run: 1, cause: 'unconfirmed', unsettledMs: MIN_UNSETTLED_MS, phase: 'starting' }])
  t.same(lines[1], [])
  t.equal(lines[2]!.length, 1)
  t.equal(fixture.metrics.read().gauges['runs.unsettled.unconfirmed'], 1)
})

t.test('a run that is settled in between starts anew', async (t) => {
  const fixture = new Fixture()
  fixture.observe(1, 'awaits-end', 0)
  fixture.observe(1, null, OBSERVATION_PERIOD_MS)
  fixture.observe(1, 'awaits-end', 2 * OBSERVATION_PERIOD_MS)
  t.same(fixture.takeLines(), [])
  t.equal(fixture.metrics.read().gauges['runs.unsettled.awaits-end'], 0)
})

t.test('an observation writes a bounded number of lines, says how many are left out, and writes these next', async (t) => {
  const fixture = new Fixture()
  fixture.observe(MAX_REPORTED_RUNS + 3, 'awaits-end', 0)
  fixture.observe(MAX_REPORTED_RUNS + 3, 'awaits-end', MIN_UNSETTLED_MS)
  t.match(fixture.lines.at(-1), { message: 'more runs are unsettled; their lines are left out', fields: { leftOut: 3 } })
  t.equal(fixture.takeLines().length, MAX_REPORTED_RUNS)
  fixture.observe(MAX_REPORTED_RUNS + 3, 'awaits-end', MIN_UNSETTLED_MS + OBSERVATION_PERIOD_MS)
  t.equal(fixture.takeLines().length, 3)
  t.equal(fixture.metrics.read().gauges['runs.unsettled.awaits-end'], MAX_REPORTED_RUNS + 3)
})

t.test('observations closer to each other than their period do nothing', async (t) => {
  const fixture = new Fixture()
  fixture.observe(1, 'unconfirmed', 0)
  fixture.observe(0, null, OBSERVATION_PERIOD_MS - 1)
  fixture.observe(1, 'unconfirmed', MIN_UNSETTLED_MS)
  t.equal(fixture.takeLines().length, 1)
})
