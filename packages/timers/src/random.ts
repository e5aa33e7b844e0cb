import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

/** Seeded generator, the single source of random numbers. The same seed produces the same sequence. */
export class RandomSource {
  readonly #rng: RandomGenerator

  constructor (readonly seed: number) {
    this.#rng = xoroshiro128plus(seed)
  }

  /** Creates a source with a random seed, which differs between processes started at the same time. */
  static fromEntropy (): RandomSource {
    return new RandomSource(Math.floor(Math.random() * 0x7fffffff))
  }

  /** Returns a uniformly distributed number in [0, 1). */
  float (): number {
    return uniformFloat64(this.#rng)
  }

  /** Returns a uniformly distributed integer in [min, max]. */
  int (min: number, max: number): number {
    return uniformInt(this.#rng, min, max)
  }

  /** Returns a random item, or undefined when there is none. */
  pick<T>(items: readonly T[]): T | undefined {
    if (items.length === 0) return undefined
    return items[this.int(0, items.length - 1)]
  }

  /** Returns a shuffled copy; does not change `items`. */
  shuffle<T>(items: readonly T[]): T[] {
    const out = [...items]
    for (let i = out.length - 1; i > 0; i--) {
      const j = this.int(0, i)
      const swapped = out[i]!
      out[i] = out[j]!
      out[j] = swapped
    }
    return out
  }

  /** Returns an exponentially distributed number with the given mean. */
  exponential (mean: number): number {
    return -mean * Math.log(1 - this.float())
  }

  /** Returns 48 random bits as 12 hexadecimal digits, for incarnations and ids. */
  token (): string {
    const randomHex24 = (): string => this.int(0, 0xffffff).toString(16).padStart(6, '0')
    return randomHex24() + randomHex24()
  }
}
