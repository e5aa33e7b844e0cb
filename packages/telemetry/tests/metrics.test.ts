import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import t, { type Test } from 'tap'
import { ManualTimerService } from '@ibisstair/timers'
import { LatencyHistogram, Metrics, METRICS_PUBLISH_PERIOD_MS } from '../src/index.ts'

const openServer = async (t: Test) => {
  const socket = createSocket('udp4')
  socket.bind(0, '127.0.0.1')
  await once(socket, 'listening')
  const lines: string[] = []
  const waiting: Array<() => void> = []
  socket.on('message', (data) => {
    lines.push(...data.toString().split('\n').filter(Boolean))
    for (const wake of waiting.splice(0)) wake()
  })
  t.teardown(() => socket.close())
  const waitFor = async (text: string): Promise<void> => {
    while (!lines.some((line) => line.includes(text))) await new Promise<void>((resolve) => { waiting.push(resolve) })
  }
  return { lines, waitFor, server: { address: '127.0.0.1', port: socket.address().port, prefix: 'ibis' } }
}

t.test('values can be read locally when no metrics server is configured', async (t) => {
  const metrics = new Metrics({ node: 'entry-1' })
  metrics.increment('requests.accepted')
  metrics.increment('requests.accepted', 4)
  metrics.gauge('queue.length', 7)
  for (let ms = 1; ms <= 100; ms++) metrics.timing('requests.wait', ms)
  const { counters, gauges, timings } = metrics.read()
  t.equal(counters['requests.accepted'], 5)
  t.equal(gauges['queue.length'], 7)
  t.match(timings['requests.wait'], { count: 100, p50: 50, p99: 99, max: 100 })
  await metrics.close()
})

t.test('metric names beyond the limit or with invalid characters are dropped and counted', async (t) => {
  const metrics = new Metrics({ node: 'entry-1' })
  for (let i = 0; i < 600; i++) metrics.increment(`name-${i}`)
  metrics.increment('name-1')
  metrics.gauge('wrong:1|c', 1)
  for (let i = 0; i < 70; i++) metrics.timing(`timing-${i}`, 1)
  const { counters, gauges, timings } = metrics.read()
  t.equal(Object.keys(counters).filter((name) => name.startsWith('name-')).length, 512)
  t.equal(counters['name-1'], 2)
  t.same(gauges, {})
  t.equal(Object.keys(timings).length, 64)
  t.equal(counters['metrics.dropped-names'], 88 + 1 + 6)
})

t.test('each period publishes the changes of counters, the gauges and the timings', async (t) => {
  const { lines, waitFor, server } = await openServer(t)
  const timers = new ManualTimerService()
  const metrics = new Metrics({ node: 'entry-1', server, timers })
  for (let i = 0; i < 1_000; i++) metrics.increment('requests.accepted')
  metrics.gauge('queue.length', 7)
  metrics.timing('requests.wait', 12)
  timers.advance(METRICS_PUBLISH_PERIOD_MS)
  metrics.increment('requests.accepted', 2)
  timers.advance(METRICS_PUBLISH_PERIOD_MS)
  await metrics.close()
  await waitFor('requests.accepted:2|c')
  t.same(lines.filter((line) => line.includes('requests.accepted')), [
    'ibis.requests.accepted:1000|c|#node:entry-1', 'ibis.requests.accepted:2|c|#node:entry-1'
  ])
  t.ok(lines.includes('ibis.queue.length:7|g|#node:entry-1'))
  t.equal(lines.filter((line) => line.startsWith('ibis.requests.wait.p99:12|g')).length, 1)
})

t.test('an unreachable metrics server affects neither callers nor the shutdown', async (t) => {
  const closedSocket = createSocket('udp4')
  closedSocket.bind(0, '127.0.0.1')
  await once(closedSocket, 'listening')
  const { port } = closedSocket.address()
  closedSocket.close()
  const timers = new ManualTimerService()
  const metrics = new Metrics({ node: 'entry-1', server: { address: '127.0.0.1', port, prefix: 'ibis' }, timers })
  for (let i = 0; i < 50; i++) {
    metrics.increment('requests.accepted')
    timers.advance(METRICS_PUBLISH_PERIOD_MS)
  }
  await metrics.close()
  await metrics.close()
  t.equal(metrics.counter('requests.accepted'), 50)
})

t.test('a failed send is counted', async (t) => {
  // The socket rejects 255.255.255.255, because broadcast is not enabled on it.
  const timers = new ManualTimerService()
  const metrics = new Metrics({ node: 'entry-1', server: { address: '255.255.255.255', port: 9, prefix: 'ibis' }, timers })
  metrics.increment('requests.accepted')
  timers.advance(METRICS_PUBLISH_PERIOD_MS)
  await metrics.close()
  t.ok(metrics.read().counters['metrics.send-failures']! > 0)
})

t.test('a histogram keeps quantiles within one percent, clamps and merges', async (t) => {
  const low = new LatencyHistogram()
  const high = new LatencyHistogram()
  t.same(low.summarise(), { count: 0, mean: 0, p50: 0, p90: 0, p99: 0, max: 0 })
  for (let ms = 1; ms <= 500; ms++) low.record(ms)
  for (let ms = 501; ms <= 1_000; ms++) high.record(ms)
  low.add(high)
  t.equal(low.count, 1_000)
  t.ok(Math.abs(low.quantile(0.9) - 900) <= 9)
  low.record(-5)
  low.record(NaN)
  low.record(Infinity)
  t.equal(low.count, 1_002)
  t.ok(low.summarise().max >= 86_400_000)
  low.reset()
  t.equal(low.count, 0)
})
