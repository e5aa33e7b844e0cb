import VError from 'verror'

/** Whether the work of a refused or failed request has run; `unknown` means that it may have run. */
export type Execution = 'not-run' | 'ran' | 'unknown'

export interface ErrorAnswer {
  readonly status: number
  readonly execution: Execution
  readonly resendSafe: boolean
  readonly advice: string
}

/**
 * The complete list of error kinds. Every error sent to a caller, an operator or another process
 * takes its HTTP status, advice and default `execution` from this table.
 */
export const ERROR_TABLE = {
  'invalid-request': { status: 400, execution: 'not-run', resendSafe: false, advice: 'Correct the named field and send again.' },
  'body-too-large': { status: 413, execution: 'not-run', resendSafe: false, advice: 'Send a smaller body.' },
  unauthorized: { status: 401, execution: 'not-run', resendSafe: false, advice: 'Send the shared secret of this deployment.' },
  'wrong-deployment': { status: 403, execution: 'not-run', resendSafe: false, advice: 'Connect to a process of the same deployment.' },
  'not-found': { status: 404, execution: 'unknown', resendSafe: true, advice: 'The key is not known here; an idempotent request may be sent again.' },
  'unknown-queue': { status: 404, execution: 'not-run', resendSafe: false, advice: 'No queue has this host and path; ask an operator to add a route.' },
  'unknown-job': { status: 410, execution: 'unknown', resendSafe: true, advice: 'No job with this id is known.' },
  'bad-credential': { status: 401, execution: 'not-run', resendSafe: false, advice: 'Send a key of the customer that owns the job.' },
  'unknown-customer': { status: 404, execution: 'not-run', resendSafe: false, advice: 'Ask an operator to create the customer.' },
  'unknown-kind': { status: 400, execution: 'not-run', resendSafe: false, advice: 'Use a kind of work from the configuration.' },
  'key-conflict': { status: 409, execution: 'not-run', resendSafe: false, advice: 'The key belongs to a different request; use a new key.' },
  'never-fits': { status: 422, execution: 'not-run', resendSafe: false, advice: 'No worker or rack can hold this shape; ask for a smaller one.' },
  'deadline-unreachable': { status: 503, execution: 'not-run', resendSafe: true, advice: 'The backlog is longer than the deadline; retry after the stated time.' },
  'queue-full': { status: 429, execution: 'not-run', resendSafe: true, advice: 'The customer\'s queue is full; retry after the stated time.' },
  'deadline-passed': { status: 504, execution: 'not-run', resendSafe: true, advice: 'The work did not start before its deadline.' },
  cancelled: { status: 410, execution: 'not-run', resendSafe: true, advice: 'The request was cancelled before it ran.' },
  'cancelled-running': { status: 410, execution: 'unknown', resendSafe: false, advice: 'The request was cancelled after it had started.' },
  'no-quorum': { status: 503, execution: 'not-run', resendSafe: true, advice: 'The start could not be recorded; retry later.' },
  'no-leader': { status: 503, execution: 'not-run', resendSafe: true, advice: 'The failure domain has no leader at present; retry later.' },
  'shutting-down': { status: 503, execution: 'not-run', resendSafe: true, advice: 'This process is shutting down; use another entry.' },
  overloaded: { status: 503, execution: 'not-run', resendSafe: true, advice: 'A local limit is reached; retry after the stated time.' },
  'gang-not-started': { status: 503, execution: 'not-run', resendSafe: true, advice: 'The gang could not be started whole; retry later.' },
  'task-failed': { status: 502, execution: 'ran', resendSafe: false, advice: 'The work ran and failed; see the detail.' },
  'answer-too-large': { status: 502, execution: 'ran', resendSafe: false, advice: 'The work ran but its answer exceeds the limit; let it return less.' },
  'job-suspect': { status: 502, execution: 'ran', resendSafe: false, advice: 'The job failed on several workers or crashed them; correct the job.' },
  preempted: { status: 503, execution: 'ran', resendSafe: true, advice: 'The work was stopped to reclaim a guarantee.' },
  'outcome-unknown': { status: 502, execution: 'unknown', resendSafe: false, advice: 'The outcome cannot be learnt; check before sending non-idempotent work again.' },
  timeout: { status: 504, execution: 'unknown', resendSafe: false, advice: 'Fetch the outcome later by key.' },
  'version-conflict': { status: 409, execution: 'not-run', resendSafe: false, advice: 'Read the configuration in force and send the change against its version.' },
  'config-infeasible': { status: 422, execution: 'not-run', resendSafe: false, advice: 'The guaranteed shapes do not all fit; reduce the named one.' },
  'stale-config': { status: 503, execution: 'not-run', resendSafe: true, advice: 'This process has no configuration yet; retry later.' },
  'disk-full': { status: 507, execution: 'not-run', resendSafe: true, advice: 'The disk is full, or no file can be opened; free space or descriptors on the named VM.' },
  'data-damaged': { status: 500, execution: 'not-run', resendSafe: false, advice: 'Remove the data folder of this voter and let it rejoin from the others.' },
  'not-leader': { status: 503, execution: 'not-run', resendSafe: true, advice: 'Ask the leader that is named.' },
  unreachable: { status: 503, execution: 'unknown', resendSafe: true, advice: 'The other process did not answer.' },
  internal: { status: 500, execution: 'unknown', resendSafe: false, advice: 'Report this with the log lines around it.' }
} as const satisfies Record<string, ErrorAnswer>

