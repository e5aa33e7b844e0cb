import { SECRET } from './in-process.ts'

export interface Reply {
  readonly status: number
  readonly body: any
}

export const send = async (target: { readonly address: string, readonly port: number }, method: string, path: string, body?: unknown, headers: Record<string, string> = {}): Promise<Reply> => {
  const res = await fetch(`http://${target.address}:${target.port}${path}`, {
    method,
    ...(body !== undefined && { body: typeof body === 'string' ? body : JSON.stringify(body) }),
    headers: { 'content-type': 'application/json', ...headers }
  })
  const text = await res.text()
  return { status: res.status, body: text === '' ? null : JSON.parse(text) }
}

export const asOperator = { authorization: `Bearer ${SECRET}` }

/** Polls the condition until it holds; rejects after `timeoutMs`, which fails the test. */
export const waitUntil = async (description: string, condition: () => Promise<boolean> | boolean, timeoutMs = 15_000): Promise<void> => {
  const end = Date.now() + timeoutMs
  while (!(await condition())) {
    if (Date.now() > end) throw new Error(`timed out: ${description}`)
    await new Promise((resolve) => { setTimeout(resolve, 20) })
  }
}
