import { createServer, request, type Agent } from 'node:http'
import type { AddressInfo } from 'node:net'
import t from 'tap'
import { ConnectionPool } from '../src/index.ts'

const MAX_TARGETS = 4

const listen = async (): Promise<{ readonly port: number, countConnections: () => Promise<number>, close: () => void }> => {
  const server = createServer((_req, res) => { res.end('ok') })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return {
    port: (server.address() as AddressInfo).port,
    countConnections: () => new Promise((resolve) => { server.getConnections((_err, count) => { resolve(count) }) }),
    close: () => { server.closeAllConnections(); server.close() }
  }
}

const call = (port: number, agent: Agent): Promise<void> => new Promise((resolve, reject) => {
  request({ host: '127.0.0.1', port, agent }, (res) => { res.resume().on('end', resolve) }).on('error', reject).end()
})

t.test('calls to many targets leave connections to the last ones alone, so that the descriptors suffice', async (t) => {
  const server = await listen()
  t.teardown(server.close)
  const pool = new ConnectionPool({ maxConnections: { orders: 2, renewals: 1 }, maxTargets: MAX_TARGETS })
  for (let target = 0; target < 5 * MAX_TARGETS; target++) await call(server.port, pool.getAgent(`t${target}`, 'orders'))
  await new Promise((resolve) => { setTimeout(resolve, 20) })
  t.equal(await server.countConnections(), MAX_TARGETS)
})

t.test('a call that is in progress when its target is dropped from the pool is answered', async (t) => {
  const server = await listen()
  t.teardown(server.close)
  const pool = new ConnectionPool({ maxConnections: { orders: 1 }, maxTargets: 1 })
  const first = call(server.port, pool.getAgent('a', 'orders'))
  const second = call(server.port, pool.getAgent('b', 'orders'))
  await t.resolves(Promise.all([first, second]))
})
