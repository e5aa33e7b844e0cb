// Callers of the demo and of the end-to-end tests: they reach the entries in turn, as behind a load
// balancer, and after a lost connection ask another entry for the same key.
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

const RETRY_MS = 200

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

/** Sends one request until it has an outcome, or says `unknown` after `giveUpMs`. */
export const send = async (entries: readonly Address[], work: Work, first: number, giveUpMs = 45_000): Promise<CallerReport> => {
  const { idempotent, runMs, ...request } = work
  const body = { ...request, payload: { runMs } }
  const told = {
    customer: work.customer,
    key: work.key,
    kind: work.kind,
    idempotent,
    tasks: work.shape.tasks,
    expectAnswer: (index: number) => ({ key: work.key, index })
  }
  const end = Date.now() + giveUpMs
  for (let turn = first; Date.now() < end; turn += 1) {
    const entry = entries[turn % entries.length]!
    try {
      // The caller's key makes a resend after a lost connection safe.
      const reply = await call(entry, 'POST', `/v1/requests?waitMs=${giveUpMs}`, { ...body, resend: turn > first }, {}, giveUpMs)
      if (reply.status === 202) continue
      const { answer, error } = reply.body
      const isRefusedForNow = error?.execution === 'not-run' && (reply.status === 503 || reply.status === 429) && Date.now() + RETRY_MS < end
      if (isRefusedForNow) {
        await pause(RETRY_MS)
        continue
      }
      return { ...told, status: reply.status, ...(answer && { answer }), ...(error && { error }) }
    } catch {
      await pause(RETRY_MS)
    }
  }
  return { ...told, status: 504, error: { kind: 'timeout', execution: 'unknown' } }
}
