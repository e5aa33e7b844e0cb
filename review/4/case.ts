// The answers to an entry are cut off while a key is withdrawn: a job that was accepted is answered 401.
import { ENTRIES, KEY, pause } from '../deployment.ts'
import { createConfig, createStep, toJobId } from '../messages.ts'
import { runCase } from '../run-case.ts'

const WORKERS = 6
const JOBS = 10
const JOB_INTERVAL_MS = 100
const OTHER_KEY = 'other-key-of-clinics'
const ENTRY = ENTRIES[0]!

await runCase(async ({ deployment, record, isDisturbed }) => {
  await deployment.start({ isProxied: true })
  for (let i = 0; i < WORKERS; i++) await deployment.addWorker(`i-${i}`, `r1-${i % 2}`, 2_500)
  await deployment.configure(createConfig(1, { keys: [KEY, OTHER_KEY] }))
  const submit = async (id: string): Promise<number> =>
    (await deployment.call('POST', `/checks/${id}`, { body: { Spec: 'work', Steps: [createStep(1)] }, entry: ENTRY })).status
  await submit(toJobId(0))

  if (isDisturbed) {
    record.write(`links: what control processes send to the entry ${ENTRY} is lost from now on`)
    for (const proxy of deployment.controlProxies.values()) proxy.cut(ENTRY, 'answers')
    await pause(1_000)
  }
  const ids = Array.from({ length: JOBS }, (_, index) => toJobId(index + 1))
  const answers: Array<Promise<number>> = []
  for (const id of ids) {
    answers.push(submit(id))
    await pause(JOB_INTERVAL_MS)
  }
  await deployment.putConfig(createConfig(2, { keys: [OTHER_KEY] }))
  if (isDisturbed) {
    record.write(`links: the entry ${ENTRY} hears the control processes again`)
    for (const proxy of deployment.controlProxies.values()) proxy.join(ENTRY, 'answers')
  }
  const statuses = await Promise.all(answers)
  await pause(6_000)
  const started = new Set(deployment.workers.flatMap(({ starts }) => starts.map(({ task }) => task.split('.')[0])))
  const broken = ids.filter((id, index) => [401, 403, 404, 429, 503].includes(statuses[index]!) && started.has(id))
  ids.forEach((id, index) => record.write(`job ${id}: one attempt, answered ${statuses[index]}; ${started.has(id) ? 'it ran' : 'it did not run'}`))
  return broken.length === 0 ? null : `REFUSED: ${broken.length} jobs ran though their only attempt was rejected: ${broken.join()}`
})
