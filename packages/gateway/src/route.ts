import { assertNever, IbisError, rankByRendezvous, type DomainId, type ErrorKind } from '@ibisstair/common'
import type { JobRequest, JobStatus } from '@ibisstair/model'
import { FIRST_BACKOFF_MS, MAX_BACKOFF_MS, MIN_SILENCE_MS, RESTART_DEADLINE_MS, UNCONFIRMED_SILENCE_MS } from './constants.ts'

/** What the entry does next for a request. */
export type RouteStep =
  | { readonly type: 'submit', readonly domain: DomainId, readonly request: JobRequest }
  /** A probe asks, without waiting for the outcome, whether the domain knows the request. */
  | { readonly type: 'wait', readonly domain: DomainId, readonly isProbe: boolean }
  | { readonly type: 'pause', readonly ms: number }
  | { readonly type: 'answer', readonly status: JobStatus }
  | { readonly type: 'fail', readonly error: IbisError }

export type RouteResult =
  | { readonly type: 'status', readonly status: JobStatus }
  | { readonly type: 'error', readonly error: IbisError }

type Reaction = 'final' | 'next-domain' | 'retry'

/**
 * What to do after an error of a control process. `retry` means later at the same domain;
 * `next-domain` means elsewhere if the request may run elsewhere.
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

/** Whether the call certainly never reached the other process. */
const isUndelivered = (err: IbisError): boolean => err.kind === 'unreachable' && err.details?.reason === 'connect'

export interface RouteOptions {
  readonly request: JobRequest
  readonly ownDomain: DomainId
  readonly domains: readonly DomainId[]
  /** The one domain of a non-idempotent request. */
  readonly homeDomain: DomainId | undefined
  readonly nowMs: number
  /** Takes one extra attempt from the shared retry budget. */
  readonly trySpend: (nowMs: number) => boolean
  /** A submission that was not the first was accepted. */
  readonly onRetryAccepted?: () => void
}

/**
 * Routes one request over the failure domains: which domain is tried next, when a retry is allowed,
 * and what may be said about execution at the end. Pure: time and results come in, steps go out.
 */
export class RequestRoute {
  readonly #request: JobRequest
  readonly #candidates: readonly DomainId[]
  readonly #startedMs: number
  readonly #trySpend: (nowMs: number) => boolean
  readonly #onRetryAccepted: () => void
  #position = 0
  #backoffMs = FIRST_BACKOFF_MS
  #attempts = 0
  /** Domains that may have taken the request without our knowing. */
  readonly #ambiguous = new Set<DomainId>()
  readonly #refusals = new Map<DomainId, IbisError>()
  /** Whether the present domain has accepted the request. */
  #isAccepted = false
  /** False while the acceptance is only supposed, after a submission without an answer. */
  #isConfirmed = false
  /** Set when accepted work was lost for the first time. */
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
      ? { type: 'fail', error: new IbisError('no-leader', 'the configuration names no failure domain') }
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

  /** After a `pause` step. */
  handlePauseOver (nowMs: number): RouteStep {
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
    return this.#candidates[this.#position]!
  }

  #submit (nowMs: number): RouteStep {
    const remainingMs = this.#getRemainingMs(nowMs)
    if (remainingMs <= 0) return this.#failOverdue()
    this.#attempts += 1
    return { type: 'submit', domain: this.#domain, request: { ...this.#request, deadlineMs: Math.ceil(remainingMs) } }
  }

  /** Work that was accepted and lost with its leader may start again for a while after its deadline. */
  #getRemainingMs (nowMs: number): number {
    const untilMs = Math.max(this.#startedMs + this.#request.deadlineMs, this.#restartUntilMs)
    return untilMs - nowMs
  }

  #failOverdue (): RouteStep {
    const refusal = this.#refusals.get(this.#domain)
    if (this.#restartUntilMs > -Infinity && refusal) return this.#fail(refusal, 'entry')
    return this.#fail(new IbisError('deadline-passed', `no failure domain accepted the request within ${this.#request.deadlineMs} ms`), 'entry')
  }

  /** Without budget the request waits, until its deadline, instead of adding load. */
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
    this.#backoffMs = FIRST_BACKOFF_MS
    return { type: 'wait', domain: this.#domain, isProbe: false }
  }

