import { asId, type CustomerId } from '@ibisstair/common'
import { RandomSource } from '@ibisstair/timers'
import fc from 'fast-check'
import t from 'tap'
import { addJitter, decideAdmission, MIN_RETRY_DELAY_MS, OBJECTIVES_TO_WAIT, type AdmissionRequest, type CustomerBacklog, type ServiceBacklog } from '../src/index.ts'

const ACCELERATORS = 100
const OBJECTIVE_MS = 1_000
const LIMIT_MS = OBJECTIVES_TO_WAIT * OBJECTIVE_MS
const STEP_MS = 50

const customer = (name: string): CustomerId => asId<CustomerId>(name)
const createRequest = (overrides: Partial<AdmissionRequest> = {}): AdmissionRequest =>
  ({ customer: customer('a'), priority: 1, accelerators: 1, objectiveMs: OBJECTIVE_MS, guaranteedAccelerators: 0, isWithinGuarantee: false, ...overrides })
const createEntry = (name: string, waitingAcceleratorMs: number, overrides: Partial<CustomerBacklog> = {}): CustomerBacklog =>
  ({ customer: customer(name), priority: 1, waitingAcceleratorMs, tooLateAcceleratorMs: 0, usedAccelerators: 0, ...overrides })
const createBacklog = (customers: readonly CustomerBacklog[], overrides: Partial<ServiceBacklog> = {}): ServiceBacklog =>
  ({ accelerators: ACCELERATORS, customers, hasFairShares: false, ...overrides })
const reasonOf = (request: AdmissionRequest, backlog: ServiceBacklog): string => {
  const decision = decideAdmission(request, backlog)
  return decision.type === 'admit' ? 'admit' : decision.reason
}

interface WaitingJob { readonly by: string, readonly acceptedAtMs: number, remainingMs: number }
interface Submission { readonly by: string, readonly workMs: number, atMs: number }

/** Replays submissions on virtual time: the service works on the oldest jobs, and rejected callers return after their delay. */
const replay = (submissions: readonly Submission[], untilMs: number, { isOn = true } = {}) => {
  const random = new RandomSource(7)
  const pending = submissions.map((submission) => ({ ...submission }))
  const queue: WaitingJob[] = []
  const waits: Array<{ readonly by: string, readonly waitMs: number }> = []
  const rejections: Array<{ readonly by: string, readonly atMs: number, readonly returnAtMs: number }> = []
  for (let nowMs = 0; nowMs < untilMs; nowMs += STEP_MS) {
    for (const submission of pending.filter(({ atMs }) => atMs <= nowMs)) {
      const sums = new Map<string, number>()
      for (const { by, remainingMs } of queue) sums.set(by, (sums.get(by) ?? 0) + remainingMs)
      const entries = [...sums].map(([by, ms]) => createEntry(by, ms))
      const decision = isOn ? decideAdmission(createRequest({ customer: customer(submission.by) }), createBacklog(entries)) : { type: 'admit' } as const
      if (decision.type === 'admit') {
        pending.splice(pending.indexOf(submission), 1)
        queue.push({ by: submission.by, acceptedAtMs: nowMs, remainingMs: submission.workMs })
        continue
      }
      submission.atMs = nowMs + addJitter(decision.retryAfterMs, random.float())
      rejections.push({ by: submission.by, atMs: nowMs, returnAtMs: submission.atMs })
    }
    let capacityMs = ACCELERATORS * STEP_MS
    while (capacityMs > 0 && queue[0]) {
      const [job] = queue
      const usedMs = Math.min(capacityMs, job!.remainingMs)
      capacityMs -= usedMs
      job!.remainingMs -= usedMs
      if (job!.remainingMs > 0) break
      queue.shift()
      waits.push({ by: job!.by, waitMs: nowMs - job!.acceptedAtMs })
    }
  }
  return { waits, rejections, pending, queue }
}

const submitEvery = (by: string, periodMs: number, untilMs: number, workMs: number): Submission[] =>
  Array.from({ length: Math.floor(untilMs / periodMs) }, (_, i) => ({ by, workMs, atMs: i * periodMs }))

t.test('a flood of one customer is limited to its share, and jobs of others are accepted and begin in time', async (t) => {
  // The flood asks for three times the capacity, nine others for a fifth together.
  const submissions = [
    ...submitEvery('flood', 10, 20_000, 3_000),
    ...Array.from({ length: 9 }, (_, i) => submitEvery(`other-${i}`, 450, 20_000, 1_000)).flat()
  ]
  const { waits, rejections } = replay(submissions, 20_000)
  const isOfOthers = ({ by }: { readonly by: string }): boolean => by !== 'flood'
  t.same(rejections.filter(isOfOthers), [])
  t.ok(rejections.length > 500, `${rejections.length} rejections of the flood`)
  t.ok(Math.max(...waits.filter(isOfOthers).map(({ waitMs }) => waitMs)) <= LIMIT_MS + STEP_MS)
  const without = replay(submissions, 20_000, { isOn: false })
  t.ok(Math.max(...without.waits.filter(isOfOthers).map(({ waitMs }) => waitMs)) > 2 * LIMIT_MS, 'without admission the others wait for the flood')
  const busyMs = waits.filter(({ by }) => by === 'flood').length * 3_000 + waits.filter(isOfOthers).length * 1_000
  t.ok(busyMs > 0.9 * 20_000 * ACCELERATORS, 'the capacity is used all the same')
})

