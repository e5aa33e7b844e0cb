import type { TimerService } from '@ibisstair/timers'

/** A wait that can be cut short. At most one is in progress. */
export class InterruptiblePause {
  readonly #timers: TimerService
  #end: () => void = () => {}

  constructor (timers: TimerService) {
    this.#timers = timers
  }

  /** Resolves after the time, or when `interrupt` is called. */
  async wait (ms: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const stopTimer = this.#timers.subscribe(ms, resolve)
      this.#end = () => {
        stopTimer()
        resolve()
      }
    })
    this.#end = () => {}
  }

  interrupt (): void {
    this.#end()
  }
}
