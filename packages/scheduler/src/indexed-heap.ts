/** Binary heap that can move or remove any member in logarithmic time after its key changed. */
export class IndexedHeap<T> {
  readonly #items: T[] = []
  readonly #positions = new Map<T, number>()
  readonly #isBefore: (a: T, b: T) => boolean

  constructor (before: (a: T, b: T) => boolean) {
    this.#isBefore = before
  }

  get size (): number {
    return this.#items.length
  }

  peek (): T | undefined {
    return this.#items[0]
  }

  push (item: T): void {
    this.#items.push(item)
    this.#positions.set(item, this.#items.length - 1)
    this.#siftUp(this.#items.length - 1)
  }

  update (item: T): void {
    const at = this.#positions.get(item)
    if (at === undefined) return
    this.#siftUp(at)
    this.#siftDown(this.#positions.get(item)!)
  }

  remove (item: T): void {
    const at = this.#positions.get(item)
    if (at === undefined) return
    const last = this.#items.pop()!
    this.#positions.delete(item)
    if (last === item) return
    this.#set(at, last)
    this.#siftUp(at)
    this.#siftDown(this.#positions.get(last)!)
  }

  #set (at: number, item: T): void {
    this.#items[at] = item
    this.#positions.set(item, at)
  }

  #siftUp (from: number): void {
    const item = this.#items[from]!
    let at = from
    while (at > 0) {
      const parent = (at - 1) >> 1
      if (!this.#isBefore(item, this.#items[parent]!)) break
      this.#set(at, this.#items[parent]!)
      at = parent
    }
    this.#set(at, item)
  }

  #siftDown (from: number): void {
    const item = this.#items[from]!
    const size = this.#items.length
    let at = from
    for (;;) {
      let child = 2 * at + 1
      if (child >= size) break
      if (child + 1 < size && this.#isBefore(this.#items[child + 1]!, this.#items[child]!)) child += 1
      if (!this.#isBefore(this.#items[child]!, item)) break
      this.#set(at, this.#items[child]!)
      at = child
    }
    this.#set(at, item)
  }
}
