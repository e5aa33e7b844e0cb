/**
 * The part that a run may have had in the crash of its endpoint:
 * `sole`: it is the only job that had just started work there;
 * `shared`: it is one of several jobs that had just started work there;
 * `possible`: no job had just started, or the time of the crash is unknown;
 * `bystander`: another job had just started, or the run had lasted too long to be the cause;
 * `outside`: so many endpoints crashed together that the cause lies outside them.
 */
export type Blame = 'sole' | 'shared' | 'possible' | 'bystander' | 'outside'

/** A run that was active on an endpoint when it crashed. */
export interface CrashedRun {
  /** The job of the run. Runs of one job share the blame. */
  readonly job: string
  /** Time from the start of the run to the crash; null when the time of the crash is not known. */
  readonly ranMs: number | null
  /** Other endpoints that crashed at about the same time and on which the job did not run. */
  readonly crashesElsewhere: number
}

/** A crash of an endpoint as one of the tasks that ran there remembers it. */
export interface TaskCrash {
  /** Address of the endpoint; it stays the same when the endpoint restarts. */
  readonly address: string
  readonly run: number
  readonly ranMs: number | null
  readonly blame: Blame
  /** Unix milliseconds at which the crash became known. */
  readonly atMs: number
}

/**
 * What the crashes under a task say about it: `clear` runs like any other task, `suspect` runs apart from
 * other jobs until it has lasted longer than it did before, `guilty` is not started again.
 */
export type Verdict = 'clear' | 'suspect' | 'guilty'
