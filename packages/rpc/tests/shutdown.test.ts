import { Agent, request as httpRequest, type IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import { once } from 'node:events'
import t, { type Test } from 'tap'
import { asId, type NodeId } from '@ibisstair/common'
import { DEPLOYMENT_HEADER, RpcServer, type Handler, type Identity, type Target } from '../src/index.ts'

const identity: Identity = { deployment: 'test', node: asId<NodeId>('n1'), secret: 'a-long-enough-secret' }
const LOCAL = { address: '127.0.0.1', port: 0 }
const CLOSE_MS = 3_000
/** More than the system buffers for one connection, so that part of the answer waits in the process. */
const LARGE_BYTES = 48 * 1024 * 1024

const startServer = async (t: Test, handler: Handler): Promise<{ readonly server: RpcServer, readonly target: Target }> => {
  const server = new RpcServer(identity)
  server.register('get', handler)
  t.teardown(() => server.destroy())
  return { server, target: await server.listen(LOCAL) }
}

const ask = (target: Target, agent: Agent): Promise<IncomingMessage> => new Promise((resolve, reject) => {
  const headers = { authorization: `Bearer ${identity.secret}`, [DEPLOYMENT_HEADER]: identity.deployment }
  const req = httpRequest({ host: target.address, port: target.port, method: 'POST', path: '/rpc', agent, headers }, resolve)
  req.on('error', reject)
  req.end(JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'get', params: {} }))
})

const closesInTime = async (server: RpcServer): Promise<boolean> => {
  const late = new Promise<boolean>((resolve) => { setTimeout(() => resolve(false), CLOSE_MS).unref() })
  return await Promise.race([server.close().then(() => true), late])
}

t.test('a shutdown does not cut an answer that its reader has not taken yet', async (t) => {
  const { server, target } = await startServer(t, () => 'x'.repeat(LARGE_BYTES))
  const agent = new Agent({ keepAlive: true })
  t.teardown(() => agent.destroy())
  const res = await ask(target, agent)
  const closing = server.close()
  let size = 0
  res.on('data', (chunk: Buffer) => { size += chunk.length })
  const isWhole = await once(res, 'end').then(() => true, () => false)
  t.ok(isWhole, 'the answer ends')
  t.ok(size > LARGE_BYTES, `${size} bytes arrived`)
  await closing
})

t.test('a connection on which calls keep coming does not hold up a shutdown', async (t) => {
  const { server, target } = await startServer(t, async () => await new Promise((resolve) => { setTimeout(() => resolve('ok'), 5) }))
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  t.teardown(() => agent.destroy())
  const over = new AbortController()
  let handleTenth = (): void => {}
  const isBusy = new Promise<void>((resolve) => { handleTenth = resolve })
  let answered = 0
  // Two callers on one connection, so that it always has a call in progress.
  const callers = [1, 2].map(async () => {
    while (!over.signal.aborted) {
      const isAnswered = await ask(target, agent).then(async (res) => await once(res.resume(), 'end').then(() => true), () => false)
      if (!isAnswered) return
      answered += 1
      if (answered === 10) handleTenth()
    }
  })
  await isBusy
  t.ok(await closesInTime(server))
  over.abort()
  agent.destroy()
  await Promise.all(callers)
})

t.test('a connection that has carried no request does not hold up a shutdown', async (t) => {
  const { server, target } = await startServer(t, () => 'ok')
  const socket = connect(target.port, target.address)
  t.teardown(() => socket.destroy())
  socket.on('error', () => {})
  await once(socket, 'connect')
  const agent = new Agent({ keepAlive: true })
  t.teardown(() => agent.destroy())
  const res = await ask(target, agent)
  await once(res.resume(), 'end')
  t.ok(await closesInTime(server))
})
