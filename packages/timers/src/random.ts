import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

/** The one source of random numbers; a seed replays the same sequence. */
export class RandomSource {
  readonly #rng: RandomGenerator

  constructor (readonly seed: number) {
    this.#rng = xoroshiro128plus(seed)
  }

  /** A seed that differs between processes started at the same time. */
  static fromEntropy (): RandomSource {
    return new RandomSource(Math.floor(Math.random() * 0x7fffffff))
  }

  /** Uniform in [0, 1). */
  float (): number {
    return uniformFloat64(this.#rng)
  }

  /** Uniform integer in [min, max]. */
  int (min: number, max: number): number {
    return uniformInt(this.#rng, min, max)
  }

  pick<T>(items: readonly T[]): T | undefined {
    if (items.length === 0) return undefined
    return items[this.int(0, items.length - 1)]
  }

  shuffle<T>(items: readonly T[]): T[] {
    const out = [...items]
    for (let i = out.length - 1; i > 0; i--) {
      const j = this.int(0, i)
      const held = out[i]!
      out[i] = out[j]!
      out[j] = held
    }
    return out
  }

  exponential (mean: number): number {
    return -mean * Math.log(1 - this.float())
  }

  /** 48 random bits as hex, for incarnations and ids. */
  token (): string {
    const half = (): string => this.int(0, 0xffffff).toString(16).padStart(6, '0')
    return half() + half()
  }
}
