/** Limits the memory that several readers use together. */
export class ByteBudget {
  readonly #maxBytes: number
  #usedBytes = 0

  constructor (maxBytes: number) {
    this.#maxBytes = maxBytes
  }

  get usedBytes (): number {
    return this.#usedBytes
  }

  /** Returns false, and takes nothing, if the budget would be exceeded. */
  tryTake (bytes: number): boolean {
    if (this.#usedBytes + bytes > this.#maxBytes) return false
    this.#usedBytes += bytes
    return true
  }

  give (bytes: number): void {
    this.#usedBytes -= bytes
  }
}