  #answer (status: JobStatus): RouteStep {
    if (!status.outcome || status.outcome.state === 'done') return { type: 'answer', status }
    const error = IbisError.fromBody(status.outcome.error)
    if (error.execution === 'not-run' && getReaction(error.kind) === 'next-domain' && this.#request.idempotent && this.#hasNextDomain()) {
      this.#refusals.set(this.#domain, error)
      this.#position += 1
      this.#isAccepted = false
      return { type: 'pause', ms: 0 }
    }
    return this.#fail(error, 'domain')
  }

  #handleError (error: IbisError, nowMs: number): RouteStep {
    if (this.#isAccepted) return this.#handleWaitError(error, nowMs)
    const isAmbiguous = this.#isAmbiguous(error)
    if (isAmbiguous) this.#ambiguous.add(this.#domain)
    const reaction = error.kind === 'not-found' ? 'final' : getReaction(error.kind)
    if (reaction === 'final') return this.#fail(error, 'domain')
    return isAmbiguous ? this.#probe(nowMs) : this.#retry(error, reaction, nowMs)
  }

  /**
   * The domain may have taken the request: its connection went silent, or its leader died. It is
   * asked by key, on new connections, before the request goes anywhere else.
   */
  #probe (nowMs: number): RouteStep {
    this.#isAccepted = true
    this.#isConfirmed = false
    this.#silentSinceMs = nowMs
    return { type: 'wait', domain: this.#domain, isProbe: true }
  }

  /**
   * The domain has accepted the request, so the outcome is asked for there again: its next leader
   * adopts what runs. Only a leader that does not know the request, or a long silence, leads to a
   * second submission of idempotent work.
   */
  #handleWaitError (error: IbisError, nowMs: number): RouteStep {
    if (getReaction(error.kind) !== 'retry') return this.#fail(error, 'domain')
    this.#silentSinceMs ??= nowMs
    const isForgotten = error.kind === 'not-found'
    const isGivenUp = this.#request.idempotent && nowMs - this.#silentSinceMs >= this.#getMaxSilenceMs()
    if (!isForgotten && !isGivenUp) return this.#pause()
    this.#ambiguous.add(this.#domain)
    if (this.#isConfirmed && this.#restartUntilMs === -Infinity) this.#restartUntilMs = nowMs + RESTART_DEADLINE_MS
    this.#isAccepted = false
    this.#silentSinceMs = null
    return isForgotten ? { type: 'pause', ms: 0 } : this.#retry(error, 'retry', nowMs)
  }

  #getMaxSilenceMs (): number {
    return this.#isConfirmed ? Math.max(MIN_SILENCE_MS, this.#request.expectedRunMs) : UNCONFIRMED_SILENCE_MS
  }

  #isAmbiguous (error: IbisError): boolean {
    return error.execution !== 'not-run' && !isUndelivered(error)
  }

  #retry (error: IbisError, reaction: 'retry' | 'next-domain', nowMs: number): RouteStep {
    this.#refusals.set(this.#domain, error)
    const goOn = this.#request.idempotent && this.#hasNextDomain()
    if (reaction === 'next-domain' && !goOn) return this.#fail(this.#getBestRefusal(error), 'domain')
    this.#position = goOn ? this.#position + 1 : 0
    this.#isAccepted = false
    return goOn ? this.#submitWithinBudget(nowMs) : this.#pause()
  }

  #pause (): RouteStep {
    const ms = this.#backoffMs
    this.#backoffMs = Math.min(MAX_BACKOFF_MS, this.#backoffMs * 2)
    return { type: 'pause', ms }
  }

  #hasNextDomain (): boolean {
    return this.#position + 1 < this.#candidates.length
  }

  /** A refusal for lack of room is more useful than one for a size that this domain can never hold. */
  #getBestRefusal (last: IbisError): IbisError {
    const refusals = [...this.#refusals.values()]
    return refusals.find((err) => err.retryAfterMs !== undefined) ?? last
  }

  #fail (error: IbisError, source: RefusalSource): RouteStep {
    return { type: 'fail', error: qualifyRefusal(this.#request, error, source, this.#ambiguous.size > 0) }
  }
}

/** Whether the refusal comes from this entry or from the leader of the request's failure domain. */
export type RefusalSource = 'entry' | 'domain'

/**
 * Keeps "not run" true. The leader of a non-idempotent request's home domain knows of every start
 * under its key, so its refusal holds for earlier submissions too; any other process can't know
 * whether the same key was sent before, unless the caller says that this is the first submission.
 * Idempotent work may have been taken by a leader that did not answer.
 */
export const qualifyRefusal = (request: JobRequest, error: IbisError, source: RefusalSource, isAmbiguous: boolean): IbisError => {
  if (error.execution !== 'not-run') return error
  const isFirst = !isAmbiguous && request.resend === false
  const isKnown = request.idempotent
    ? !isAmbiguous && request.resend !== true
    : isFirst || (source === 'domain' && !isLocalRefusal(error))
  if (isKnown) return error
  return new IbisError(error.kind, `${error.message}; an earlier submission under the same key may have run`, {
    execution: 'unknown',
    ...(error.retryAfterMs !== undefined && { retryAfterMs: error.retryAfterMs })
  })
}

/** Refusals that a process gives without looking at the domain's record. */
const isLocalRefusal = (error: IbisError): boolean =>
  ['not-leader', 'no-leader', 'shutting-down', 'stale-config', 'unreachable', 'no-quorum', 'overloaded', 'unauthorized', 'wrong-deployment', 'body-too-large', 'invalid-request'].includes(error.kind)
