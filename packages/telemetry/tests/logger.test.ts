import { Writable } from 'node:stream'
import t from 'tap'
import { invariant } from '@ibisstair/common'
import { createLogger, installInvariantReporting, Metrics, type LogLevel } from '../src/index.ts'

class Output extends Writable {
  readonly lines: string[] = []

  constructor (readonly isTTY: boolean) {
    super()
  }

  override _write (chunk: Buffer, _encoding: string, done: () => void): void {
    this.lines.push(...chunk.toString().split('\n').filter(Boolean))
    done()
  }

  get records (): Array<Record<string, unknown>> {
    return this.lines.map((line) => JSON.parse(line) as Record<string, unknown>)
  }
}

const createJsonLogger = (level: LogLevel = 'info') => {
  const output = new Output(false)
  return { output, logger: createLogger({ level, node: 'entry-1', output }) }
}

t.test('each line is one JSON object with flat fields when the output is not a terminal', async (t) => {
  const { output, logger } = createJsonLogger()
  logger.info('leader changed', { node: 'control-2', term: 7, voters: ['a', 'b'], err: new Error('lost'), none: undefined, ratio: NaN })
  const [record] = output.records
  t.match(record, { level: 'info', node: 'entry-1', message: 'leader changed' })
  t.match(record?.time, /^\d{4}-\d\d-\d\dT.*Z$/)
  t.same(record?.fields, { node: 'control-2', term: 7, voters: '["a","b"]', err: 'lost', none: null, ratio: 'NaN' })
})

t.test('fields named like consola options and repeated lines are written unchanged', async (t) => {
  const { output, logger } = createJsonLogger()
  for (let i = 0; i < 20; i++) logger.warn('refused', { message: 'inner', args: 'x' })
  t.equal(output.lines.length, 20)
  t.match(output.records[19], { message: 'refused', fields: { message: 'inner', args: 'x' } })
})

t.test('only lines of the configured level and more severe levels are written', async (t) => {
  const { output, logger } = createJsonLogger('warn')
  logger.error('e')
  logger.warn('w')
  logger.info('i')
  logger.debug('d')
  t.same(output.records.map(({ level }) => level), ['error', 'warn'])
})

t.test('output to a terminal is plain text unless JSON is requested', async (t) => {
  const output = new Output(true)
  createLogger({ level: 'info', node: 'entry-1', output }).info('ready', { port: 7001 })
  createLogger({ level: 'info', node: 'entry-1', output, json: true }).info('ready')
  t.match(output.lines[0], /^\S+ info entry-1 ready port=7001$/)
  t.match(JSON.parse(output.lines[1]!), { message: 'ready' })
})

t.test('an invariant violation is counted and logged, even when its replay value is cyclic', async (t) => {
  const { output, logger } = createJsonLogger()
  const metrics = new Metrics({ node: 'entry-1' })
  const stop = installInvariantReporting(logger, metrics)
  const cyclic: Record<string, unknown> = {}
  cyclic.self = cyclic
  t.throws(() => invariant(false, 'slots are owned once', cyclic), /invariant violated: slots are owned once/)
  t.throws(() => invariant(false, 'slots are owned once', { seed: 9 }))
  stop()
  t.throws(() => invariant(false, 'not reported'))
  t.equal(metrics.counter('invariant.violations'), 2)
  t.match(output.records[1], { level: 'error', fields: { invariant: 'slots are owned once', replay: '{"seed":9}' } })
  t.equal(output.lines.length, 2)
})
