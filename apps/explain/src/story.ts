/** One log line of a process. */
export interface LogLine {
  readonly time: string
  readonly node: string
  readonly message: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Changes that may explain what happened to a job without naming it. */
const CHANGE_MESSAGES: ReadonlySet<string> = new Set([
  'begins to lead', 'no longer leads', 'configuration in force', 'endpoint does not answer', 'endpoint removed', 'endpoint leaves',
  'lease of an unreachable endpoint expired; its runs count as lost', 'control started', 'control stops', 'entry started', 'entry stops'
])

/** Reads a line of JSON; collectors may put a prefix before it. Null for anything else. */
export const parseLine = (text: string): LogLine | null => {
  const begin = text.indexOf('{"time"')
  if (begin < 0) return null
  try {
    const { time, node, message, fields = {} } = JSON.parse(text.slice(begin)) as LogLine
    return typeof time === 'string' && typeof message === 'string' ? { time, node, message, fields } : null
  } catch {
    return null
  }
}

const mentions = ({ fields }: LogLine, id: string): boolean =>
  fields.job === id || (typeof fields.task === 'string' && fields.task.startsWith(`${id}.`)) || (typeof fields.path === 'string' && fields.path.endsWith(`/${id}`))

const byTime = (a: LogLine, b: LogLine): number => a.time.localeCompare(b.time)

/** The lines of one job in order of time; with `changes` also what changed around it meanwhile. */
export const tellStory = (lines: readonly LogLine[], id: string, changes: boolean): LogLine[] => {
  const own = lines.filter((line) => mentions(line, id)).sort(byTime)
  const [first] = own
  const last = own.at(-1)
  if (!changes || !first || !last) return own
  const around = lines.filter(({ message, time }) => CHANGE_MESSAGES.has(message) && time >= first.time && time <= last.time)
  return [...own, ...around].sort(byTime)
}

export const formatLine = ({ time, node, message, fields }: LogLine): string =>
  `${time} ${node} ${message}${Object.entries(fields).map(([name, value]) => ` ${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join('')}`
