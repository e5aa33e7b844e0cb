import { createRoute } from '../support-2/deployment.ts'
import { callJson, delay, waitUntil } from '../support-2/http.ts'
import { runCase } from '../support-2/run-case.ts'
import type { Behaviour } from '../support-2/worker.ts'

// A heartbeat of another writer, for a service that no configuration names, ends a sound worker: its task starts a second time.

const JOB = '/proofs/00000000000000d1'
const TASK = '00000000000000d1.0.0.0'
const FOREIGN_ID = 'backup-agent-1'
const FOREIGN_SERVICE = 'backups'

const createJob = (behaviour: Behaviour): object =>
  ({ Spec: JSON.stringify(behaviour), Steps: [{ Count: 1, Cpu: 1_000, MemMb: 1_000, Gpu: 2, EstimateMs: behaviour.runMs }] })

await runCase(6, async ({ record, deployment, hasTrouble }) => {
  await deployment.start([createRoute('previews', 0), createRoute('proofs', 1)])
  await deployment.addWorker('i-first', ['b', 'r1-1'])
  await deployment.addWorker('i-second', ['b', 'r1-2'])
  await deployment.submit(JOB, createJob({ runMs: 6_000 }))
  await waitUntil('the task has begun', () => record.list('start', { task: TASK }).length === 1)
  await delay(1_500)

  const worker = deployment.workers.find(({ running }) => running.includes(TASK))!
  if (hasTrouble) {
    const heartbeat = { Service: FOREIGN_SERVICE, Address: worker.address, Zone: 'z1', Version: 'v3', Slots: 1, State: 'ready', ColdLeftMs: 0, Capacity: { Cpu: 1_000, MemMb: 1_000, Gpu: 0 }, Labels: ['x', 'r1-1'], ClockMs: 10, Seq: 1, born: Date.now() }
    const reply = await callJson(deployment.controls[1]!, 'POST', `/ibisstair/Instances.Heartbeat/${FOREIGN_ID}`, heartbeat, {}, 1_000).catch(() => null)
    record.add('another writer', 'heartbeat', { ...heartbeat, status: reply?.status ?? null })
  }
  await waitUntil('the job has ended', async () => ['completed', 'failed'].includes(await deployment.readState(JOB)), 20_000, 250).catch(() => {})

  const starts = record.list('start', { task: TASK })
  const overlap = starts.find((start) => {
    const earlier = starts.find(({ atMs }) => atMs < start.atMs)
    const end = earlier && record.list('end', { task: TASK, run: earlier.run }).find(({ who }) => who === earlier.who)
    return earlier && !(end && end.atMs <= start.atMs)
  })
  record.add('script', 'result', { starts: starts.length })
  return overlap ? `run ${overlap.run} began on ${overlap.who} while the run before it was at work on a sound worker` : null
})
