import { Agent } from 'node:http'
import { createServer, type Socket } from 'node:net'
import t, { type Test } from 'tap'
import { asId, IbisError, type NodeId } from '@ibisstair/common'
import { SystemTimerService } from '@ibisstair/timers'
import { isUndelivered, MessageSender, RpcClient, RpcServer, sendHttp, createPool, type Identity, type Target } from '../src/index.ts'

const identity: Identity = { deployment: 'test', node: asId<NodeId>('n1'), secret: 'a-long-enough-secret' }
const timers = new SystemTimerService()
const getErrorKind = async (call: Promise<unknown>): Promise<string> =>
  await call.then(() => 'none', (err: IbisError) => err.kind)
const getError = async (call: Promise<unknown>): Promise<IbisError> =>
  await call.then(() => { throw new Error('the call was expected to fail') }, (err: IbisError) => err)

const LOCAL = { address: '127.0.0.1', port: 0 }

const withServer = async (t: Test, setUp: (server: RpcServer) => void): Promise<Target> => {
  const server = new RpcServer(identity)
  setUp(server)
  t.teardown(() => server.destroy())
  return await server.listen(LOCAL)
}

const withClient = (t: Test, as: Identity = identity): RpcClient => {
  const client = new RpcClient(as, timers)
  t.teardown(() => client.close())
  return client
}

t.test('a call passes its timeout to the handler and returns the result', async (t) => {
  const target = await withServer(t, (server) => server.register('echo', (params, ctx) => ({ params, remainingMs: ctx.remainingMs, from: ctx.from })))
  const result = await withClient(t).call(target, 'echo', { a: 1 }, 700)
  t.same(result, { params: { a: 1 }, remainingMs: 700, from: 'n1' })
})

t.test('an error keeps its kind, execution and retry time', async (t) => {
  const target = await withServer(t, (server) => server.register('fail', () => { throw new IbisError('queue-full', 'full', { retryAfterMs: 20, execution: 'unknown' }) }))
  const err = await withClient(t).call(target, 'fail', {}).catch((err: IbisError) => err) as IbisError
  t.equal(err.kind, 'queue-full')
  t.equal(err.execution, 'unknown')
  t.equal(err.retryAfterMs, 20)
})

t.test('a wrong secret and a wrong deployment are refused before the method runs', async (t) => {
  let ran = 0
  const target = await withServer(t, (server) => server.register('count', () => { ran += 1 }))
  t.equal(await getErrorKind(withClient(t, { ...identity, secret: 'another-long-secret' }).call(target, 'count', {})), 'unauthorized')
  t.equal(await getErrorKind(withClient(t, { ...identity, deployment: 'other' }).call(target, 'count', {})), 'wrong-deployment')
  t.equal(ran, 0)
})

t.test('malformed messages are answered with an error and do not stop the server', async (t) => {
  const target = await withServer(t, (server) => server.register('echo', () => 'ok'))
  const agent = createPool()
  t.teardown(() => agent.destroy())
  const send = async (body: string): Promise<string> => {
    const reply = await sendHttp({
      ...target,
      agent,
      method: 'POST',
      path: '/rpc',
      body,
      timeoutMs: 1000,
      maxBytes: 10_000,
      headers: { authorization: `Bearer ${identity.secret}`, 'x-ibisstair-deployment': 'test' }
    }, timers)
    return reply.body.toString()
  }
  t.match(await send('{'), /not valid JSON/)
  t.match(await send('{"jsonrpc":"1.0","method":"echo"}'), /not a JSON-RPC 2.0 request/)
  t.match(await send('[]'), /not a JSON-RPC 2.0 request/)
  t.match(await send('{"jsonrpc":"2.0","id":1,"method":"nope"}'), /-32601/)
  t.match(await send('"' + 'x'.repeat(5 * 1024 * 1024) + '"'), /body-too-large/)
  t.equal(await withClient(t).call(target, 'echo', {}), 'ok')
})

