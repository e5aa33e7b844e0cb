import type { NodeId } from '@ibisstair/common'
import { formatTable } from '@ibisstair/settings'
import { mergeCounters, mergeObjectives, reportBurn, type BurnReport, type WindowBurn } from '@ibisstair/telemetry'
import type { MetricsBodies, MissingSource } from './sources.ts'

/** A larger difference between the times of the entries' reports distorts the 5 minute window. */
const MAX_SPREAD_MS = 60_000

/** Burn rates of all kinds of work, merged from the reports of the entries. */
export interface FleetBurn {
  /** Unix time of the newest body, at which the windows end. */
  readonly atMs: number
  /** Time between the oldest and the newest body, caused by clock skew or old files. */
  readonly spreadMs: number
  readonly nodes: readonly NodeId[]
  readonly missing: readonly MissingSource[]
  readonly kinds: readonly BurnReport[]
  readonly counters: Readonly<Record<string, number>>
}

export const createFleetBurn = ({ bodies, missing }: MetricsBodies, threshold: number): FleetBurn => {
  const times = bodies.map((body) => body.atMs)
  const atMs = Math.max(...times)
  return {
    atMs,
    spreadMs: atMs - Math.min(...times),
    nodes: [...new Set(bodies.map(({ node }) => node))].sort(),
    missing,
    kinds: mergeObjectives(bodies).map((counts) => reportBurn(counts, atMs, threshold)),
    counters: mergeCounters(bodies)
  }
}

export const isBurning = ({ kinds }: FleetBurn): boolean => kinds.some(({ verdict }) => verdict === 'burning')

const formatPercent = (fraction: number, digits: number): string => `${Number((fraction * 100).toFixed(digits))} %`

const formatWindow = ({ burnRate, good, total }: WindowBurn): string =>
  total === 0 ? '-' : `${burnRate.toFixed(2)} (${total - good} of ${total} late)`

const formatKindRow = (report: BurnReport): string[] => [
  report.kind,
  `${formatPercent(report.target, 4)} within ${report.startWithinMs} ms${report.mixed ? ' (differs between entries)' : ''}`,
  formatWindow(report.short),
  formatWindow(report.long),
  report.long.total === 0 ? '-' : formatPercent(report.budgetRemaining, 1),
  report.verdict
]

const HEADER = ['kind', 'objective', 'burn 5 min', 'burn 1 h', 'budget left', 'verdict']

const formatWarnings = ({ missing, spreadMs }: FleetBurn): string[] => [
  ...missing.map(({ source, detail }) => `missing: ${source}: ${detail}`),
  ...(spreadMs > MAX_SPREAD_MS ? [`the reports are up to ${Math.round(spreadMs / 1_000)} s apart`] : [])
]

export const formatFleetBurn = (burn: FleetBurn): string => {
  const title = `burn at ${new Date(burn.atMs).toISOString()} from ${burn.nodes.join(', ')}`
  const table = burn.kinds.length === 0 ? 'no kinds of work\n' : formatTable(HEADER, burn.kinds.map(formatKindRow))
  return `${[title, ...formatWarnings(burn)].join('\n')}\n${table}`
}
