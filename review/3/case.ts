// A worker goes down and up while it is idle; its next life gets an order before its first heartbeat.
import { becomesTrue, pause, SetupError } from '../deployment.ts'
import { createConfig, createStep, toJobId } from '../messages.ts'
import { runCase } from '../run-case.ts'

const WORKERS = 9
const TASK_MS = 150
const DOWN_MS = 700
const RACK = 'r1-9'
const WARM_UP_JOB = toJobId(1)
const JOB = toJobId(2)
/** Arrives while the lease of the worker's new life is in force. */
const NEXT_JOB = toJobId(3)
const NEXT_JOB_AFTER_MS = 3_000

await runCase(async ({ deployment, record, isDisturbed }) => {
  await deployment.start()
  for (let i = 0; i < WORKERS; i++) await deployment.addWorker(`i-${i}`, `r1-${i % 2}`, TASK_MS)
  await deployment.configure(createConfig(1))
  const worker = await deployment.addWorker('i-9', RACK, TASK_MS)
  const submit = async (id: string): Promise<void> => {
    const { status } = await deployment.call('POST', `/checks/${id}`, { body: { Spec: 'work', Steps: [createStep(1, { DataRack: RACK })] } })
    if (status !== 200) throw new SetupError(`job ${id} was answered ${status}`)
  }
  const countRuns = (id: string): number => deployment.listStarts(id).length

  // The worker announces itself 0.5 s after its start and runs a first job.
  await pause(600)
  await submit(WARM_UP_JOB)
  if (!await becomesTrue(() => countRuns(WARM_UP_JOB) === 1, 2_000)) throw new SetupError('the first job did not reach the worker')
  await pause(TASK_MS + 300)

  if (isDisturbed) {
    record.write('worker i-9: down')
    worker.stop()
    await pause(DOWN_MS)
    await worker.start()
    record.write('worker i-9: up, in a new life under the same id')
  }
  await submit(JOB)
  await pause(NEXT_JOB_AFTER_MS)
  await submit(NEXT_JOB)
  await pause(5_000)
  const { state } = await deployment.call('GET', `/checks/${JOB}`)
  record.write(`task of job ${JOB} started ${countRuns(JOB)} times; the job is ${state}`)
  if (countRuns(JOB) === 0) throw new SetupError('the job did not reach the worker')
  return deployment.findRepeatedRun()
})
