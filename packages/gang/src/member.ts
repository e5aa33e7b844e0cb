import { CONNECTION_REFUSED, type EndpointOperation, type TaskView } from '@ibisstair/endpoint-tasks'
import { MAX_TASK_ANSWER_BYTES, type Assignment } from '@ibisstair/model'

export interface PendingCall {
  readonly operation: EndpointOperation
  /** When the first attempt was sent. */
  readonly sinceMs: number
  /** When the call counts as unanswered. */
  readonly dueMs: number
  /** Set after an unknown answer: when to ask again. */
  retryMs: number | undefined
  readonly attempt: number
}

/** How a member's task ended; `gone` means that it does not run any more, but not how it ended. */
export type MemberEnd =
  | { readonly type: 'done', readonly everStarted: true, readonly answer: unknown, readonly bytes: number, readonly runMs: number }
  | { readonly type: 'failed', readonly everStarted: true, readonly error: string }
  | { readonly type: 'gone', readonly everStarted: boolean }

/** What one gang knows about one of its tasks. Facts only accumulate, so that answers may come late, doubled or out of order. */
export class Member {
  readonly assignment: Assignment
  call: PendingCall | undefined
  contacted = false
  reserved = false
  armed = false
  armSentMs = 0
  startsSent = 0
  /** Starts that the client could not deliver, because the connection was refused. */
  startsUndelivered = 0
  /** The task is known to have started at some time. */
  started = false
  /** A fence or a terminal state confirmed that the task never ran and never will. */
  neverStarted = false
  /** The task can neither run nor start any more. */
  fenced = false
  lost = false
  refused = false
  queried = false
  checkpointed = false
  acknowledged = false
  stopAttempts = 0
  /** After this time the task holds neither a reservation nor a lease, even if no message arrives. */
  heldUntilMs = -Infinity
  /** Up to when the task is known to have been there: the time of the question, not of the answer. */
  seenMs = -Infinity
  renewedMs: number | undefined
  end: MemberEnd | undefined

  constructor (assignment: Assignment) {
    this.assignment = assignment
  }

  /** A start may have reached the endpoint. */
  get startSent (): boolean {
    return this.startsSent > this.startsUndelivered
  }

  get isDone (): boolean {
    return this.end?.type === 'done'
  }

  /** Runs or is done, so that a gang of such members is whole. */
  get isActive (): boolean {
    return this.isDone || (this.started && !this.end)
  }

  get isSettled (): boolean {
    return this.fenced || this.isDone || this.end?.type === 'failed'
  }

  get needsAcknowledgement (): boolean {
    return !this.acknowledged && (this.isDone || this.end?.type === 'failed')
  }

  learn (view: TaskView, requestedAtMs: number): void {
    if (this.end && this.end.type !== 'gone') return
    if (view.everStarted) this.started = true
    if (view.checkpointed) this.checkpointed = true
    switch (view.phase) {
      case 'done': return this.#learnDone(view)
      case 'failed':
        this.started = true
        this.end = { type: 'failed', everStarted: true, error: view.error ?? 'no reason given' }
        return
      case 'stopped':
      case 'expired':
        this.end = { type: 'gone', everStarted: this.started }
        this.fenced = true
        this.neverStarted = !this.started
        return
      case 'absent':
        // Before the start an old report; after it the endpoint restarted or forgot, which proves nothing.
        if (this.startSent || this.started) this.end ??= { type: 'gone', everStarted: this.started }
        return
      default:
        if (!this.end) this.seenMs = Math.max(this.seenMs, requestedAtMs)
    }
  }

  /** The answer of a stop without a view still fences the task. */
  learnStop (view: TaskView | undefined): void {
    this.fenced = true
    this.end ??= { type: 'gone', everStarted: this.started }
    if (!view) return
    if (!view.everStarted && !this.started) this.neverStarted = true
  }

  learnRefusal (reason: string, operation: EndpointOperation): void {
    if (reason === CONNECTION_REFUSED && (operation === 'start' || operation === 'run')) this.startsUndelivered += 1
    // A task of an earlier incarnation ended with it; a forgotten one is fenced by the same answer.
    if (reason !== 'wrong-incarnation' && !(reason === 'forgotten' && operation === 'stop')) return
    this.fenced = true
    this.end ??= { type: 'gone', everStarted: this.started }
  }

  #learnDone (view: TaskView): void {
    this.started = true
    if (!('answer' in view)) {
      this.end = { type: 'gone', everStarted: true }
      this.fenced = true
      return
    }
    const bytes = Buffer.byteLength(JSON.stringify(view.answer) ?? 'null')
    this.end = bytes > MAX_TASK_ANSWER_BYTES
      ? { type: 'failed', everStarted: true, error: 'answer-too-large' }
      : { type: 'done', everStarted: true, answer: view.answer, bytes, runMs: view.runMs ?? 0 }
  }
}
