import { chmodSync } from 'node:fs'
import { join } from 'node:path'
import { asId, IbisError, type DomainId, type NodeId } from '@ibisstair/common'
import { SchedulingState } from '@ibisstair/jobs'
import { RpcServer } from '@ibisstair/rpc'
import { runMain, type MainProcess } from '@ibisstair/settings'
import { RandomSource, SystemTimerService } from '@ibisstair/timers'
import t, { type Test } from 'tap'
import { SUBCOMMAND_USAGE } from '../src/commands.ts'
import { runCtl } from '../src/run.ts'
import { createCtlSpec } from '../src/spec.ts'

const SECRET = '0123456789abcdef'
const FOLLOWER = '127.0.0.8'
const LEADER = '127.0.0.9'
const METHODS = ['domain.drain', 'domain.restore', 'domain.list'] as const

interface OrderParams {
  readonly domain: DomainId
  readonly expectedRevision: number
}

/** A leader over its own state, and a follower that names it; `beforeOrder` is called between the list and the order. */
class FakeGroup {
  readonly #state = new SchedulingState()
  beforeOrder = (): void => {}

  order (type: 'drain-domain' | 'restore-domain', { domain, expectedRevision }: OrderParams): unknown {
    const result = this.#state.apply({ type, domain, expectedRevision, atMs: 0 })
    if (result.type !== 'domain-drain') throw new Error(result.type)
    if (result.isOutdated) throw new IbisError('version-conflict', 'the order is outdated')
    return result
  }

  async listen (t: Test): Promise<string> {
    const identity = { deployment: 'platform', node: asId<NodeId>(LEADER), secret: SECRET }
    const leader = new RpcServer(identity)
    const follower = new RpcServer(identity)
    for (const method of METHODS) follower.register(method, () => { throw new IbisError('not-leader', 'another process leads', { info: { leader: LEADER } }) })
    leader.register('domain.list', () => ({ domains: this.#state.domainDrains.list().map((drain) => ({ ...drain, endpoints: 2, runs: 1 })) }))
    for (const [method, type] of [['domain.drain', 'drain-domain'], ['domain.restore', 'restore-domain']] as const) {
      leader.register(method, (params) => {
        this.beforeOrder()
        return this.order(type, params as OrderParams)
      })
    }
    const { port } = await leader.listen({ address: LEADER, port: 0 })
    await follower.listen({ address: FOLLOWER, port })
    t.teardown(() => {
      leader.destroy()
      follower.destroy()
    })
    return `http://${FOLLOWER}:${port}`
  }
}

const setUp = async (t: Test) => {
  const secretFile = join(t.testdir({ secret: SECRET }), 'secret')
  chmodSync(secretFile, 0o600)
  const group = new FakeGroup()
  const control = await group.listen(t)
  const run = async (...argv: string[]) => {
    const result = { out: '', err: '', code: -1 }
    const write = (text: string): void => { result.out += text }
    const writeErr = (text: string): void => { result.err += text }
    const io: MainProcess = { argv, stdout: { write }, stderr: { write: writeErr }, finish: (code) => { result.code = code } }
    await runMain(createCtlSpec(SUBCOMMAND_USAGE), (command) => runCtl(command, { timers: new SystemTimerService(), random: new RandomSource(1), write, writeErr }), io)
    return result
  }
  return { group, run, runConnected: (...argv: string[]) => run('failure-domain', ...argv, '--control', 'http://127.0.0.10:1', '--control', control, '--secret-file', secretFile) }
}

t.test('failure domains are drained, listed and restored through any control process', async (t) => {
  const { run, runConnected } = await setUp(t)
  t.match(await runConnected('drain', 'z1'), { code: 0, out: /isDrained: true/ })
  t.match(await runConnected('drain', 'z1'), { code: 0, out: /isDrained: true/ }, 'idempotent')
  t.match(await runConnected('list'), { code: 0, out: /z1 +drained +1970-\S+ +2 +1/ })
  t.match(await runConnected('restore', 'z1', '--format', 'json'), { code: 0, out: /"isDrained": false/ })
  t.match(await runConnected('list'), { out: /z1 +in use/ })
  t.match(await run('failure-domain', 'list'), { code: 2, err: /--control is required/ })
  t.match(await run('status', '--control', 'http://127.0.0.9:1'), { code: 2, err: /does not take --control/ })
})

t.test('an order that another operator\'s order has overtaken is rejected', async (t) => {
  const { group, runConnected } = await setUp(t)
  await runConnected('drain', 'z1')
  group.beforeOrder = () => { group.order('drain-domain', { domain: asId('z1'), expectedRevision: 0 }) }
  t.match(await runConnected('restore', 'z1'), { code: 1, err: /version-conflict/ })
  t.match(await runConnected('list'), { out: /z1 +drained/ })
})
