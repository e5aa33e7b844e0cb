// Measures the latency that an entry and a control process add to a request that finds free slots,
// compared with direct calls to an endpoint in the same run. Uses real processes on loopback.
//   npm run bench:path
import { Agent, request as httpRequest } from 'node:http'
import { fileURLToPath } from 'node:url'
import { asId, type CallerId, type CustomerId, type DomainId, type JobId, type KindOfWork, type RequestKey, type TaskId } from '@ibisstair/common'
import { EndpointClient } from '@ibisstair/endpoint-client'
import type { EndpointInfo, JobMetadata } from '@ibisstair/model'
import { LatencyHistogram } from '@ibisstair/telemetry'
import { SystemTimerService } from '@ibisstair/timers'
import { call, type Shape } from './callers.ts'
import { Deployment, type Address } from './deployment.ts'
import { FakeEndpoint } from './fake-endpoint.ts'

const FOLDER = `${fileURLToPath(new URL('..', import.meta.url))}.demo/bench-path`
const DOMAINS = ['cr-sj', 'cr-al']
const WORKERS = 8
const REQUESTS = 600
const WARM_UP_REQUESTS = 100
const CONCURRENCY = [1, 16]
const ROUNDS = 3

const timers = new SystemTimerService()
const single: Shape = { tasks: 1, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'any' }
const pair: Shape = { ...single, tasks: 2 }

const waitUntil = async (description: string, condition: () => Promise<boolean>): Promise<void> => {
  for (let i = 0; i < 300; i++) {
    if (await condition().catch(() => false)) return
    await timers.delay(100)
  }
  throw new Error(`timed out: ${description}`)
}

const agent = new Agent({ keepAlive: true, maxSockets: 64 })
let nextKey = 1

const post = (target: Address, body: object): Promise<number> => new Promise((resolve, reject) => {
  const text = JSON.stringify(body)
  const req = httpRequest({
    host: target.address, port: target.port, method: 'POST', path: '/v1/requests', agent, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }
  }, (res) => {
    res.resume()
    res.on('end', () => resolve(res.statusCode ?? 0))
  })
  req.on('error', reject)
  req.end(text)
})

const submit = async (target: Address, kind: string, shape: Shape): Promise<void> => {
  const status = await post(target, { key: `path-${nextKey++}`, customer: 'clinics', caller: 'bench', kind, homeDomain: 'cr-sj', resend: false, shape, payload: { runMs: 0 } })
  if (status !== 200) throw new Error(`status ${status}`)
}

/** Runs tasks at an endpoint without a scheduler: starts the task, waits for its finish event and acknowledges it. */
class DirectCaller {
  readonly #client: EndpointClient
  readonly #incarnation: number
  readonly #finished = new Set<string>()
  #cursor = 0
  #polling: Promise<void> | null = null

  constructor (endpoint: EndpointInfo) {
    this.#client = new EndpointClient(endpoint, timers)
    this.#incarnation = endpoint.incarnation
  }

  async run (): Promise<void> {
    const key = `direct-${nextKey++}`
    const taskId = asId<TaskId>(key)
    const { incarnation } = this
    const request: JobMetadata = {
      key: asId<RequestKey>(key), customer: asId<CustomerId>('clinics'), caller: asId<CallerId>('bench'), kind: asId<KindOfWork>('check'), urgency: 'urgent', shape: single, deadlineMs: 1000, expectedRunMs: 1, idempotent: true
    }
    const result = await this.#client.operate({ operation: 'run', taskId, incarnation, grant: { jobId: asId<JobId>(key), attempt: 1, index: 0, reservationMs: 2000, leaseMs: 8000, request }, payload: { runMs: 0 } }, 1000)
    if (result.status !== 'ok') throw new Error(JSON.stringify(result))
    while (!this.#finished.delete(key)) await this.#poll()
    await this.#client.operate({ operation: 'ack', taskId, incarnation }, 1000)
  }

  get incarnation (): number {
    return this.#incarnation
  }

  close (): void {
    this.#client.close()
  }

  #poll (): Promise<void> {
    this.#polling ??= this.#client.pollEvents(this.#cursor, 1000).then(({ cursor, finished }) => {
      this.#cursor = cursor
      for (const { taskId } of finished) this.#finished.add(taskId)
      this.#polling = null
    })
    return this.#polling
  }
}

