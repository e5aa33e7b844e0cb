import { readFileSync } from 'node:fs'
import { IbisError } from '@ibisstair/common'
import { formatEntryTarget, OperatorClient, parseEntryTarget, type EntryTarget } from '@ibisstair/operator-client'
import { loadSecret, UsageError, type CommandLine } from '@ibisstair/settings'
import { parseMetricsBody, type MetricsBody } from '@ibisstair/telemetry'
import type { TimerService } from '@ibisstair/timers'

/** An entry that does not respond within this time is reported as missing. */
const READ_TIMEOUT_MS = 5_000

export interface MissingSource {
  readonly source: string
  readonly detail: string
}

export interface MetricsBodies {
  readonly bodies: readonly MetricsBody[]
  readonly missing: readonly MissingSource[]
}

interface Source {
  readonly name: string
  readonly read: () => Promise<MetricsBody>
}

const parseTargets = (command: CommandLine): EntryTarget[] => {
  try {
    return command.getStrings('entry').map(parseEntryTarget)
  } catch (err) {
    throw new UsageError((err as Error).message)
  }
}

const createEntrySources = (command: CommandLine, timers: TimerService): Source[] => {
  const targets = parseTargets(command)
  if (targets.length === 0) return []
  const secret = loadSecret(command.getRequired('secret-file'))
  return targets.map((target) => ({
    name: formatEntryTarget(target),
    read: () => new OperatorClient({ entries: [target], secret, timers, timeoutMs: READ_TIMEOUT_MS, rounds: 1 }).getMetrics()
  }))
}

const createFileSources = (command: CommandLine): Source[] => command.positionals.map((file) => ({
  name: file,
  read: async () => parseMetricsBody(JSON.parse(readFileSync(file, 'utf8')), file)
}))

/** Reads all sources concurrently. Throws if no source is given or none can be read. */
export const readBodies = async (command: CommandLine, timers: TimerService): Promise<MetricsBodies> => {
  const sources = [...createEntrySources(command, timers), ...createFileSources(command)]
  if (sources.length === 0) throw new UsageError('--entry or FILE is required')
  const results = await Promise.allSettled(sources.map(({ read }) => read()))
  const bodies = results.flatMap((result) => (result.status === 'fulfilled' ? [result.value] : []))
  const missing = results.flatMap((result, i) => (
    result.status === 'rejected' ? [{ source: sources[i]!.name, detail: IbisError.from(result.reason).message }] : []
  ))
  if (bodies.length > 0) return { bodies, missing }
  throw new IbisError('unreachable', missing.map(({ source, detail }) => `${source}: ${detail}`).join('; '))
}
