// A worker that is taken away gets no answer to its message that it leaves, and runs on for some seconds.
import { becomesTrue, DRAINING_MS, pause, SetupError } from '../deployment.ts'
import { createConfig, createStep, toJobId } from '../messages.ts'
import { runCase } from '../run-case.ts'

const WORKERS = 15
const TASK_MS = 12_000
const RACK = 'r1-9'
const JOB = toJobId(1)
const CUT_BEFORE_LEAVING_MS = 500

await runCase(async ({ deployment, record, isDisturbed }) => {
  await deployment.start()
  for (let i = 0; i < WORKERS; i++) await deployment.addWorker(`i-${i}`, `r1-${i % 3}`, TASK_MS)
  const leaving = await deployment.addWorker('i-leaving', RACK, TASK_MS, { isProxied: true })
  await deployment.configure(createConfig(1))
  await deployment.call('POST', `/checks/${JOB}`, { body: { Spec: 'work', Steps: [createStep(1, { DataRack: RACK, EstimateMs: TASK_MS })] } })
  if (!await becomesTrue(() => leaving.running.length === 1, 3_000)) throw new SetupError('the task did not start on the worker')

  await deployment.drainWorker(leaving)
  await pause(DRAINING_MS - CUT_BEFORE_LEAVING_MS)
  if (isDisturbed) deployment.cutToWorker(leaving)
  await pause(CUT_BEFORE_LEAVING_MS)
  let violation: string | null = null
  const isOver = deployment.endWorker(leaving)
  while (!await Promise.race([isOver.then(() => true), pause(20).then(() => false)])) violation ??= deployment.findParallelRuns(JOB)
  await pause(1_000)
  record.write(`starts: ${deployment.listStarts(JOB).map(({ worker, run }) => `run ${run} on ${worker}`).join(', ')}`)
  return violation
})
