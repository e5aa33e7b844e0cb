import CRC32 from 'crc-32'

const scoreOf = (key: string, candidate: string): number => {
  // CRC-32 is linear, so equal-length candidates would keep a fixed order between keys; the
  // multiplicative finalizer (murmur3) breaks that up.
  let h = CRC32.str(`${candidate}\u0000${key}`) | 0
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b)
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35)
  return (h ^ (h >>> 16)) >>> 0
}

/** Rendezvous hashing: ranks the candidates for a key; removing one candidate moves only its keys. */
export const rankByRendezvous = <T extends string>(key: string, candidates: readonly T[]): T[] =>
  [...candidates]
    .map((candidate) => ({ candidate, score: scoreOf(key, candidate) }))
    .sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1))
    .map(({ candidate }) => candidate)
