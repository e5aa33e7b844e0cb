import { createRoute } from '../support-2/deployment.ts'
import { delay, waitUntil } from '../support-2/http.ts'
import { runCase } from '../support-2/run-case.ts'
import type { Behaviour } from '../support-2/worker.ts'

// A job that waits when its queue is sent to another service never runs once the last worker of the old service has left.

const JOB = '/proofs/00000000000000e1'
const FILLER = '/previews/00000000000000e2'
const NEW_SERVICE_WORKERS = 11
const FILLER_MS = 4_000
/** `finish_s`, after which jobs are asked for. */
const FINISH_MS = 14_000

const createJob = (behaviour: Behaviour): object =>
  ({ Spec: JSON.stringify(behaviour), Steps: [{ Count: 1, Cpu: 1_000, MemMb: 1_000, Gpu: 8, EstimateMs: behaviour.runMs }] })

await runCase(8, async ({ record, deployment, hasTrouble }) => {
  const services = ['app', 'app-next']
  await deployment.start([createRoute('previews', 0), createRoute('proofs', 1)], services)
  const old = await deployment.addWorker('i-old', ['b', 'r1-1'])
  for (let number = 1; number <= NEW_SERVICE_WORKERS; number++) await deployment.addWorker(`i-new-${number}`, ['b', `r2-${number}`], 'app-next')
  await deployment.submit(FILLER, createJob({ runMs: FILLER_MS }))
  await waitUntil('the worker of the old service is busy', () => old.running.length > 0)
  await deployment.submit(JOB, createJob({ runMs: 500 }))

  if (hasTrouble) {
    await deployment.configure(2, [createRoute('previews', 0, 'app-next'), createRoute('proofs', 1, 'app-next')], services)
    await old.leave(async () => await waitUntil('nothing runs on the worker that leaves', () => old.running.length === 0))
  }
  await delay(FINISH_MS)
  const state = await deployment.readState(JOB)
  const starts = record.list('start', { task: `${JOB.slice(-16)}.0.0.0` }).length
  const busy = deployment.workers.filter(({ running }) => running.length > 0).length
  record.add('script', 'result', { state, starts, busyWorkers: busy })
  return starts === 0 && state !== 'completed' && busy === 0 ? `the job is ${state} and has never begun, with ${NEW_SERVICE_WORKERS} idle workers of the service of its queue` : null
})