t.test('a connection that stops passing data is dropped after a timeout, and the next call uses a new one', async (t) => {
  // A proxy whose first connection stops passing data after the first answer, as after the loss of a NAT entry.
  const target = await withServer(t, (server) => server.register('echo', () => 'ok'))
  let connections = 0
  let isSilent = false
  const sockets = new Set<Socket>()
  const { connect } = await import('node:net')
  const proxy = createServer((clientSocket) => {
    const isFirst = ++connections === 1
    const serverSocket = connect(target.port, target.address)
    sockets.add(clientSocket).add(serverSocket)
    clientSocket.on('data', (chunk) => { if (!(isFirst && isSilent)) serverSocket.write(chunk) })
    serverSocket.on('data', (chunk) => { if (!(isFirst && isSilent)) clientSocket.write(chunk) })
    clientSocket.on('error', () => {})
    serverSocket.on('error', () => {})
    clientSocket.on('close', () => serverSocket.destroy())
  })
  await new Promise<void>((resolve) => { proxy.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => {
    for (const socket of sockets) socket.destroy()
    proxy.close()
  })
  const proxyTarget = { address: '127.0.0.1', port: (proxy.address() as { port: number }).port }
  const client = withClient(t)
  t.equal(await client.call(proxyTarget, 'echo', {}), 'ok')
  isSilent = true
  const err = await getError(client.call(proxyTarget, 'echo', {}, 150))
  t.equal(err.kind, 'unreachable')
  t.equal(isUndelivered(err), false, 'a request on a pooled connection may have been delivered')
  t.equal(await client.call(proxyTarget, 'echo', {}, 1000), 'ok')
  t.equal(connections, 2)
  t.ok(client.counters.connectionsDropped >= 1)
})

t.test('messages to the same node are sent in batches, and the queue of an unreachable node is bounded', async (t) => {
  const seen: number[] = []
  let batches = 0
  const target = await withServer(t, (server) => server.register('raft.message', (params) => {
    batches += 1
    for (const { message } of (params as { messages: Array<{ message: number }> }).messages) seen.push(message)
  }))
  const client = withClient(t)
  const reachable = asId<NodeId>('there')
  const unreachable = asId<NodeId>('gone')
  const sender = new MessageSender(client, new Map([[reachable, target], [unreachable, { address: '127.0.0.1', port: 1 }]]), 500)
  for (let i = 0; i < 40; i++) sender.send('g', reachable, i)
  for (let i = 0; i < 2000; i++) sender.send('g', unreachable, i)
  while (seen.length < 40) await timers.delay(5)
  t.same(seen, Array.from({ length: 40 }, (_, i) => i))
  t.ok(batches <= 3)
  t.ok(client.counters.messagesDropped > 1000)
})

/** Starts a server that receives bytes and answers nothing by itself. */
const withRawServer = async (t: Test, onData: (socket: Socket, chunk: Buffer) => void = () => {}) => {
  const received: string[] = []
  const server = createServer((socket) => {
    t.teardown(() => socket.destroy())
    socket.on('error', () => {}).on('data', (chunk) => {
      received.push(chunk.toString())
      onData(socket, chunk)
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => server.close())
  return { received, target: { address: '127.0.0.1', port: (server.address() as { port: number }).port } }
}

t.test('a failed call tells whether its request can have been delivered', async (t) => {
  // Guards against "not run" for a request on an open connection, and against 502 for one that was never sent.
  const silent = await withRawServer(t)
  const unreadable = await withRawServer(t, (socket) => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\noops'))
  const fail = async (target: Target): Promise<IbisError> => await getError(withClient(t).call(target, 'submit', {}, 100))
  t.equal(isUndelivered(await fail({ address: '127.0.0.1', port: 1 })), true, 'connection refused')
  const unanswered = await fail(silent.target)
  t.equal(unanswered.details?.reason, 'timeout')
  t.equal(isUndelivered(unanswered), false, 'connected, no answer')
  const unreadableAnswer = await fail(unreadable.target)
  t.equal(unreadableAnswer.execution, 'unknown', 'an unreadable answer claims nothing')
  t.equal(isUndelivered(unreadableAnswer), false)
})

t.test('a connect that does not complete within the timeout is destroyed before anything is written', async (t) => {
  // Guards against a submission that arrives after its entry has answered that it never runs.
  const { received, target } = await withRawServer(t)
  const agent = createPool()
  t.teardown(() => agent.destroy())
  // Node.js reports an established connection only in its poll phase, so that none is established within these ticks.
  for (const ticks of [1, 3, 8]) {
    const fireAfter = (fn: () => void, remaining: number): void => process.nextTick(() => remaining > 1 ? fireAfter(fn, remaining - 1) : fn())
    const subscribe = (_delayMs: number, fn: () => void): (() => void) => {
      fireAfter(fn, ticks)
      return () => {}
    }
    const err = await getError(sendHttp({ ...target, agent, method: 'POST', path: '/rpc', body: 'submission', timeoutMs: 1, maxBytes: 100 }, { subscribe } as unknown as SystemTimerService))
    t.equal(err.details?.reason, 'timeout')
    t.equal(isUndelivered(err), true, `after ${ticks} ticks`)
  }
  await timers.delay(50)
  t.same(received, [])
})

t.test('a call that waited for a free connection until its timeout was not delivered', async (t) => {
  const { received, target } = await withRawServer(t)
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  t.teardown(() => agent.destroy())
  const send = async (path: string, timeoutMs: number): Promise<IbisError> =>
    await getError(sendHttp({ ...target, agent, method: 'POST', path, body: 'x', timeoutMs, maxBytes: 100 }, timers))
  const [first, queued] = await Promise.all([send('/first', 150), send('/queued', 60)])
  t.equal(isUndelivered(first), false)
  t.equal(isUndelivered(queued), true)
  t.notMatch(received.join(), /queued/)
})
