// A control machine freezes for 5 s, and meanwhile another one loses its disk. All are back soon, but no leader is ever elected again.
import { BOUNDS, CONTROLS, pause, SetupError } from '../deployment.ts'
import { createConfig, createStep, toJobId } from '../messages.ts'
import { runCase } from '../run-case.ts'

const WORKERS = 6
const DISK_LOST_AFTER_MS = 2_000
/** Time for which the machine with the lost disk is down. */
const DISK_DOWN_MS = 1_000
const FREEZE_MS = 5_000
/** Time for which the deployment is asked again and again, after `RecoveryS`. */
const ASKING_MS = 40_000
const JOB = toJobId(1)
const LATER_JOB = toJobId(2)

await runCase(async ({ deployment, record, isDisturbed }) => {
  await deployment.start()
  for (let i = 0; i < WORKERS; i++) await deployment.addWorker(`i-${i}`, `r1-${i % 2}`, 2_500)
  await deployment.configure(createConfig(1))
  const submit = async (id: string): Promise<number> => (await deployment.call('POST', `/checks/${id}`, { body: { Spec: 'work', Steps: [createStep(2)] } })).status
  if (await submit(JOB) !== 200) throw new SetupError('the job was not accepted')
  await pause(5_000)

  const leader = deployment.findLeader()
  // The seeds are the first voters.
  const [frozen, wiped] = CONTROLS.slice(0, 3).filter((address) => address !== leader) as [string, string]
  record.write(`the control process at ${leader} leads`)
  if (isDisturbed) {
    deployment.signal(frozen, 'SIGSTOP')
    await pause(DISK_LOST_AFTER_MS)
    await deployment.kill(wiped)
    await pause(DISK_DOWN_MS)
    deployment.relaunchWithEmptyDisk(wiped)
    await pause(FREEZE_MS - DISK_LOST_AFTER_MS - DISK_DOWN_MS)
    deployment.signal(frozen, 'SIGCONT')
  }
  await pause(BOUNDS.recoveryMs)

  record.write('all machines have been back for RecoveryS')
  const endMs = Date.now() + ASKING_MS
  while (Date.now() < endMs) {
    const { status } = await deployment.call('GET', `/checks/${JOB}`)
    const isAccepted = await submit(LATER_JOB) === 200
    const config = await deployment.callControl('GET', '/ibisstair/Config.Get')
    record.write(`operator: Config.Get answered ${config.status} ${config.body?.Version === undefined ? '' : `version ${config.body.Version}`}`)
    if (status === 200 && isAccepted && config.body?.Version === 1) return null
    if (status === 410) return `LOST: job ${JOB}, which was accepted, is not known`
  }
  return `LOST: from RecoveryS after all machines are back, for ${ASKING_MS} ms, neither the accepted job ${JOB} nor the acknowledged configuration can be read, and no job is accepted`
})
