// Checks the promises on one run: what callers were told against what the endpoints recorded.
import type { StartRecord } from './fake-endpoint.ts'

export interface CallerReport {
  readonly customer: string
  readonly key: string
  readonly kind: string
  readonly idempotent: boolean
  readonly tasks: number
  /** Answer expected of task `index`, which names the request that it belongs to. */
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

const checkAnswer = (told: CallerReport): Violation[] => {
  const { answer } = told
  if (!answer) return []
  const expected = Array.from({ length: told.tasks }, (_, index) => ({ index, body: told.expectAnswer(index) }))
  if (JSON.stringify(answer) === JSON.stringify(expected)) return []
  return [{ promise: 'each caller receives the whole answer to its own request', detail: `${toName(told)}: ${JSON.stringify(answer)}` }]
}

const checkNotRun = (told: CallerReport, records: readonly StartRecord[]): Violation[] => {
  if (told.error?.execution !== 'not-run' || records.length === 0) return []
  return [{ promise: 'a refusal that says "not run" is true', detail: `${toName(told)} (${told.error.kind}): ${records.length} task(s) started` }]
}

const checkAtMostOnce = (told: CallerReport, records: readonly StartRecord[]): Violation[] => {
  if (told.idempotent) return []
  const counts = new Map<number, number>()
  for (const { index } of records) counts.set(index, (counts.get(index) ?? 0) + 1)
  const doubled = [...counts].filter(([, count]) => count > 1)
  return doubled.map(([index, count]) => ({ promise: 'a non-idempotent request runs at most once', detail: `${toName(told)}: task ${index} started ${count} times` }))
}

/** Every attempt of a gang either started whole, or what started was killed and gave no answer. */
const checkWholeGangs = (told: CallerReport, records: readonly StartRecord[]): Violation[] => {
  const attempts = new Map<string, StartRecord[]>()
  for (const record of records) {
    const attempt = record.taskId.slice(0, record.taskId.lastIndexOf('.'))
    attempts.set(attempt, [...(attempts.get(attempt) ?? []), record])
  }
  return [...attempts].flatMap(([attempt, started]) => {
    if (started.length === told.tasks || started.every(({ end }) => end === 'killed')) return []
    return [{ promise: 'no gang of tasks runs partially', detail: `${attempt}: ${started.length} of ${told.tasks} tasks started, ended ${started.map(({ end }) => end ?? 'running').join(', ')}` }]
  })
}

export const checkPromises = (told: readonly CallerReport[], records: readonly StartRecord[]): Violation[] => {
  const byName = new Map<string, StartRecord[]>()
  for (const record of records) {
    const list = byName.get(toName(record))
    if (list) list.push(record)
    else byName.set(toName(record), [record])
  }
  return told.flatMap((item) => {
    const own = byName.get(toName(item)) ?? []
    return [...checkAnswer(item), ...checkNotRun(item, own), ...checkAtMostOnce(item, own), ...checkWholeGangs(item, own)]
  })
}