t.test('callers that all return after an outage are accepted as the backlog drains, and do not return together', async (t) => {
  const callers = Array.from({ length: 800 }, (_, i) => ({ by: `c${i % 10}`, workMs: 1_000, atMs: 0 }))
  const { waits, rejections, pending } = replay(callers, 30_000)
  t.equal(waits.length, 800, 'every job runs in the end')
  t.same(pending, [])
  t.ok(waits.every(({ waitMs }) => waitMs <= LIMIT_MS + STEP_MS))
  t.ok(rejections.every(({ atMs, returnAtMs }) => returnAtMs - atMs >= MIN_RETRY_DELAY_MS))
  const returns = new Map<number, number>()
  const first = rejections.filter(({ atMs }) => atMs === 0)
  for (const { returnAtMs } of first) returns.set(Math.floor(returnAtMs / STEP_MS), (returns.get(Math.floor(returnAtMs / STEP_MS)) ?? 0) + 1)
  t.ok(Math.max(...returns.values()) < first.length / 10, `of ${first.length} callers at most ${Math.max(...returns.values())} return within ${STEP_MS} ms`)
})

t.test('work that must never be rejected is accepted whatever the backlog', async (t) => {
  const flooded = createBacklog([createEntry('a', 1e9, { priority: 0 }), createEntry('b', 1e9, { priority: 0 })])
  t.equal(reasonOf(createRequest({ priority: 0 }), flooded), 'queue-full')
  t.equal(reasonOf(createRequest({ priority: 0, isWithinGuarantee: true }), flooded), 'admit', 'within the guarantee')
  t.equal(reasonOf(createRequest({ priority: 0, customer: customer('c') }), flooded), 'deadline-unreachable')
  const withStoppable = createBacklog([...flooded.customers, createEntry('a', 0, { priority: 0, usedAccelerators: 90 }), createEntry('b', 0, { priority: 2, usedAccelerators: 8 })])
  t.equal(reasonOf(createRequest({ priority: 0, accelerators: 10 }), withStoppable), 'admit', 'urgent work for which other customers can make room')
  t.equal(reasonOf(createRequest({ priority: 0, accelerators: 11 }), withStoppable), 'queue-full')
  t.equal(reasonOf(createRequest({ priority: 1, accelerators: 10 }), withStoppable), 'queue-full', 'other work can\'t stop runs')
  t.equal(reasonOf(createRequest(), { ...flooded, accelerators: 0 }), 'admit', 'the capacity is not known')
})

t.test('only work that goes before a job counts against it', async (t) => {
  const TOO_MUCH = 2 * ACCELERATORS * LIMIT_MS
  t.equal(reasonOf(createRequest(), createBacklog([createEntry('b', TOO_MUCH, { priority: 2 })])), 'admit', 'less urgent work')
  t.equal(reasonOf(createRequest(), createBacklog([createEntry('b', TOO_MUCH, { priority: 0 })])), 'deadline-unreachable', 'more urgent work')
  t.equal(reasonOf(createRequest(), createBacklog([createEntry('b', 0, { tooLateAcceleratorMs: TOO_MUCH })])), 'admit', 'equally urgent work that is too late')
  t.equal(reasonOf(createRequest(), createBacklog([createEntry('b', TOO_MUCH)])), 'deadline-unreachable', 'older work of another customer')
  t.equal(reasonOf(createRequest(), createBacklog([createEntry('b', TOO_MUCH)], { hasFairShares: true })), 'admit', 'with fair shares it goes after')
})

t.test('no customer within its equal share, and no job with a backlog below the capacity, is rejected for its own backlog', async (t) => {
  const work = fc.integer({ min: 0, max: 2 * ACCELERATORS * LIMIT_MS })
  fc.assert(fc.property(fc.array(work, { minLength: 1, maxLength: 8 }), fc.boolean(), (works, hasFairShares) => {
    const backlog = createBacklog(works.map((ms, i) => createEntry(i === 0 ? 'a' : `b${i}`, ms)), { hasFairShares })
    const decision = decideAdmission(createRequest(), backlog)
    if (decision.type === 'admit') return
    const total = works.reduce((sum, ms) => sum + ms, 0)
    const isOverShare = works[0]! > ACCELERATORS * LIMIT_MS / works.length
    const isOverCapacity = total > 0.9 * ACCELERATORS * LIMIT_MS
    if (!isOverCapacity) throw new Error('rejected below the capacity')
    if (decision.reason === 'queue-full' && !isOverShare) throw new Error('rejected below the equal share')
    if (decision.retryAfterMs < MIN_RETRY_DELAY_MS) throw new Error('retry delay too short')
  }), { seed: 20261207, numRuns: 2_000 })
})
