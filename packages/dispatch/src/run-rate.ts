/** Parts of a run that were slower than the usual part by this factor are stalls. */
const STALL_FACTOR = 3

/** Parts of a run that were faster than the usual part by this factor are jumps of its progress. */
const JUMP_FACTOR = 4

/** Observations that are kept of one run; later ones are only used for its end. */
const MAX_OBSERVATIONS = 32

/** Progress of a run that has done all of its work. */
export const COMPLETE_PERCENT = 100

interface Observation {
  readonly percent: number
  readonly atMs: number
}

interface Part {
  readonly ms: number
  readonly percents: number
}

/** Time that a run takes for a percent of its work, without stalls. */
export interface ObservedRate {
  readonly msPerPercent: number
  /** Time that the rate was taken from. */
  readonly observedMs: number
}

const getPace = ({ ms, percents }: Part): number => ms / percents

/**
 * Finds the rate of one run from the progress that its endpoint reports, for the comparison of endpoints. Stalls and jumps
 * are left out, and a run whose progress goes back or exceeds 100 has no rate.
 */
export class RunRate {
  readonly #observations: Observation[] = []
  #isDiscarded = false

  /** The endpoint has confirmed the start of the run. */
  begin (atMs: number): void {
    if (this.#observations.length === 0) this.#observations.push({ percent: 0, atMs })
  }

  /** Returns whether the report tells something new. */
  record (percent: number, atMs: number): boolean {
    if (this.#isDiscarded) return false
    const last = this.#observations.at(-1)
    if (!(percent >= (last?.percent ?? 0) && percent <= COMPLETE_PERCENT)) {
      this.discard()
      return false
    }
    if (percent === last?.percent || this.#observations.length >= MAX_OBSERVATIONS) return false
    this.#observations.push({ percent, atMs })
    return true
  }

  /** Ignores the run from now on: the times of its reports are not those of its progress, as when its endpoint could not be reached. */
  discard (): void {
    this.#isDiscarded = true
  }

  /** Returns null until the run has advanced between two reports, and for a run without a sound rate. */
  get (): ObservedRate | null {
    return this.#isDiscarded ? null : toRate(this.#observations)
  }

  /** Returns the rate of a run that is done; null if its start was not observed. */
  getAtEnd (atMs: number): ObservedRate | null {
    if (this.#isDiscarded || this.#observations[0]?.percent !== 0) return null
    return toRate([...this.#observations, { percent: COMPLETE_PERCENT, atMs }])
  }
}

const toRate = (observations: readonly Observation[]): ObservedRate | null => {
  const parts = observations.slice(1)
    .map(({ percent, atMs }, i): Part => ({ ms: atMs - observations[i]!.atMs, percents: percent - observations[i]!.percent }))
    .filter(({ ms, percents }) => ms > 0 && percents > 0)
  if (parts.length === 0) return null
  const paces = parts.map(getPace).sort((a, b) => a - b)
  const usual = paces[(paces.length - 1) >> 1]!
  const sound = parts.filter((part) => getPace(part) <= STALL_FACTOR * usual && getPace(part) >= usual / JUMP_FACTOR)
  const observedMs = sound.reduce((sum, { ms }) => sum + ms, 0)
  return { msPerPercent: observedMs / sound.reduce((sum, { percents }) => sum + percents, 0), observedMs }
}
