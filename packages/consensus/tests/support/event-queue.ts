interface ScheduledEvent {
  readonly at: number
  readonly order: number
  readonly fn: () => void
}

/** Far more than a run needs; detects replicas that answer each other endlessly. */
const MAX_EVENTS = 1_000_000

/** Virtual time for a cluster of replicas: a binary heap ordered by time, then by order of scheduling. */
export class EventQueue {
  now = 0
  #order = 0
  #executed = 0
  readonly #heap: ScheduledEvent[] = []

  schedule (delayMs: number, fn: () => void): void {
    const heap = this.#heap
    const item = { at: this.now + delayMs, order: this.#order++, fn }
    let i = heap.push(item) - 1
    while (i > 0) {
      const parent = (i - 1) >> 1
      if (!EventQueue.#isBefore(item, heap[parent]!)) break
      heap[i] = heap[parent]!
      i = parent
    }
    heap[i] = item
  }

  run (ms: number): void {
    const end = this.now + ms
    for (let top = this.#heap[0]; top && top.at <= end; top = this.#heap[0]) {
      this.#pop()
      this.now = top.at
      this.#executed += 1
      if (this.#executed > MAX_EVENTS) throw new Error(`more than ${MAX_EVENTS} events by ${this.now} ms`)
      top.fn()
    }
    this.now = end
  }

  static #isBefore (a: ScheduledEvent, b: ScheduledEvent): boolean {
    return a.at < b.at || (a.at === b.at && a.order < b.order)
  }

  #pop (): void {
    const heap = this.#heap
    const last = heap.pop()!
    if (heap.length === 0) return
    let i = 0
    for (;;) {
      let child = 2 * i + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && EventQueue.#isBefore(heap[child + 1]!, heap[child]!)) child += 1
      if (!EventQueue.#isBefore(heap[child]!, last)) break
      heap[i] = heap[child]!
      i = child
    }
    heap[i] = last
  }
}
