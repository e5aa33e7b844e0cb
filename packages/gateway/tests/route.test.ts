import fc from 'fast-check'
import t from 'tap'
import { asId, IbisError, type CallerId, type CustomerId, type DomainId, type ErrorKind, type JobId, type KindOfWork, type RequestKey } from '@ibisstair/common'
import type { JobRequest, JobStatus } from '@ibisstair/model'
import { MIN_SILENCE_MS, qualifyRefusal, RequestRoute, RetryBudget, type RouteResult } from '../src/index.ts'

const SEED = Number(process.env.SEED ?? 20261204)
const RUNS = Number(process.env.RUNS ?? 2000)
const domains = ['d1', 'd2', 'd3', 'd4'].map((name) => asId<DomainId>(name))

const createRequest = (idempotent: boolean): JobRequest => ({
  key: asId<RequestKey>('key'),
  customer: asId<CustomerId>('customer'),
  caller: asId<CallerId>('caller'),
  kind: asId<KindOfWork>('kind'),
  urgency: 'normal',
  shape: { tasks: 1, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'any' },
  deadlineMs: 10_000,
  expectedRunMs: 100,
  idempotent,
  payload: null
})

const createRoute = (idempotent: boolean, trySpend: (nowMs: number) => boolean = () => true): RequestRoute => new RequestRoute({
  request: createRequest(idempotent), ownDomain: domains[0]!, domains, homeDomain: domains[2], nowMs: 0, trySpend
})

const toStatus = (state: JobStatus['state'], outcome?: JobStatus['outcome']): RouteResult => ({
  type: 'status',
  status: { jobId: asId<JobId>('j'), key: asId<RequestKey>('key'), customer: asId<CustomerId>('customer'), state, ...(outcome && { outcome }) }
})
const toError = (kind: ErrorKind, info?: Record<string, unknown>): RouteResult => ({ type: 'error', error: new IbisError(kind, kind, { ...(info && { info }) }) })

/** How a fake domain reacts to one call. */
type DomainBehavior = 'accept' | 'accept-silently' | 'lose' | 'refuse-connection' | 'no-leader' | 'queue-full' | 'no-quorum' | 'finish' | 'forget'
const behaviorArbitrary = fc.constantFrom<DomainBehavior>('accept', 'accept-silently', 'lose', 'refuse-connection', 'no-leader', 'queue-full', 'no-quorum', 'finish', 'forget')

/**
 * A domain that may accept the request without answering. With a record of starts (non-idempotent
 * work) it never refuses work that it has started; without one, a new leader may not know the work.
 */
class FakeDomain {
  started = false
  #known = false

  constructor (readonly hasRecord: boolean) {}

  submit (behavior: DomainBehavior): RouteResult {
    if (behavior === 'forget' && !this.hasRecord) this.#known = false
    if (this.#known && behavior !== 'refuse-connection' && behavior !== 'lose' && behavior !== 'no-leader') return behavior === 'finish' ? this.#finish() : toStatus('running')
    switch (behavior) {
      case 'accept':
      case 'finish':
        this.#start()
        return behavior === 'finish' ? this.#finish() : toStatus('running')
      case 'accept-silently':
        this.#start()
        return toError('unreachable', { reason: 'timeout' })
      case 'lose': return toError('unreachable', { reason: 'timeout' })
      case 'refuse-connection': return toError('unreachable', { reason: 'connect' })
      case 'no-leader': return toError('no-leader')
      case 'no-quorum': return toError('no-quorum')
      default: return toError('queue-full')
    }
  }

  wait (behavior: DomainBehavior): RouteResult {
    if (behavior === 'forget' && !this.hasRecord) this.#known = false
    if (behavior === 'lose' || behavior === 'accept-silently') return toError('unreachable', { reason: 'timeout' })
    if (behavior === 'refuse-connection') return toError('unreachable', { reason: 'connect' })
    if (behavior === 'no-leader') return toError('no-leader')
    if (!this.#known) return toError('not-found')
    return behavior === 'finish' ? this.#finish() : toStatus('running')
  }

  #start (): void {
    this.started = true
    this.#known = true
  }

  #finish (): RouteResult {
    return toStatus('done', { state: 'done', answers: [] })
  }
}

