// Callers for the demo and the end-to-end tests. They use the entries in attempt, as behind a load
// balancer, and resend the same key to another entry after a lost connection.
import type { Address } from './deployment.ts'
import type { CallerReport } from './promises.ts'

export interface Shape {
  readonly tasks: number
  readonly acceleratorsPerTask: number
  readonly slotsPerTask: number
  readonly adjacency: 'worker' | 'rack' | 'any'
}

export interface Work {
  readonly key: string
  readonly customer: string
  readonly caller: string
  readonly kind: string
  readonly idempotent: boolean
  readonly shape: Shape
  readonly runMs: number
  readonly deadlineMs?: number
}

interface Reply {
  readonly status: number
  readonly body: { readonly answer?: CallerReport['answer'], readonly error?: CallerReport['error'], readonly state?: string }
}

const RETRY_DELAY_MS = 200

const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

export const call = async (target: Address, method: string, path: string, body?: unknown, headers: Record<string, string> = {}, timeoutMs = 60_000): Promise<Reply> => {
  const res = await fetch(`http://${target.address}:${target.port}${path}`, {
    method,
    signal: AbortSignal.timeout(timeoutMs),
    headers: { 'content-type': 'application/json', ...headers },
    ...(body !== undefined && { body: JSON.stringify(body) })
  })
  return { status: res.status, body: JSON.parse(await res.text()) as Reply['body'] }
}

/** Resends one request until it has an outcome; after `timeoutMs` reports execution `unknown`. */
export const send = async (entries: readonly Address[], work: Work, first: number, timeoutMs = 45_000): Promise<CallerReport> => {
  const { idempotent, runMs, ...request } = work
  const body = { ...request, payload: { runMs } }
  const report = {
    customer: work.customer,
    key: work.key,
    kind: work.kind,
    idempotent,
    tasks: work.shape.tasks,
    expectAnswer: (index: number) => ({ key: work.key, index })
  }
  const end = Date.now() + timeoutMs
  for (let attempt = first; Date.now() < end; attempt += 1) {
    const entry = entries[attempt % entries.length]!
    try {
      // The caller's key makes a resend after a lost connection safe.
      const reply = await call(entry, 'POST', `/v1/requests?waitMs=${timeoutMs}`, { ...body, resend: attempt > first }, {}, timeoutMs)
      if (reply.status === 202) continue
      const { answer, error } = reply.body
      const isRetryable = error?.execution === 'not-run' && (reply.status === 503 || reply.status === 429) && Date.now() + RETRY_DELAY_MS < end
      if (isRetryable) {
        await pause(RETRY_DELAY_MS)
        continue
      }
      return { ...report, status: reply.status, ...(answer && { answer }), ...(error && { error }) }
    } catch {
      await pause(RETRY_DELAY_MS)
    }
  }
  return { ...report, status: 504, error: { kind: 'timeout', execution: 'unknown' } }
}
