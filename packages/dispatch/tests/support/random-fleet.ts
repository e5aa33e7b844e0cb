import { asId, type RackId } from '@ibisstair/common'
import type { EndpointRecord, Resources, StepSpec } from '@ibisstair/jobs'
import { RandomSource } from '@ibisstair/timers'
import { ACCELERATORS, Fleet } from './planned-fleet.ts'

const LABEL = 'fast'
const DAY_MS = 30_000
const EVENT_MS = 500
const FULL: Resources = { cpuMilli: 32_000, memMb: 131_072, accelerators: ACCELERATORS }

/** A part of an endpoint, of all that it has. */
const toShare = (accelerators: number): Resources => ({ cpuMilli: 4_000 * accelerators, memMb: 16_384 * accelerators, accelerators })

const pickResources = (random: RandomSource): Resources => random.pick([
  toShare(random.pick([1, 2, 4, 8])!),
  toShare(random.pick([1, 2, 4, 8])!),
  { cpuMilli: 1_000, memMb: 100, accelerators: random.pick([1, 2, 4, 8])! },
  { cpuMilli: 3_700, memMb: 11_000, accelerators: random.pick([1, 2, 4])! },
  { cpuMilli: 2_800, memMb: 8_200, accelerators: random.pick([0, 1])! },
  { cpuMilli: 13_000, memMb: 68_000, accelerators: random.pick([0, 1])! }
])!

const isOneIn = (random: RandomSource, n: number): boolean => random.int(1, n) === 1

const createRandomStep = (random: RandomSource, racks: number): Partial<StepSpec> => ({
  count: random.pick([1, 1, 2, 4, 8, 13, 20])!,
  resources: pickResources(random),
  estimateMs: random.pick([500, 2_500, 8_000])!,
  gang: isOneIn(random, 3),
  tightlyCoupled: isOneIn(random, 3),
  dataRack: isOneIn(random, 3) ? asId<RackId>(`r${random.int(0, racks - 1)}`) : null,
  requiredLabel: isOneIn(random, 4) ? LABEL : null,
  maxPerEndpoint: isOneIn(random, 5) ? random.int(1, 3) : null
})

const submitRandomJob = (fleet: Fleet, random: RandomSource, id: string, racks: number): void => {
  const priority = random.int(0, 2)
  const first = createRandomStep(random, racks)
  if (isOneIn(random, 4)) fleet.submit(id, { ...first, longRunning: true }, { priority })
  else if (isOneIn(random, 3)) fleet.submit(id, first, { priority, recurrence: { occurrences: 3, startAtMs: fleet.nowMs, intervalMs: random.pick([500, 1_500, 4_000])! } })
  else if (isOneIn(random, 3)) fleet.submitSteps(id, [first, { ...createRandomStep(random, racks), dependsOn: [0] }], { priority })
  else fleet.submit(id, first, { priority })
}

const changeEndpoints = (fleet: Fleet, random: RandomSource, racks: number): void => {
  const sample = (share: number): EndpointRecord[] => random.shuffle(fleet.endpoints).slice(0, Math.ceil(share * fleet.endpoints.length))
  const rack = fleet.listRack(random.int(0, racks - 1))
  const shrunk = { ...FULL, accelerators: random.int(1, 7), cpuMilli: random.int(8, 32) * 1_000, memMb: random.int(32, 128) * 1_024 }
  const endpoint = random.pick(fleet.endpoints)!
  const change = random.pick([
    () => { fleet.takeOutOfUse(rack, random.pick([2_000, 6_000, 15_000])!) },
    () => { fleet.takeOutOfUse(sample(random.pick([0.2, 0.5])!), random.pick([2_000, 6_000, 15_000])!) },
    () => { fleet.changeCapacity(sample(0.3), shrunk) },
    () => { fleet.changeCapacity(sample(0.5), FULL) },
    () => { fleet.drain(sample(0.1)) },
    () => { fleet.crash(endpoint, random.pick([100, 1_000, 3_000])!) },
    () => { fleet.crash(endpoint, random.pick([100, 1_000, 3_000])!) },
    () => { fleet.remove(endpoint) },
    () => { fleet.addEndpoint(random.int(0, racks - 1), 100 + fleet.nowMs / EVENT_MS, isOneIn(random, 2) ? { labels: [LABEL] } : {}) }
  ])!
  change()
}

/** A fleet on which jobs of all shapes arrive and end, while endpoints come, go and change. The same seed gives the same day. */
export const runRandomDay = (seed: number): Fleet => {
  const random = new RandomSource(seed)
  const racks = random.int(2, 6)
  const fleet = new Fleet(Array.from({ length: racks }, () => random.int(2, 5)), { endsRuns: true })
  fleet.endpoints.forEach((endpoint, i) => {
    if (i % 3 === 0) fleet.changeLabels(endpoint, [...endpoint.labels, LABEL])
  })
  const load = random.pick([4, 8, 16])!
  const faults = random.pick([4, 12, 1_000])!
  const background = random.int(0, 4)
  for (let i = 0; i < background; i++) fleet.submit(`b${i}`, { count: random.int(2, 10), longRunning: true, resources: pickResources(random) }, { priority: random.int(0, 2) })
  for (let i = 0; fleet.nowMs < DAY_MS; i++) {
    if (isOneIn(random, load)) submitRandomJob(fleet, random, `j${i}`, racks)
    if (isOneIn(random, 4)) fleet.submit(`u${i}`, { count: random.int(1, 6), estimateMs: 1_000 }, { priority: 0 })
    if (isOneIn(random, faults) && fleet.endpoints.length > 4) changeEndpoints(fleet, random, racks)
    fleet.run(EVENT_MS)
  }
  return fleet
}
