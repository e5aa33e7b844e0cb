import { BOUNDS, createConfig, Deployment, runCase, sleep, waitUntil, type CaseRecord, type Verdict } from '../lib-3/deployment.ts'
import { Worker } from '../lib-3/worker.ts'

/** Time between the end of the removed process and the loss of the other disk. */
const GAP_MS = Number(process.env.GAP_MS ?? 1_000)
/** For this long the operator and the clients ask again once `RecoveryS` has passed. */
const QUESTIONS_MS = 20_000
const JOB = '5c0e7a21d94b36f8'

/** Time from the loss of a machine until its successor starts, and for which the leaders are replaced one after the other. */
const SUCCESSOR_MS = Number(process.env.SUCCESSOR_MS ?? 1_000)
const REPLACEMENTS_MS = 60_000

/** Removes one leader after the other without SIGTERM, each once the successor of the last one has had `CatchUpS`. */
const replaceLeaders = async (deployment: Deployment, record: CaseRecord): Promise<void> => {
  const endMs = performance.now() + REPLACEMENTS_MS
  while (performance.now() < endMs) {
    const leader = deployment.findLeader()!
    if (!deployment.isRunning(leader)) return record.write('no process leads')
    await deployment.end(leader, 'SIGKILL')
    await sleep(SUCCESSOR_MS)
    const successor = deployment.addControl(leader.zone)
    record.write(`${leader.address}, which led, is gone for good; ${successor.address} has come in its place`)
    await sleep(BOUNDS.CatchUpS * 1_000 + 100)
  }
}

/** Replaces a machine as planned, and wipes the disk of another one right after. */
const replaceAndWipe = async (deployment: Deployment, record: CaseRecord): Promise<void> => {
  const leader = deployment.findLeader()
  const [removed, wiped] = deployment.controls.slice(0, 3).filter((machine) => machine !== leader)
  if (!leader || !removed || !wiped) throw new Error('no leader among the seeds')
  const successor = deployment.addControl(removed.zone)
  record.write(`${leader.address} leads; ${successor.address} is new, ${removed.address} is to be removed`)
  await sleep(BOUNDS.CatchUpS * 1_000 + 1_000)
  await deployment.end(removed, 'SIGTERM')
  record.write(`${removed.address} was stopped with SIGTERM, has ended, and is gone for good`)
  await sleep(GAP_MS)
  await deployment.end(wiped, 'SIGKILL')
  deployment.wipe(wiped)
  deployment.launch(wiped, false)
  record.write(`${wiped.address} has lost its disk and is back with an empty one`)
}

const play = async (record: CaseRecord, isTroubled: boolean): Promise<Verdict> => {
  const zones = ['z1', 'z2', 'z3', 'z4']
  const deployment = new Deployment({ zones, controls: zones, entries: ['z1', 'z2'], record })
  await deployment.start()
  if (!await deployment.order('/ibisstair/Config.Put', createConfig(7), 15_000)) throw new Error('the configuration was not accepted')
  const worker = new Worker({ id: 'i-1', zone: 'z1', ...await deployment.createTarget(), controls: deployment.controlTargets, runMs: 2_500, record })
  await worker.start()
  if (!await waitUntil(async () => await deployment.submit(JOB, [{ Count: 2, Cpu: 500, MemMb: 256, Gpu: 1 }]), 10_000)) throw new Error('the job was not accepted')
  if (isTroubled && process.env.VARIANT === 'leaders') await replaceLeaders(deployment, record)
  else if (isTroubled) await replaceAndWipe(deployment, record)
  else await sleep(BOUNDS.CatchUpS * 1_000 + 1_000)
  const targets = deployment.controlTargets.filter((_, i) => deployment.isRunning(deployment.controls[i]!))
  await sleep(BOUNDS.RecoveryS * 1_000)
  let version: number | string = 'no answer'
  const isRead = await waitUntil(async () => {
    for (const target of targets) {
      version = await deployment.readConfig(target)
      record.write(`operator GET Config.Get at ${target}: ${version}`)
      if (typeof version === 'number') return true
    }
    await sleep(1_000)
    return false
  }, QUESTIONS_MS)
  const state = await deployment.getState(JOB, deployment.entryTargets[0])
  for (const machine of [...deployment.controls, ...deployment.entries]) record.write(`${machine.role} ${machine.address} ${deployment.isRunning(machine) ? 'runs' : 'does not run'}`)
  worker.end()
  await deployment.stop()
  if (isRead && version === 7 && state === 'completed') return { type: 'held', detail: `version ${version} is read back, and the accepted job is ${state}` }
  return { type: 'broken', detail: `${BOUNDS.RecoveryS} s after all machines were back, and for ${QUESTIONS_MS / 1_000} s more, the configuration read back is: ${version}; the state of the accepted job is: ${state}` }
}

await runCase(play)
