export interface QueueNode<T> {
  readonly value: T
  prev: QueueNode<T> | undefined
  next: QueueNode<T> | undefined
  queue: LinkedQueue<T> | undefined
}

/** First-in-first-out list whose members can be removed in constant time from any position. */
export class LinkedQueue<T> {
  #head: QueueNode<T> | undefined
  #tail: QueueNode<T> | undefined
  #size = 0

  get size (): number {
    return this.#size
  }

  get head (): QueueNode<T> | undefined {
    return this.#head
  }

  get tail (): QueueNode<T> | undefined {
    return this.#tail
  }

  push (value: T): QueueNode<T> {
    const node: QueueNode<T> = { value, prev: this.#tail, next: undefined, queue: this }
    if (this.#tail) this.#tail.next = node
    else this.#head = node
    this.#tail = node
    this.#size += 1
    return node
  }

  pushFront (value: T): QueueNode<T> {
    const node: QueueNode<T> = { value, prev: undefined, next: this.#head, queue: this }
    if (this.#head) this.#head.prev = node
    else this.#tail = node
    this.#head = node
    this.#size += 1
    return node
  }

  remove (node: QueueNode<T>): void {
    if (node.queue !== this) return
    if (node.prev) node.prev.next = node.next
    else this.#head = node.next
    if (node.next) node.next.prev = node.prev
    else this.#tail = node.prev
    node.queue = undefined
    this.#size -= 1
  }
}