const driveRoute = (route: RequestRoute, behaviors: readonly DomainBehavior[], fakeDomains: ReadonlyMap<DomainId, FakeDomain>): { readonly visited: DomainId[] } => {
  const visited: DomainId[] = []
  let now = 0
  for (const next of [...behaviors, ...Array.from({ length: 200 }, () => 'queue-full' as const)]) {
    now += 500
    const { step } = route
    if (step.type === 'answer' || step.type === 'fail') return { visited }
    if (step.type === 'pause') route.handlePauseEnd(now)
    else {
      const domain = fakeDomains.get(step.domain)!
      if (step.type === 'submit') visited.push(step.domain)
      route.handle(step.type === 'submit' ? domain.submit(next) : domain.wait(next), now)
    }
  }
  return { visited }
}

t.test('a failure reports "not run" only if no domain started the request, whichever answers were lost', async (t) => {
  t.comment(`seed ${SEED}`)
  fc.assert(fc.property(fc.array(behaviorArbitrary, { maxLength: 40 }), fc.boolean(), (behaviors, idempotent) => {
    const route = createRoute(idempotent)
    const fakeDomains = new Map(domains.map((domain) => [domain, new FakeDomain(!idempotent)]))
    driveRoute(route, behaviors, fakeDomains)
    const { step } = route
    if (step.type !== 'fail' || step.error.execution !== 'not-run') return true
    return ![...fakeDomains.values()].some(({ started }) => started)
  }), { seed: SEED, numRuns: RUNS })
})

t.test('a non-idempotent request is submitted to its home domain only', async () => {
  fc.assert(fc.property(fc.array(behaviorArbitrary, { maxLength: 40 }), (behaviors) => {
    const { visited } = driveRoute(createRoute(false), behaviors, new Map(domains.map((domain) => [domain, new FakeDomain(true)])))
    return visited.every((domain) => domain === domains[2])
  }), { seed: SEED, numRuns: RUNS })
})

t.test('every route ends with an answer or a failure', async () => {
  fc.assert(fc.property(fc.array(behaviorArbitrary, { maxLength: 40 }), fc.boolean(), (behaviors, idempotent) => {
    const route = createRoute(idempotent)
    driveRoute(route, [...behaviors, ...Array.from({ length: 60 }, () => 'finish' as const)], new Map(domains.map((domain) => [domain, new FakeDomain(!idempotent)])))
    return route.step.type === 'answer' || route.step.type === 'fail'
  }), { seed: SEED, numRuns: RUNS })
})

t.test('an accepted request is polled again and not submitted twice while its domain does not answer for a short time', async (t) => {
  const route = createRoute(true)
  route.handle(toStatus('running'), 0)
  for (let now = 500; now < MIN_SILENCE_MS; now += 500) {
    route.handle(toError('unreachable', { reason: 'timeout' }), now)
    t.equal(route.step.type, 'pause')
    t.equal(route.handlePauseEnd(now).type, 'wait')
  }
  route.handle(toError('unreachable', { reason: 'timeout' }), MIN_SILENCE_MS + 500)
  const next = route.handlePauseEnd(MIN_SILENCE_MS + 500)
  t.equal(next.type, 'submit')
  t.not(next.type === 'submit' && next.domain, domains[0])
})

t.test('idempotent work refused by a full domain goes to the next one, and the final refusal has a retry time', async (t) => {
  const route = createRoute(true)
  const visited: unknown[] = []
  while (route.step.type === 'submit') {
    visited.push(route.step.domain)
    const error = new IbisError('queue-full', 'full', { retryAfterMs: 700 })
    if (route.handle({ type: 'error', error }, 10).type === 'pause') route.handlePauseEnd(10)
  }
  t.equal(new Set(visited).size, 4)
  t.equal(route.step.type === 'fail' && route.step.error.retryAfterMs, 700)
  t.equal(route.step.type === 'fail' && route.step.error.execution, 'not-run')
})

