import { assertNever, IbisError, rankByRendezvous, type DomainId, type ErrorKind } from '@ibisstair/common'
import type { JobRequest, JobStatus } from '@ibisstair/model'
import { MIN_BACKOFF_MS, MAX_BACKOFF_MS, MIN_SILENCE_MS, RESTART_WINDOW_MS, UNCONFIRMED_SILENCE_MS } from './constants.ts'

/** The next action of the entry for a request. */
export type RouteStep =
  | { readonly type: 'submit', readonly domain: DomainId, readonly request: JobRequest }
  /** A probe only checks whether the domain knows the request; it does not wait for the outcome. */
  | { readonly type: 'wait', readonly domain: DomainId, readonly isProbe: boolean }
  | { readonly type: 'pause', readonly ms: number }
  | { readonly type: 'answer', readonly status: JobStatus }
  | { readonly type: 'fail', readonly error: IbisError }

/** The result of a `submit` or `wait` step. */
export type RouteResult =
  | { readonly type: 'status', readonly status: JobStatus }
  | { readonly type: 'error', readonly error: IbisError }

type Reaction = 'final' | 'next-domain' | 'retry'

/**
 * Returns the reaction to an error of a control process. `retry` means to try the same domain again
 * later; `next-domain` means to try another domain if the request may run there.
 */
const getReaction = (kind: ErrorKind): Reaction => {
  switch (kind) {
    case 'not-leader':
    case 'no-leader':
    case 'no-quorum':
    case 'unreachable':
    case 'shutting-down':
    case 'stale-config':
    case 'disk-full':
    case 'not-found':
      return 'retry'
    case 'queue-full':
    case 'deadline-unreachable':
    case 'never-fits':
    case 'overloaded':
    case 'gang-not-started':
      return 'next-domain'
    case 'invalid-request':
    case 'body-too-large':
    case 'unauthorized':
    case 'wrong-deployment':
    case 'unknown-queue':
    case 'unknown-job':
    case 'bad-credential':
    case 'unknown-customer':
    case 'unknown-kind':
    case 'key-conflict':
    case 'deadline-passed':
    case 'cancelled':
    case 'cancelled-running':
    case 'task-failed':
    case 'answer-too-large':
    case 'job-suspect':
    case 'preempted':
    case 'outcome-unknown':
    case 'timeout':
    case 'version-conflict':
    case 'config-infeasible':
    case 'data-damaged':
    case 'internal':
      return 'final'
    default:
      return assertNever(kind)
  }
}

/** Returns whether the call certainly did not reach the other process. */
const isUndelivered = (err: IbisError): boolean => err.kind === 'unreachable' && err.details?.reason === 'connect'

export interface RouteOptions {
  readonly request: JobRequest
  readonly ownDomain: DomainId
  readonly domains: readonly DomainId[]
  /** The only domain in which a non-idempotent request may run. */
  readonly homeDomain: DomainId | undefined
  readonly nowMs: number
  /** Takes one retry from the shared retry budget; returns false if the budget is used up. */
  readonly trySpend: (nowMs: number) => boolean
  /** Called when a submission other than the first was accepted. */
  readonly onRetryAccepted?: () => void
}

/**
 * Routes one request over the failure domains. Decides which domain is tried next, when a retry is
 * allowed, and which `execution` value a final error reports. Does no I/O: the caller passes in the
 * time and the results, and carries out the returned steps.
 */
export class RequestRoute {
  readonly #request: JobRequest
  readonly #candidates: readonly DomainId[]
  readonly #startedMs: number
  readonly #trySpend: (nowMs: number) => boolean
  readonly #onRetryAccepted: () => void
  #candidateIndex = 0
  #backoffMs = MIN_BACKOFF_MS
  #attempts = 0
  /** Domains that may have accepted the request although this entry received no confirmation. */
  readonly #ambiguousDomains = new Set<DomainId>()
  readonly #refusals = new Map<DomainId, IbisError>()
  /** Whether the current domain has accepted the request. */
  #isAccepted = false
  /** False while the acceptance is only assumed, after a submission without an answer. */
  #isConfirmed = false
  /** End of the time for restarting accepted work; set when such work is lost for the first time. */
  #restartUntilMs = -Infinity
  #silentSinceMs: number | null = null
  #step: RouteStep

  constructor (options: RouteOptions) {
    const { request, domains } = options
    this.#request = request
    this.#startedMs = options.nowMs
    this.#trySpend = options.trySpend
    this.#onRetryAccepted = options.onRetryAccepted ?? (() => {})
    this.#candidates = RequestRoute.#getCandidates(options)
    this.#step = domains.length === 0
      ? { type: 'fail', error: new IbisError('no-leader', 'the configuration contains no failure domain') }
      : this.#submit(options.nowMs)
  }

