import { BOUNDS, createConfig, Deployment, runCase, sleep, toTarget, waitUntil, type CaseRecord, type Verdict } from '../lib-3/deployment.ts'
import { Link } from '../lib-3/links.ts'
import { Worker } from '../lib-3/worker.ts'

const JOB = '5c0e7a21d94b36f8'
/** Work of the task; it is still running when its worker leaves. */
const RUN_MS = 20_000
/** Time for which a draining worker serves on beyond `DrainMs`. */
const LINGER_MS = 1_000
/** Time from the beginning of the partition until the worker sends its message that it leaves. */
const CUT_BEFORE_LEAVE_MS = 300
/** A worker without an acknowledgement ends this long after its first message that it leaves. */
const END_AFTER_LEAVE_MS = 5_000

const play = async (record: CaseRecord, isTroubled: boolean): Promise<Verdict> => {
  const zones = ['z1', 'z2', 'z3', 'z4']
  const deployment = new Deployment({ zones, controls: zones, entries: ['z1', 'z2'], record })
  await deployment.start()
  if (!await deployment.order('/ibisstair/Config.Put', createConfig(7), 15_000)) throw new Error('the configuration was not accepted')
  const workers: Worker[] = []
  let isCut = false
  let overlap: string | null = null
  const checkOverlap = (): void => {
    const tasks = workers.flatMap(({ running }) => running)
    const twice = tasks.find((task, i) => tasks.indexOf(task) !== i)
    if (twice === undefined || overlap !== null) return
    overlap = twice
    record.write(`two runs of ${twice} at the same time, on workers that are up`)
  }
  // Calls of the system reach the leaving worker over one link; its announcements go over a link to each node.
  const calls = new Link({ listen: await deployment.createTarget(), target: await deployment.createTarget() })
  await calls.open()
  const announcements = new Map<string, Link>()
  const route = async (target: string): Promise<string> => {
    const link = announcements.get(target) ?? new Link({ listen: await deployment.createTarget(), target: toTarget(target) })
    if (!announcements.has(target)) await link.open()
    announcements.set(target, link)
    if (isCut) link.dropAnswers()
    return link.address
  }
  const leaving = new Worker({ id: 'i-1', zone: 'z1', ...calls.target, announced: calls.address, controls: deployment.controlTargets, route, runMs: RUN_MS, record, onChange: checkOverlap })
  workers.push(leaving)
  await leaving.start()
  if (!await waitUntil(async () => await deployment.submit(JOB, [{ Count: 1, Cpu: 500, MemMb: 256, Gpu: 1 }]), 10_000)) throw new Error('the job was not accepted')
  if (!await waitUntil(() => leaving.running.length === 1, 10_000)) throw new Error('the task did not start')
  const other = new Worker({ id: 'i-2', zone: 'z2', ...await deployment.createTarget(), controls: deployment.controlTargets, runMs: RUN_MS, record, onChange: checkOverlap })
  workers.push(other)
  await other.start()
  await sleep(500)
  if (!await leaving.drain()) throw new Error('the drain was not acknowledged')
  record.write('worker i-1 drains: acknowledged')
  await sleep(BOUNDS.DrainMs + LINGER_MS)
  // A heartbeat keeps the connection open over which the message that the worker leaves is sent.
  await leaving.drain()
  if (isTroubled) {
    record.write('worker i-1 is cut off one way: connections to it are refused, and nothing that is sent to it arrives')
    calls.refuse()
    isCut = true
    for (const link of announcements.values()) link.dropAnswers()
  }
  await sleep(CUT_BEFORE_LEAVE_MS)
  const left = leaving.leave()
  const hasAck = await Promise.race([left, sleep(END_AFTER_LEAVE_MS).then(() => false)])
  if (hasAck) leaving.end()
  await sleep(500)
  leaving.end()
  await sleep(3_000)
  other.end()
  for (const link of [calls, ...announcements.values()]) link.close()
  await deployment.stop()
  if (overlap !== null) return { type: 'broken', detail: `two runs of ${overlap} at the same time, on workers that are up` }
  return { type: 'held', detail: 'no task had two runs at the same time' }
}

await runCase(play)
