import { Agent, request as httpRequest, type IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import { once } from 'node:events'
import t, { type Test } from 'tap'
import { asId, type NodeId } from '@ibisstair/common'
import { DEPLOYMENT_HEADER, RpcServer, type Handler, type Identity, type Target } from '../src/index.ts'

const identity: Identity = { deployment: 'test', node: asId<NodeId>('n1'), secret: 'a-long-enough-secret' }
const LOCAL = { address: '127.0.0.1', port: 0 }
const CLOSE_TIMEOUT_MS = 3_000
/** More than the operating system buffers for one connection, so that part of the answer stays buffered in the process. */
const LARGE_BYTES = 48 * 1024 * 1024

const startServer = async (t: Test, handler: Handler): Promise<{ readonly server: RpcServer, readonly target: Target }> => {
  const server = new RpcServer(identity)
  server.register('get', handler)
  t.teardown(() => server.destroy())
  return { server, target: await server.listen(LOCAL) }
}

const sendCall = (target: Target, agent: Agent): Promise<IncomingMessage> => new Promise((resolve, reject) => {
  const headers = { authorization: `Bearer ${identity.secret}`, [DEPLOYMENT_HEADER]: identity.deployment }
  const req = httpRequest({ host: target.address, port: target.port, method: 'POST', path: '/rpc', agent, headers }, resolve)
  req.on('error', reject)
  req.end(JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'get', params: {} }))
})

const closesInTime = async (server: RpcServer): Promise<boolean> => {
  const timeout = new Promise<boolean>((resolve) => { setTimeout(() => resolve(false), CLOSE_TIMEOUT_MS).unref() })
  return await Promise.race([server.close().then(() => true), timeout])
}

t.test('a shutdown does not truncate an answer that the client has not fully received', async (t) => {
  const { server, target } = await startServer(t, () => 'x'.repeat(LARGE_BYTES))
  const agent = new Agent({ keepAlive: true })
  t.teardown(() => agent.destroy())
  const res = await sendCall(target, agent)
  const closing = server.close()
  let size = 0
  res.on('data', (chunk: Buffer) => { size += chunk.length })
  const isComplete = await once(res, 'end').then(() => true, () => false)
  t.ok(isComplete, 'the answer is complete')
  t.ok(size > LARGE_BYTES, `${size} bytes arrived`)
  await closing
})

t.test('a connection with continuous calls does not delay a shutdown', async (t) => {
  const { server, target } = await startServer(t, async () => await new Promise((resolve) => { setTimeout(() => resolve('ok'), 5) }))
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  t.teardown(() => agent.destroy())
  const stopCallers = new AbortController()
  let handleTenthAnswer = (): void => {}
  const hasTenAnswers = new Promise<void>((resolve) => { handleTenthAnswer = resolve })
  let answered = 0
  // Two callers on one connection, so that it always has a call in progress.
  const callers = [1, 2].map(async () => {
    while (!stopCallers.signal.aborted) {
      const isAnswered = await sendCall(target, agent).then(async (res) => await once(res.resume(), 'end').then(() => true), () => false)
      if (!isAnswered) return
      answered += 1
      if (answered === 10) handleTenthAnswer()
    }
  })
  await hasTenAnswers
  t.ok(await closesInTime(server))
  stopCallers.abort()
  agent.destroy()
  await Promise.all(callers)
})

t.test('a connection that has carried no request does not delay a shutdown', async (t) => {
  const { server, target } = await startServer(t, () => 'ok')
  const socket = connect(target.port, target.address)
  t.teardown(() => socket.destroy())
  socket.on('error', () => {})
  await once(socket, 'connect')
  const agent = new Agent({ keepAlive: true })
  t.teardown(() => agent.destroy())
  const res = await sendCall(target, agent)
  await once(res.resume(), 'end')
  t.ok(await closesInTime(server))
})
