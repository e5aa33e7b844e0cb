// Checks the promises for one run by comparing the outcomes that callers received with the starts that the endpoints recorded.
import type { StartRecord } from './fake-endpoint.ts'

/** Outcome of one request as its caller received it. */
export interface CallerReport {
  readonly customer: string
  readonly key: string
  readonly kind: string
  readonly idempotent: boolean
  readonly tasks: number
  /** Returns the expected answer of task `index`; it names the request that the task belongs to. */
  readonly expectAnswer: (index: number) => unknown
  readonly status: number
  readonly answer?: ReadonlyArray<{ readonly index: number, readonly body: unknown }>
  readonly error?: { readonly kind: string, readonly execution: string, readonly detail?: string }
}

export interface Violation {
  readonly promise: string
  readonly detail: string
}

const toName = ({ customer, key }: { readonly customer: string, readonly key: string }): string => `${customer}/${key}`

const checkAnswer = (report: CallerReport): Violation[] => {
  const { answer } = report
  if (!answer) return []
  const expected = Array.from({ length: report.tasks }, (_, index) => ({ index, body: report.expectAnswer(index) }))
  if (JSON.stringify(answer) === JSON.stringify(expected)) return []
  return [{ promise: 'each caller receives the whole answer to its own request', detail: `${toName(report)}: ${JSON.stringify(answer)}` }]
}

const checkNotRun = (report: CallerReport, records: readonly StartRecord[]): Violation[] => {
  if (report.error?.execution !== 'not-run' || records.length === 0) return []
  return [{ promise: 'a refusal that says "not run" is true', detail: `${toName(report)} (${report.error.kind}): ${records.length} task(s) started` }]
}

const checkAtMostOnce = (report: CallerReport, records: readonly StartRecord[]): Violation[] => {
  if (report.idempotent) return []
  const counts = new Map<number, number>()
  for (const { index } of records) counts.set(index, (counts.get(index) ?? 0) + 1)
  const repeated = [...counts].filter(([, count]) => count > 1)
  return repeated.map(([index, count]) => ({ promise: 'a non-idempotent request runs at most once', detail: `${toName(report)}: task ${index} started ${count} times` }))
}

/** Checks that in every attempt of a gang all tasks started, or that those which started were killed and gave no answer. */
const checkGangs = (report: CallerReport, records: readonly StartRecord[]): Violation[] => {
  const attempts = new Map<string, StartRecord[]>()
  for (const record of records) {
    const attempt = record.taskId.slice(0, record.taskId.lastIndexOf('.'))
    attempts.set(attempt, [...(attempts.get(attempt) ?? []), record])
  }
  return [...attempts].flatMap(([attempt, started]) => {
    if (started.length === report.tasks || started.every(({ end }) => end === 'killed')) return []
    return [{ promise: 'no gang of tasks runs partially', detail: `${attempt}: ${started.length} of ${report.tasks} tasks started, ended ${started.map(({ end }) => end ?? 'running').join(', ')}` }]
  })
}

/** Returns every violation of a promise found in the caller reports and the start records. */
export const checkPromises = (reports: readonly CallerReport[], records: readonly StartRecord[]): Violation[] => {
  const byName = new Map<string, StartRecord[]>()
  for (const record of records) {
    const list = byName.get(toName(record))
    if (list) list.push(record)
    else byName.set(toName(record), [record])
  }
  return reports.flatMap((report) => {
    const ownRecords = byName.get(toName(report)) ?? []
    return [...checkAnswer(report), ...checkNotRun(report, ownRecords), ...checkAtMostOnce(report, ownRecords), ...checkGangs(report, ownRecords)]
  })
}
