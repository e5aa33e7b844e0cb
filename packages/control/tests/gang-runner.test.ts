import t from 'tap'
import { asId, type EndpointId, type JobId, type TaskId } from '@ibisstair/common'
import type { CallResult, TaskRequest } from '@ibisstair/endpoint-tasks'
import { Gang, type GangSpec } from '@ibisstair/gang'
import type { JobRequest } from '@ibisstair/model'
import { ManualTimerService, type TimerService } from '@ibisstair/timers'
import { GangRunner } from '../src/gang-runner.ts'
import type { EndpointLink } from '../src/link.ts'

const EARLY_MS = 1.5

const spec: GangSpec = {
  jobId: asId<JobId>('job-1'),
  attempt: 1,
  request: { idempotent: true, shape: { tasks: 1, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'any' }, deadlineMs: 5_000, payload: null } as unknown as JobRequest,
  assignments: [{ index: 0, taskId: asId<TaskId>('job-1.1.0'), endpointId: asId<EndpointId>('worker-1'), incarnation: 1 }],
  leaseMs: 8_000,
  reservationMs: 2_000,
  checkpointGraceMs: 2_000,
  callMs: 1_000
}

// Guards against a stuck gang: a system timer that fires a millisecond early must not use up the only
// wake-up that the gang requests.
t.test('a gang whose timer fires early still sends further calls after a start without an answer', async (t) => {
  const manual = new ManualTimerService()
  const timers: TimerService = {
    now: () => manual.now(),
    wallClock: () => manual.wallClock(),
    subscribe: (delayMs, fn) => manual.subscribe(delayMs > 2 * EARLY_MS ? delayMs - EARLY_MS : delayMs, fn),
    every: (periodMs, fn) => manual.every(periodMs, fn),
    delay: (delayMs) => manual.delay(delayMs)
  }
  const operations: string[] = []
  const operate = async ({ operation }: TaskRequest): Promise<CallResult> => {
    operations.push(operation)
    return { status: 'unknown' }
  }
  const runner = new GangRunner(timers, {
    getLink: () => ({ operate }) as unknown as EndpointLink,
    recordStart: () => {},
    handleStarted: () => {},
    handleNotStarted: () => {},
    handleResult: () => {}
  })
  runner.add(Gang.create(spec))
  for (let i = 0; i < 300; i += 1) {
    manual.advance(10)
    await Promise.resolve()
    await Promise.resolve()
  }
  t.equal(operations[0], 'run')
  t.ok(operations.length > 1, `calls: ${operations.join(', ')}`)
})
