import t from 'tap'
import { buildTimeline, formatLine, parseLine, type LogLine } from '../src/timeline.ts'

const line = (second: number, message: string, fields: object): string =>
  JSON.stringify({ time: `2026-02-04T21:14:0${second}.000Z`, level: 'info', node: 'c1', message, fields })

const log = [
  line(3, 'run ended', { task: 'ab.0.0.1', run: 1, outcome: 'done' }),
  line(1, 'job accepted', { job: 'ab', tasks: 2 }),
  line(2, 'begins to lead', { term: 3 }),
  line(2, 'job accepted', { job: 'abc' }),
  line(2, 'run ended', { task: 'abc.0.0.1' }),
  line(0, 'begins to lead', { term: 2 }),
  ` 12.3 core-1 ${line(0, 'request refused', { path: '/checks/ab', kind: 'outcome-unknown' })}`
].map(parseLine).filter((parsed): parsed is LogLine => parsed !== null)

t.test('the timeline holds the lines of one job in order, also when a log collector has added a prefix', async (t) => {
  t.same(buildTimeline(log, 'ab', false).map(({ message }) => message), ['request refused', 'job accepted', 'run ended'])
})

t.test('with changes, the timeline also holds the changes in the deployment during the job', async (t) => {
  t.same(buildTimeline(log, 'ab', true).map(({ message }) => message), ['request refused', 'begins to lead', 'job accepted', 'begins to lead', 'run ended'])
})

t.test('text that is not a log line is ignored', async (t) => {
  t.equal(parseLine('Node.js v20'), null)
  t.equal(parseLine('{"time": broken'), null)
  t.same(buildTimeline(log, 'zz', true), [])
  t.match(formatLine(log[0]!), /run ended task=ab.0.0.1 run=1 outcome=done/)
})