  get step (): RouteStep {
    return this.#step
  }

  get attempts (): number {
    return this.#attempts
  }

  handle (result: RouteResult, nowMs: number): RouteStep {
    this.#step = result.type === 'status' ? this.#handleStatus(result.status) : this.#handleError(result.error, nowMs)
    return this.#step
  }

  /** Returns the step that follows a `pause` step, once the pause is over. */
  handlePauseEnd (nowMs: number): RouteStep {
    this.#step = this.#isAccepted ? { type: 'wait', domain: this.#domain, isProbe: !this.#isConfirmed } : this.#submitWithinBudget(nowMs)
    return this.#step
  }

  static #getCandidates ({ request, ownDomain, domains, homeDomain }: RouteOptions): readonly DomainId[] {
    if (!request.idempotent) return homeDomain === undefined ? [] : [homeDomain]
    const ranked = rankByRendezvous(`${request.customer}/${request.key}`, domains)
    const first = request.homeDomain ?? (domains.includes(ownDomain) ? ownDomain : ranked[0])
    return first === undefined ? ranked : [first, ...ranked.filter((domain) => domain !== first)]
  }

  get #domain (): DomainId {
    return this.#candidates[this.#candidateIndex]!
  }

  #submit (nowMs: number): RouteStep {
    const remainingMs = this.#getRemainingMs(nowMs)
    if (remainingMs <= 0) return this.#failDeadlinePassed()
    this.#attempts += 1
    return { type: 'submit', domain: this.#domain, request: { ...this.#request, deadlineMs: Math.ceil(remainingMs) } }
  }

  /** Accepted work that was lost with its leader may be restarted for a limited time after its deadline. */
  #getRemainingMs (nowMs: number): number {
    const endMs = Math.max(this.#startedMs + this.#request.deadlineMs, this.#restartUntilMs)
    return endMs - nowMs
  }

  #failDeadlinePassed (): RouteStep {
    const refusal = this.#refusals.get(this.#domain)
    if (this.#restartUntilMs > -Infinity && refusal) return this.#fail(refusal, 'entry')
    return this.#fail(new IbisError('deadline-passed', `no failure domain accepted the request within ${this.#request.deadlineMs} ms`), 'entry')
  }

  /** While the retry budget is used up, the request waits until its deadline instead of adding load. */
  #submitWithinBudget (nowMs: number): RouteStep {
    const isOverdue = this.#getRemainingMs(nowMs) <= 0
    return isOverdue || this.#trySpend(nowMs) ? this.#submit(nowMs) : this.#pause()
  }

  #handleStatus (status: JobStatus): RouteStep {
    if (!this.#isConfirmed && this.#attempts > 1) this.#onRetryAccepted()
    if (status.state === 'done' || status.state === 'failed') return this.#answer(status)
    this.#isAccepted = true
    this.#isConfirmed = true
    this.#silentSinceMs = null
    this.#backoffMs = MIN_BACKOFF_MS
    return { type: 'wait', domain: this.#domain, isProbe: false }
  }

  #answer (status: JobStatus): RouteStep {
    if (!status.outcome || status.outcome.state === 'done') return { type: 'answer', status }
    const error = IbisError.fromBody(status.outcome.error)
    if (error.execution === 'not-run' && getReaction(error.kind) === 'next-domain' && this.#request.idempotent && this.#hasNextDomain()) {
      this.#refusals.set(this.#domain, error)
      this.#candidateIndex += 1
      this.#isAccepted = false
      return { type: 'pause', ms: 0 }
    }
    return this.#fail(error, 'domain')
  }

  #handleError (error: IbisError, nowMs: number): RouteStep {
    if (this.#isAccepted) return this.#handleWaitError(error, nowMs)
    const isAmbiguous = this.#isAmbiguous(error)
    if (isAmbiguous) this.#ambiguousDomains.add(this.#domain)
    const reaction = error.kind === 'not-found' ? 'final' : getReaction(error.kind)
    if (reaction === 'final') return this.#fail(error, 'domain')
    return isAmbiguous ? this.#probe(nowMs) : this.#retry(error, reaction, nowMs)
  }

  /**
   * The domain may have accepted the request: its connection timed out, or its leader died. The
   * request is looked up there by key, on new connections, before it is submitted to another domain.
   */
  #probe (nowMs: number): RouteStep {
    this.#isAccepted = true
    this.#isConfirmed = false
    this.#silentSinceMs = nowMs
    return { type: 'wait', domain: this.#domain, isProbe: true }
  }

  /**
   * The domain has accepted the request, so the same domain is asked for the outcome again: its next
   * leader adopts running work. Idempotent work is submitted a second time only if the leader does
   * not know the request or the domain has not answered for a long time.
   */
  #handleWaitError (error: IbisError, nowMs: number): RouteStep {
    if (getReaction(error.kind) !== 'retry') return this.#fail(error, 'domain')
    this.#silentSinceMs ??= nowMs
    const isUnknownToLeader = error.kind === 'not-found'
    const canResubmit = this.#request.idempotent && nowMs - this.#silentSinceMs >= this.#getMaxSilenceMs()
    if (!isUnknownToLeader && !canResubmit) return this.#pause()
    this.#ambiguousDomains.add(this.#domain)
    if (this.#isConfirmed && this.#restartUntilMs === -Infinity) this.#restartUntilMs = nowMs + RESTART_WINDOW_MS
    this.#isAccepted = false
    this.#silentSinceMs = null
    return isUnknownToLeader ? { type: 'pause', ms: 0 } : this.#retry(error, 'retry', nowMs)
  }

  #getMaxSilenceMs (): number {
    return this.#isConfirmed ? Math.max(MIN_SILENCE_MS, this.#request.expectedRunMs) : UNCONFIRMED_SILENCE_MS
  }

  #isAmbiguous (error: IbisError): boolean {
    return error.execution !== 'not-run' && !isUndelivered(error)
  }

  #retry (error: IbisError, reaction: 'retry' | 'next-domain', nowMs: number): RouteStep {
    this.#refusals.set(this.#domain, error)
    const canTryNext = this.#request.idempotent && this.#hasNextDomain()
    if (reaction === 'next-domain' && !canTryNext) return this.#fail(this.#getMostUsefulRefusal(error), 'domain')
    this.#candidateIndex = canTryNext ? this.#candidateIndex + 1 : 0
    this.#isAccepted = false
    return canTryNext ? this.#submitWithinBudget(nowMs) : this.#pause()
  }

  #pause (): RouteStep {
    const ms = this.#backoffMs
    this.#backoffMs = Math.min(MAX_BACKOFF_MS, this.#backoffMs * 2)
    return { type: 'pause', ms }
  }

  #hasNextDomain (): boolean {
    return this.#candidateIndex + 1 < this.#candidates.length
  }

  /** Prefers a refusal for lack of capacity, which has a retry time, to one for a size that the domain can never hold. */
  #getMostUsefulRefusal (lastRefusal: IbisError): IbisError {
    const refusals = [...this.#refusals.values()]
    return refusals.find((err) => err.retryAfterMs !== undefined) ?? lastRefusal
  }

  #fail (error: IbisError, source: RefusalSource): RouteStep {
    return { type: 'fail', error: qualifyRefusal(this.#request, error, source, this.#ambiguousDomains.size > 0) }
  }
}

