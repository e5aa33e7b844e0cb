import type { TimerService, Unsubscribe } from './types.ts'

interface Entry {
  readonly at: number
  readonly order: number
  readonly fn: () => void
}

/** Virtual time for tests and the bench: nothing fires until `advance` or `runNext` is called. */
export class ManualTimerService implements TimerService {
  #now = 0
  #order = 0
  // Binary heap by (at, order): the bench keeps tens of thousands of timers.
  readonly #heap: Entry[] = []
  readonly #cancelled = new WeakSet<Entry>()

  now (): number {
    return this.#now
  }

  wallClock (): number {
    return this.#now
  }

  subscribe (delayMs: number, fn: () => void): Unsubscribe {
    const entry = { at: this.#now + Math.max(0, delayMs), order: this.#order++, fn }
    this.#push(entry)
    return () => { this.#cancelled.add(entry) }
  }

  every (periodMs: number, fn: () => void): Unsubscribe {
    let stop: Unsubscribe
    const arm = (): void => {
      stop = this.subscribe(periodMs, () => {
        arm()
        fn()
      })
    }
    arm()
    return () => stop()
  }

  delay (delayMs: number): Promise<void> {
    return new Promise((resolve) => { this.subscribe(delayMs, resolve) })
  }

  /** Fires the next timer and moves time to it; returns false when none is left. */
  runNext (limit = Infinity): boolean {
    for (;;) {
      const top = this.#heap[0]
      if (!top || top.at > limit) return false
      this.#pop()
      if (this.#cancelled.has(top)) continue
      this.#now = Math.max(this.#now, top.at)
      top.fn()
      return true
    }
  }

  advance (ms: number): void {
    const end = this.#now + ms
    while (this.runNext(end));
    this.#now = end
  }

  static #before (a: Entry, b: Entry): boolean {
    return a.at < b.at || (a.at === b.at && a.order < b.order)
  }

  #push (entry: Entry): void {
    const heap = this.#heap
    let i = heap.push(entry) - 1
    while (i > 0) {
      const parent = (i - 1) >> 1
      if (!ManualTimerService.#before(entry, heap[parent]!)) break
      heap[i] = heap[parent]!
      i = parent
    }
    heap[i] = entry
  }

  #pop (): void {
    const heap = this.#heap
    const last = heap.pop()!
    if (heap.length === 0) return
    let i = 0
    for (;;) {
      let child = 2 * i + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && ManualTimerService.#before(heap[child + 1]!, heap[child]!)) child += 1
      if (!ManualTimerService.#before(heap[child]!, last)) break
      heap[i] = heap[child]!
      i = child
    }
    heap[i] = last
  }
}
