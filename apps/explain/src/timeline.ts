/** One log line of a process. */
export interface LogLine {
  readonly time: string
  readonly node: string
  readonly message: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Messages of changes in the deployment that may affect a job but do not mention its id. */
const CHANGE_MESSAGES: ReadonlySet<string> = new Set([
  'begins to lead', 'no longer leads', 'configuration in force', 'endpoint does not answer', 'endpoint removed', 'endpoint leaves', 'endpoint crashed', 'endpoint ended', 'endpoints out of use', 'endpoints back in use',
  'starts were not committed in time; planning again once their outcome is known', 'planning pass failed; no work starts until one succeeds',
  'lease of an unreachable endpoint expired; its runs count as lost', 'endpoint that leaves accepts no more connections; its runs count as lost',
  'successor of an endpoint does not tell what became of its runs; they count as lost', 'control started', 'control stops', 'entry started', 'entry stops'
])

/** Parses a log line in JSON, which may follow a prefix added by a log collector. Returns null for any other text. */
export const parseLine = (text: string): LogLine | null => {
  const start = text.indexOf('{"time"')
  if (start < 0) return null
  try {
    const { time, node, message, fields = {} } = JSON.parse(text.slice(start)) as LogLine
    return typeof time === 'string' && typeof message === 'string' ? { time, node, message, fields } : null
  } catch {
    return null
  }
}

const concernsJob = ({ fields }: LogLine, id: string): boolean =>
  fields.job === id || (typeof fields.task === 'string' && fields.task.startsWith(`${id}.`)) || (typeof fields.path === 'string' && fields.path.endsWith(`/${id}`))

const compareByTime = (a: LogLine, b: LogLine): number => a.time.localeCompare(b.time)

/**
 * Returns the log lines of one job in order of time; with `includeChanges` also the changes in the deployment
 * between its first and its last line.
 */
export const buildTimeline = (lines: readonly LogLine[], id: string, includeChanges: boolean): LogLine[] => {
  const jobLines = lines.filter((line) => concernsJob(line, id)).sort(compareByTime)
  const [first] = jobLines
  const last = jobLines.at(-1)
  if (!includeChanges || !first || !last) return jobLines
  const changeLines = lines.filter(({ message, time }) => CHANGE_MESSAGES.has(message) && time >= first.time && time <= last.time)
  return [...jobLines, ...changeLines].sort(compareByTime)
}

export const formatLine = ({ time, node, message, fields }: LogLine): string =>
  `${time} ${node} ${message}${Object.entries(fields).map(([name, value]) => ` ${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join('')}`
