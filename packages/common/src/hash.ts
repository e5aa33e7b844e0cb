import CRC32 from 'crc-32'

const scoreOf = (key: string, candidate: string): number => {
  // CRC-32 is linear, so candidates of equal length would keep a fixed order for different keys.
  // The multiplicative finalizer of murmur3 prevents that.
  let hash = CRC32.str(`${candidate}\u0000${key}`) | 0
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/**
 * Ranks the candidates for a key by rendezvous hashing: removing a candidate moves only the keys
 * that it had.
 */
export const rankByRendezvous = <T extends string>(key: string, candidates: readonly T[]): T[] =>
  [...candidates]
    .map((candidate) => ({ candidate, score: scoreOf(key, candidate) }))
    .sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1))
    .map(({ candidate }) => candidate)