const measure = async (name: string, concurrency: number, runOnce: () => Promise<void>): Promise<void> => {
  for (let i = 0; i < WARM_UP_REQUESTS; i++) await runOnce()
  for (let round = 0; round < ROUNDS; round++) {
    const times = new LatencyHistogram()
    let remaining = REQUESTS
    const began = timers.now()
    await Promise.all(Array.from({ length: concurrency }, async () => {
      while (remaining-- > 0) {
        const start = timers.now()
        await runOnce()
        // In microseconds, because the histogram records whole numbers.
        times.record((timers.now() - start) * 1000)
      }
    }))
    const seconds = (timers.now() - began) / 1000
    const { p50, p99 } = times.summarise()
    console.log(`| ${name} | ${concurrency} | ${(p50 / 1000).toFixed(2)} | ${(p99 / 1000).toFixed(2)} | ${Math.round(REQUESTS / seconds)} |`)
  }
}

const configure = async (deployment: Deployment): Promise<void> => {
  const kind = (name: string, idempotent: boolean): object => ({ op: 'put-kind', kind: { kind: name, urgency: 'urgent', idempotent, expectedRunMs: 1, objective: { startWithinMs: 5_000, target: 0.99 } } })
  const delta = [
    ...DOMAINS.map((id) => ({ op: 'put-domain', domain: { id, region: 'cr-central', racks: [{ id: 'rack-1', workers: WORKERS, acceleratorsPerWorker: 8, slotsPerWorker: 8 }] } })),
    kind('check', true),
    kind('pickup', false),
    { op: 'put-customer', customer: { id: 'clinics', priority: 1, guarantees: [], maxQueued: 1000 } }
  ]
  const operator = { authorization: `Bearer ${deployment.secret}` }
  const { operators } = deployment.entries[0]!
  await waitUntil('the configuration is accepted', async () => (await call(operators, 'POST', '/v1/config/changes', { changeId: 'set-up', expectedVersion: 0, delta }, operator, 3_000)).status === 200)
  await waitUntil('the workers are scheduled', async () => {
    const { body } = await call(operators, 'GET', '/v1/status', undefined, operator, 3_000)
    return (body as unknown as { controls: Array<{ session?: { totalAccelerators: number } | null }> }).controls.some(({ session }) => session?.totalAccelerators === WORKERS * 8)
  })
}

const deployment = await Deployment.create({ folder: FOLDER, name: 'bench', domains: DOMAINS, entriesPerDomain: 1 })
const endpoints = Array.from({ length: WORKERS }, (_, i) => new FakeEndpoint({ id: `worker-${i}`, domain: 'cr-sj', rack: 'rack-1', entries: [deployment.entries[0]!.endpoints] }))
try {
  await deployment.start()
  for (const endpoint of endpoints) await endpoint.start()
  await configure(deployment)
  const entry = deployment.entries.find(({ domain }) => domain === 'cr-sj')!.callers
  const direct = new DirectCaller({ ...endpoints[0]!.info, domain: asId<DomainId>('cr-sj') })
  console.log(`${REQUESTS} requests a row after ${WARM_UP_REQUESTS} to warm up, ${ROUNDS} rounds, tasks of 0 ms, ${WORKERS} workers`)
  console.log('| path | callers at a time | p50 ms | p99 ms | requests/s |\n|---|---|---|---|---|')
  for (const concurrency of CONCURRENCY) {
    await measure('direct: run, event, ack at the endpoint', Math.min(concurrency, 8), () => direct.run())
    await measure('single task, idempotent', concurrency, () => submit(entry, 'check', single))
    await measure('single task, non-idempotent (start and outcome recorded)', concurrency, () => submit(entry, 'pickup', single))
    await measure('gang of two, idempotent', concurrency, () => submit(entry, 'check', pair))
  }
  direct.close()
} finally {
  for (const endpoint of endpoints) endpoint.kill()
  await deployment.stop()
}
process.exit()
