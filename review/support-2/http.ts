import { request } from 'node:http'

export interface Reply {
  readonly status: number
  // The bodies of both programs are JSON whose shape the caller knows.
  readonly body: any
}

/** Sends one JSON request to `IP:PORT`; rejects if no complete answer arrives within the timeout. */
export const callJson = (target: string, method: string, path: string, body?: unknown, headers: Readonly<Record<string, string>> = {}, timeoutMs = 4_000): Promise<Reply> =>
  new Promise((resolve, reject) => {
    const [host, port] = target.split(':')
    const req = request({ host, port, method, path, agent: false, headers: { 'content-type': 'application/json', ...headers } }, (res) => {
      const chunks: Buffer[] = []
      res.on('data', (chunk: Buffer) => chunks.push(chunk))
      res.on('error', reject)
      res.on('aborted', () => reject(new Error('the answer was cut short')))
      res.on('end', () => {
        clearTimeout(timer)
        const text = Buffer.concat(chunks).toString()
        resolve({ status: res.statusCode ?? 0, body: text === '' ? null : JSON.parse(text) })
      })
    })
    const timer = setTimeout(() => req.destroy(new Error(`no answer within ${timeoutMs} ms`)), timeoutMs)
    req.on('error', (err) => {
      clearTimeout(timer)
      reject(err)
    })
    req.end(body === undefined ? undefined : JSON.stringify(body))
  })

export const delay = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

/** Polls until the check resolves with true; rejects with the description after the timeout. */
export const waitUntil = async (description: string, check: () => Promise<boolean> | boolean, timeoutMs = 15_000, intervalMs = 20): Promise<void> => {
  const deadlineMs = Date.now() + timeoutMs
  while (Date.now() < deadlineMs) {
    if (await Promise.resolve().then(check).catch(() => false)) return
    await delay(intervalMs)
  }
  throw new Error(`not within ${timeoutMs} ms: ${description}`)
}