export type ErrorKind = keyof typeof ERROR_TABLE

export interface ErrorBody {
  readonly kind: ErrorKind
  readonly detail: string
  readonly execution: Execution
  readonly resendSafe: boolean
  readonly advice: string
  readonly retryAfterMs?: number
  readonly info?: Readonly<Record<string, unknown>>
}

export interface IbisErrorOptions {
  readonly cause?: Error
  readonly retryAfterMs?: number
  /** Overrides the value in the table where more is known, for example after a fenced stop. */
  readonly execution?: Execution
  readonly info?: Readonly<Record<string, unknown>>
}

/** An error of a kind in `ERROR_TABLE`; `toBody` and `fromBody` convert it to and from its JSON form. */
export class IbisError extends VError {
  readonly kind: ErrorKind
  readonly execution: Execution
  readonly retryAfterMs: number | undefined
  readonly details: Readonly<Record<string, unknown>> | undefined

  constructor (kind: ErrorKind, detail: string, options: IbisErrorOptions = {}) {
    super({ name: 'IbisError', ...(options.cause && { cause: options.cause }), info: { kind, ...options.info } }, '%s', detail)
    this.kind = kind
    this.execution = options.execution ?? ERROR_TABLE[kind].execution
    this.retryAfterMs = options.retryAfterMs
    this.details = options.info
  }

  /** Returns an `IbisError` unchanged and wraps any other value in one of kind `internal`. */
  static from (err: unknown): IbisError {
    if (err instanceof IbisError) return err
    const cause = err instanceof Error ? err : new Error(String(err))
    return new IbisError('internal', cause.message, { cause })
  }

  static fromBody (body: ErrorBody): IbisError {
    return new IbisError(body.kind, body.detail, {
      execution: body.execution,
      ...(body.retryAfterMs !== undefined && { retryAfterMs: body.retryAfterMs }),
      ...(body.info && { info: body.info })
    })
  }

  get status (): number {
    return ERROR_TABLE[this.kind].status
  }

  toBody (): ErrorBody {
    const entry = ERROR_TABLE[this.kind]
    return {
      kind: this.kind,
      detail: this.message,
      execution: this.execution,
      resendSafe: entry.resendSafe,
      advice: entry.advice,
      ...(this.retryAfterMs !== undefined && { retryAfterMs: this.retryAfterMs }),
      ...(this.details && { info: this.details })
    }
  }
}

export const isErrorKind = (value: unknown): value is ErrorKind =>
  typeof value === 'string' && Object.hasOwn(ERROR_TABLE, value)
