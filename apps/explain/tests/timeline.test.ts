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

t.test('the timeline tells what work of the job waits for, and with changes which endpoints were out of use', async (t) => {
  const lines = [
    line(1, 'job accepted', { job: 'cd', tasks: 2 }),
    line(2, 'endpoints out of use', { reason: 'suspect', count: 1, endpoints: 'w1' }),
    line(3, 'work waits', { job: 'cd', work: 'cd.0.0', reason: 'endpoints-out-of-use', waitedMs: 2100, usable: '{"endpoints":1}' }),
    line(3, 'work waits', { job: 'cde', work: 'cde.0.0', reason: 'no-capacity' }),
    line(4, 'run unsettled', { task: 'cd.0.0.1', run: 1, cause: 'unconfirmed' }),
    line(5, 'endpoints back in use', { reason: 'suspect', count: 1, endpoints: 'w1' }),
    line(6, 'run ordered', { task: 'cd.0.0.0', run: 1 })
  ].map(parseLine).filter((parsed): parsed is LogLine => parsed !== null)
  const timeline = buildTimeline(lines, 'cd', false)
  t.same(timeline.map(({ message }) => message), ['job accepted', 'work waits', 'run unsettled', 'run ordered'])
  t.match(formatLine(timeline[1]!), 'work waits job=cd work=cd.0.0 reason=endpoints-out-of-use waitedMs=2100 usable={"endpoints":1}')
  t.same(buildTimeline(lines, 'cd', true).map(({ message }) => message), ['job accepted', 'endpoints out of use', 'work waits', 'run unsettled', 'endpoints back in use', 'run ordered'])
})

t.test('text that is not a log line is ignored', async (t) => {
  t.equal(parseLine('Node.js v20'), null)
  t.equal(parseLine('{"time": broken'), null)
  t.same(buildTimeline(log, 'zz', true), [])
  t.match(formatLine(log[0]!), /run ended task=ab.0.0.1 run=1 outcome=done/)
})
