import { pause, type Deployment } from './deployment.ts'

/** Time for which a task's turn has come while nothing of it runs. */
const STALL_MS = 3_000
const OBSERVATION_INTERVAL_MS = 50
const FINAL_STATES = ['completed', 'failed', 'canceled']

/**
 * Watches a job whose tasks each need the same share of a worker, and returns how it breaks LOST if at every moment tasks
 * of it wait, there is room for twice as many, and under half of the fleet is in use; null otherwise.
 */
export const observeStall = async (deployment: Deployment, path: string, job: string, tasks: number, tasksPerWorker: number): Promise<string | null> => {
  const { state } = await deployment.call('GET', path)
  if (FINAL_STATES.includes(state)) return null
  const startedBefore = deployment.listStarts(job).length
  const room = deployment.workers.filter((worker) => deployment.isUp(worker)).length * tasksPerWorker
  // Only tasks of this job and of the same size run in these cases.
  const countRunning = (): number => deployment.workers.reduce((sum, { running }) => sum + running.length, 0)
  for (let waitedMs = 0; waitedMs < STALL_MS; waitedMs += OBSERVATION_INTERVAL_MS) {
    const waiting = tasks - deployment.listRunning(job).length
    if (waiting === 0 || room - countRunning() < 2 * waiting || 2 * countRunning() >= room) return null
    await pause(OBSERVATION_INTERVAL_MS)
  }
  if (deployment.listStarts(job).length > startedBefore) return null
  const waiting = tasks - deployment.listRunning(job).length
  return `LOST: job ${job} is ${state}; ${waiting} of its ${tasks} tasks don't run for ${STALL_MS} ms, while there is room for ${room - countRunning()} of them`
}