/** Where a refusal comes from: this entry, or the leader of the request's failure domain. */
export type RefusalSource = 'entry' | 'domain'

/**
 * Returns the refusal with `execution` set to "unknown" if "not run" is not certain. The leader of
 * a non-idempotent request's home domain knows of every start under its key, so its refusal also
 * covers earlier submissions. Any other process can't know whether the same key was sent before,
 * unless the caller says that this is the first submission. Idempotent work may have been accepted
 * by a leader that did not answer.
 */
export const qualifyRefusal = (request: JobRequest, error: IbisError, source: RefusalSource, isAmbiguous: boolean): IbisError => {
  if (error.execution !== 'not-run') return error
  const isFirstSubmission = !isAmbiguous && request.resend === false
  const isNotRunCertain = request.idempotent
    ? !isAmbiguous && request.resend !== true
    : isFirstSubmission || (source === 'domain' && !isLocalRefusal(error))
  if (isNotRunCertain) return error
  return new IbisError(error.kind, `${error.message}; an earlier submission under the same key may have run`, {
    execution: 'unknown',
    ...(error.retryAfterMs !== undefined && { retryAfterMs: error.retryAfterMs })
  })
}

/** Returns whether a process gives this refusal without reading the domain's record of starts. */
const isLocalRefusal = (error: IbisError): boolean =>
  ['not-leader', 'no-leader', 'shutting-down', 'stale-config', 'unreachable', 'no-quorum', 'overloaded', 'unauthorized', 'wrong-deployment', 'body-too-large', 'invalid-request'].includes(error.kind)