t.test('during an outage the retries of all requests together stay within the budget', async (t) => {
  const budget = new RetryBudget()
  const routes = Array.from({ length: 500 }, () => {
    budget.handleFirstAttempt()
    return createRoute(true, (nowMs) => budget.trySpend(nowMs, 'urgent'))
  })
  let attempts = 0
  for (let now = 0; now < 9_000; now += 50) {
    for (const route of routes) {
      if (route.step.type === 'pause') route.handlePauseEnd(now)
      if (route.step.type !== 'submit') continue
      attempts += 1
      route.handle(toError('no-leader'), now)
    }
  }
  t.ok(attempts <= 500 + 500 * 0.1 + 10 + 9 * 10 + 1, `${attempts} attempts for 500 requests in 9 s`)
})

t.test('the last retries of the budget are reserved for urgent requests', async (t) => {
  const budget = new RetryBudget()
  while (budget.trySpend(0, 'bulk'));
  t.equal(budget.trySpend(0, 'normal'), true)
  while (budget.trySpend(0, 'normal'));
  t.equal(budget.trySpend(0, 'urgent'), true)
})

t.test('for non-idempotent work, "not run" is reported only by the domain leader or for a first submission', async (t) => {
  const request = createRequest(false)
  const getExecution = (kind: ErrorKind, source: 'entry' | 'domain', resend?: boolean, isAmbiguous = false): string =>
    qualifyRefusal({ ...request, ...(resend !== undefined && { resend }) }, new IbisError(kind, kind), source, isAmbiguous).execution
  t.equal(getExecution('queue-full', 'domain'), 'not-run')
  t.equal(getExecution('no-quorum', 'domain'), 'unknown')
  t.equal(getExecution('deadline-passed', 'entry'), 'unknown')
  t.equal(getExecution('no-leader', 'entry', false), 'not-run')
  t.equal(getExecution('no-leader', 'entry', false, true), 'unknown')
  t.equal(getExecution('no-leader', 'entry', true), 'unknown')
})

t.test('a resend of idempotent work does not claim that it never ran', async (t) => {
  const request = createRequest(true)
  t.equal(qualifyRefusal(request, new IbisError('queue-full', 'full'), 'domain', false).execution, 'not-run')
  t.equal(qualifyRefusal({ ...request, resend: true }, new IbisError('queue-full', 'full'), 'domain', false).execution, 'unknown')
})

t.test('after a submission without an answer, the same domain is probed before another one is tried', async (t) => {
  const route = createRoute(true)
  t.match(route.handle(toError('unreachable', { reason: 'timeout' }), 1_000), { type: 'wait', domain: domains[0], isProbe: true })
  route.handle(toError('not-found'), 1_500)
  t.match(route.handlePauseEnd(1_500), { type: 'submit', domain: domains[0] })
  route.handle(toError('unreachable', { reason: 'timeout' }), 3_000)
  let now = 3_000
  while (route.step.type !== 'submit') {
    now += 500
    if (route.step.type === 'pause') route.handlePauseEnd(now)
    else route.handle(toError('unreachable', { reason: 'timeout' }), now)
  }
  t.not(route.step.domain, domains[0])
  t.ok(now - 3_000 <= 6_000, `submitted to another domain after ${now - 3_000} ms`)
})

// Guards against a request that is held until its caller gives up, while its home domain has no quorum.
t.test('lost non-idempotent work fails with execution unknown if its start cannot be recorded again', async (t) => {
  const route = createRoute(false)
  route.handle(toStatus('starting'), 0)
  route.handle(toError('not-found'), 1_000)
  let now = 1_000
  while (route.step.type !== 'fail' && now < 60_000) {
    now += 500
    if (route.step.type === 'pause') route.handlePauseEnd(now)
    else route.handle(toError('no-quorum'), now)
  }
  t.ok(now <= 12_000, `ended after ${now} ms`)
  t.match(route.step, { type: 'fail', error: { kind: 'no-quorum', execution: 'unknown' } })
})
