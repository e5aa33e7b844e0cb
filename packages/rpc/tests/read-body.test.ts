import { connect, type Socket } from 'node:net'
import { IbisError } from '@ibisstair/common'
import t, { type Test } from 'tap'
import { ByteBudget, DrainingServer, readBody } from '../src/index.ts'

const MAX_BYTES = 1_000

interface Outcome {
  readonly bytes: number | null
  readonly err: IbisError | null
}

/** Starts a server that reads bodies; `send` writes a body of the stated length up to a byte. */
const withReader = async (t: Test, budget: ByteBudget) => {
  const outcomes: Outcome[] = []
  const server = new DrainingServer((req, res) => {
    readBody(req, MAX_BYTES, budget)
      .then((body) => outcomes.push({ bytes: body.length, err: null }), (err: unknown) => outcomes.push({ bytes: null, err: IbisError.from(err) }))
      .finally(() => res.end())
  })
  const { address, port } = await server.listen({ address: '127.0.0.1', port: 0 })
  t.teardown(() => server.destroy())
  const send = (length: number, sentBytes: number): Socket => {
    const socket = connect(port, address)
    socket.on('error', () => {})
    socket.write(`POST / HTTP/1.1\r\nhost: x\r\ncontent-length: ${length}\r\n\r\n${'x'.repeat(sentBytes)}`)
    return socket
  }
  return { outcomes, send }
}

const waitUntil = async (check: () => boolean): Promise<void> => {
  for (let i = 0; i < 200 && !check(); i++) await new Promise((resolve) => setTimeout(resolve, 10))
}

t.test('bodies that are too large together are rejected without a claim about earlier copies, and free their memory', async (t) => {
  const budget = new ByteBudget(1_500)
  const { outcomes, send } = await withReader(t, budget)
  const unfinished = send(1_000, 900)
  await waitUntil(() => budget.usedBytes === 900)
  send(700, 700)
  await waitUntil(() => outcomes.length === 1)
  t.match(outcomes[0]?.err, { kind: 'overloaded', execution: 'unknown' })
  t.equal(budget.usedBytes, 900)
  send(500, 500)
  await waitUntil(() => outcomes.length === 2)
  t.match(outcomes[1], { bytes: 500, err: null }, 'a smaller body still fits')
  unfinished.destroy()
  await waitUntil(() => outcomes.length === 3)
  t.match(outcomes[2]?.err, { kind: 'invalid-request' })
  t.equal(budget.usedBytes, 0)
})

t.test('a body that is too large by itself takes nothing from the budget', async (t) => {
  const budget = new ByteBudget(5_000)
  const { outcomes, send } = await withReader(t, budget)
  send(1_001, 1_001)
  await waitUntil(() => outcomes.length === 1)
  t.match(outcomes[0]?.err, { kind: 'body-too-large' })
  t.equal(budget.usedBytes, 0)
})
