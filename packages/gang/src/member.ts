import { CONNECTION_REFUSED, type EndpointOperation, type TaskView } from '@ibisstair/endpoint-tasks'
import { MAX_TASK_ANSWER_BYTES, type Assignment } from '@ibisstair/model'

export interface PendingCall {
  readonly operation: EndpointOperation
  /** When the first attempt was sent. */
  readonly firstSentMs: number
  /** When a call without an answer counts as unanswered. */
  readonly deadlineMs: number
  /** When to retry; set once the call counts as unanswered. */
  retryAtMs: number | undefined
  readonly attempt: number
}

/** How a member's task ended; `gone` means that it no longer runs and that its outcome is not known. */
export type MemberEnd =
  | { readonly type: 'done', readonly everStarted: true, readonly answer: unknown, readonly bytes: number, readonly runMs: number }
  | { readonly type: 'failed', readonly everStarted: true, readonly error: string }
  | { readonly type: 'gone', readonly everStarted: boolean }

/** What a gang knows about one of its tasks. Knowledge only accumulates, so answers may arrive late, duplicated or out of order. */
export class Member {
  readonly assignment: Assignment
  call: PendingCall | undefined
  contacted = false
  reserved = false
  armed = false
  armSentMs = 0
  startsSent = 0
  /** Starts that were not delivered because the connection was refused. */
  startsUndelivered = 0
  /** The task is known to have started at some point. */
  started = false
  /** A fence or a terminal state has confirmed that the task never ran and never will. */
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
  /** Latest time at which the endpoint is known to have held the task: when the request was sent, not when its answer arrived. */
  lastSeenMs = -Infinity
  lastRenewalMs: number | undefined
  end: MemberEnd | undefined

  constructor (assignment: Assignment) {
    this.assignment = assignment
  }

  /** Whether a start may have reached the endpoint. */
  get mayHaveReceivedStart (): boolean {
    return this.startsSent > this.startsUndelivered
  }

  get isDone (): boolean {
    return this.end?.type === 'done'
  }

  /** Whether the task is running or done; a gang of only such members can continue. */
  get isRunningOrDone (): boolean {
    return this.isDone || (this.started && !this.end)
  }

  get isSettled (): boolean {
    return this.fenced || this.isDone || this.end?.type === 'failed'
  }

  get needsAcknowledgement (): boolean {
    return !this.acknowledged && (this.isDone || this.end?.type === 'failed')
  }

  applyView (view: TaskView, requestedAtMs: number): void {
    if (this.end && this.end.type !== 'gone') return
    if (view.everStarted) this.started = true
    if (view.checkpointed) this.checkpointed = true
    switch (view.phase) {
      case 'done': return this.#applyDone(view)
      case 'failed':
        this.started = true
        this.end = { type: 'failed', everStarted: true, error: view.error ?? 'the endpoint gave no reason' }
        return
      case 'stopped':
      case 'expired':
        this.end = { type: 'gone', everStarted: this.started }
        this.fenced = true
        this.neverStarted = !this.started
        return
      case 'absent':
        // Before a start this is an outdated report. After it the endpoint has restarted or dropped the
        // record, which does not prove that the task never ran.
        if (this.mayHaveReceivedStart || this.started) this.end ??= { type: 'gone', everStarted: this.started }
        return
      default:
        if (!this.end) this.lastSeenMs = Math.max(this.lastSeenMs, requestedAtMs)
    }
  }

  /** Applies a successful stop, which fences the task even if the answer has no view. */
  applyStop (view: TaskView | undefined): void {
    this.fenced = true
    this.end ??= { type: 'gone', everStarted: this.started }
    if (!view) return
    if (!view.everStarted && !this.started) this.neverStarted = true
  }

  applyRefusal (reason: string, operation: EndpointOperation): void {
    if (reason === CONNECTION_REFUSED && (operation === 'start' || operation === 'run')) this.startsUndelivered += 1
    // A task of an earlier incarnation ended with that incarnation. A stop refused as `forgotten` still fences the task.
    if (reason !== 'wrong-incarnation' && !(reason === 'forgotten' && operation === 'stop')) return
    this.fenced = true
    this.end ??= { type: 'gone', everStarted: this.started }
  }

  #applyDone (view: TaskView): void {
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
