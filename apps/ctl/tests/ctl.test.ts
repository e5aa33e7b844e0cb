import { once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { join } from 'node:path'
import { chmodSync } from 'node:fs'
import t, { type Test } from 'tap'
import { IbisError } from '@ibisstair/common'
import { type Config, type ConfigChange, EMPTY_CONFIG, parseConfigChange } from '@ibisstair/model'
import { type ConfigCommand, ConfigRegister } from '@ibisstair/registers'
import { runMain, type MainProcess } from '@ibisstair/settings'
import { RandomSource, SystemTimerService } from '@ibisstair/timers'
import { parse, stringify } from 'yaml'
import { SUBCOMMAND_USAGE } from '../src/commands.ts'
import { runCtl } from '../src/run.ts'
import { createCtlSpec } from '../src/spec.ts'

const SECRET = '0123456789abcdef'
const SEED = 20_260_103

/** Fault of the next accepted change: `drop-response` closes the connection instead of responding. */
type Fault = 'none' | 'drop-response'

/** Fake deployment: a config register behind an HTTP listener. */
class FakeDeployment {
  fault: Fault = 'none'
  readonly changes: ConfigChange[] = []
  readonly #register = new ConfigRegister()

  get config (): Config {
    return this.#register.config
  }

  async listen (t: Test): Promise<string> {
    const server = createServer((req, res) => {
      let body = ''
      req.on('data', (chunk: Buffer) => { body += chunk.toString() })
      req.on('end', () => {
        try {
          if (req.headers.authorization !== `Bearer ${SECRET}`) throw new IbisError('unauthorized', 'the shared secret is missing or wrong')
          this.#respond(`${req.method} ${req.url}`, body, res)
        } catch (err) {
          const error = IbisError.from(err)
          res.writeHead(error.status).end(JSON.stringify({ error: error.toBody() }))
        }
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    t.teardown(() => {
      server.closeAllConnections()
      server.close()
    })
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  #respond (call: string, body: string, res: ServerResponse): void {
    const reply = (value: unknown): void => { res.end(JSON.stringify(value)) }
    switch (call) {
      case 'GET /v1/config': return reply(this.config)
      case 'GET /v1/status': return reply({ configVersion: this.config.version, controls: [] })
      case 'GET /v1/requests/diver/key%2F1/explain': return reply({ state: 'queued', reason: 'no free rack' })
      case 'POST /v1/config/import': {
        const { config } = JSON.parse(body) as { config: Config }
        return reply({ version: this.#apply({ type: 'import', config }) })
      }
      case 'POST /v1/config/changes': {
        const change = parseConfigChange(JSON.parse(body))
        this.changes.push(change)
        const version = this.#apply({ type: 'change', change })
        if (this.fault === 'none') return reply({ version, changeId: change.changeId })
        this.fault = 'none'
        res.destroy()
        return
      }
      default: throw new IbisError('invalid-request', `no such call: ${call}`)
    }
  }

  #apply (command: ConfigCommand): number {
    const result = this.#register.apply(command)
    if (result.status === 'refused') throw IbisError.fromBody(result.error)
    return result.version
  }
}

const setUp = async (t: Test, files: Readonly<Record<string, string>> = {}) => {
  const folder = t.testdir({ secret: SECRET, ...files })
  const secretFile = join(folder, 'secret')
  chmodSync(secretFile, 0o600)
  const deployment = new FakeDeployment()
  const entry = await deployment.listen(t)
  const random = new RandomSource(SEED)
  const run = async (...argv: string[]) => {
    const result = { out: '', err: '', code: -1 }
    const write = (text: string): void => { result.out += text }
    const writeErr = (text: string): void => { result.err += text }
    const io: MainProcess = { argv, stdout: { write }, stderr: { write: writeErr }, finish: (code) => { result.code = code } }
    await runMain(createCtlSpec(SUBCOMMAND_USAGE), (command) => runCtl(command, { timers: new SystemTimerService(), random, write, writeErr }), io)
    return result
  }
  const connection = ['--entry', entry, '--secret-file', secretFile]
  return {
    deployment,
    entry,
    folder,
    connection,
    run,
    runConnected: (...argv: string[]) => run(...argv, ...connection)
  }
}

const SHAPE_OPTIONS = ['--tasks', '4', '--accelerators', '2', '--adjacency', 'rack']
const PUT_DOMAIN = ['domain', 'put', 'portland-bench', '--region', 'cascadia', '--rack', 'rack-1:6:8:8', '--rack', 'rack-2:5:8:8']
const KIND_OPTIONS = ['--urgency', 'urgent', '--idempotent', 'yes', '--expected-run-ms', '500', '--start-within-ms', '100', '--target', '0.99']

t.test('each subcommand that changes the configuration is applied', async (t) => {
  const { deployment, runConnected } = await setUp(t)
  const steps: ReadonlyArray<readonly string[]> = [
    PUT_DOMAIN,
    ['customer', 'create', 'diver', '--priority', '2.5'],
    ['customer', 'create', 'shop'],
    ['customer', 'change', 'diver', '--max-queued', '50'],
    ['guarantee', 'add', 'diver', ...SHAPE_OPTIONS, '--count', '3', '--domain', 'portland-bench'],
    ['guarantee', 'remove', 'diver', ...SHAPE_OPTIONS, '--count', '1', '--domain', 'portland-bench'],
    ['guarantee', 'add', 'diver', '--tasks', '1', '--accelerators', '1'],
    ['customer', 'remove', 'shop'],
    ['kind', 'put', 'preview', ...KIND_OPTIONS],
    ['kind', 'put', 'archive', '--urgency', 'bulk', ...KIND_OPTIONS.slice(2)],
    ['kind', 'remove', 'archive'],
    ['drain', 'endpoint-1'],
    ['drain', 'endpoint-2'],
    ['undrain', 'endpoint-1']
  ]
  for (const [i, step] of steps.entries()) {
    const { code, out, err } = await runConnected(...step)
    t.equal(code, 0, `${step.join(' ')}: ${err}`)
    t.match(out, new RegExp(`^accepted: version ${i + 1}, change id \\S+\\n$`))
  }
  t.match(deployment.config, {
    version: steps.length,
    customers: [{
      id: 'diver',
      priority: 2.5,
      maxQueued: 50,
      guarantees: [
        { shape: { tasks: 4, acceleratorsPerTask: 2, slotsPerTask: 1, adjacency: 'rack' }, count: 2, domain: 'portland-bench' },
        { shape: { tasks: 1, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'any' }, count: 1 }
      ]
    }],
    kinds: [{ kind: 'preview', urgency: 'urgent', idempotent: true, expectedRunMs: 500, objective: { startWithinMs: 100, target: 0.99 } }],
    fleet: { domains: [{ id: 'portland-bench', region: 'cascadia', racks: [{ id: 'rack-1', workers: 6 }, { id: 'rack-2', workers: 5 }] }] },
    drains: ['endpoint-2']
  })
  t.equal(deployment.config.customers.length + deployment.config.kinds.length + deployment.config.drains.length, 3)
  t.equal(new Set(deployment.changes.map(({ changeId }) => changeId)).size, steps.length, 'each call generates its own change id')
})

t.test('read-only subcommands print text and JSON', async (t) => {
  const { runConnected } = await setUp(t)
  await runConnected(...PUT_DOMAIN)
  await runConnected('customer', 'create', 'diver')
  await runConnected('guarantee', 'add', 'diver', ...SHAPE_OPTIONS)
  t.match((await runConnected('customer', 'list')).out, /diver +1 +1000 +1 x \(4 tasks, 2 accelerators, 1 slots, rack\)/)
  t.match(JSON.parse((await runConnected('customer', 'list', '--format', 'json')).out), [{ id: 'diver', priority: 1 }])
  t.match(parse((await runConnected('config', 'show')).out), { version: 3, customers: [{ id: 'diver' }] })
  t.match(JSON.parse((await runConnected('status', '--format', 'json')).out), { configVersion: 3 })
  t.match((await runConnected('explain', 'diver', 'key/1')).out, 'reason: no free rack')
})

t.test('a change whose response is lost is retried and applied only once', async (t) => {
  const { deployment, runConnected } = await setUp(t)
  await runConnected(...PUT_DOMAIN)
  await runConnected('customer', 'create', 'diver')
  deployment.fault = 'drop-response'
  const { code, out, err } = await runConnected('guarantee', 'add', 'diver', ...SHAPE_OPTIONS)
  t.equal(code, 0)
  t.match(out, 'accepted: version 3')
  t.equal(deployment.config.customers[0]!.guarantees[0]!.count, 1)
  const [, , first, second] = deployment.changes
  t.same(first, second)
  t.match(err, `--change-id ${first!.changeId} --expect-version 2`)
})

t.test('a change that the config register rejects is reported with its reason and has no effect', async (t) => {
  const { deployment, runConnected } = await setUp(t)
  await runConnected(...PUT_DOMAIN)
  await runConnected('customer', 'create', 'diver')
  const large = await runConnected('guarantee', 'add', 'diver', ...SHAPE_OPTIONS, '--count', '50')
  t.equal(large.code, 1)
  t.match(large.err, /config-infeasible: .*diver/)
  t.match(large.err, 'outcome of the change: not-run')
  t.match((await runConnected('customer', 'remove', 'none')).err, /unknown-customer: /)
  t.match((await runConnected('undrain', 'endpoint-1')).err, /invalid-request: .*names nothing in version 2/)
  t.equal(deployment.config.version, 2)
})

t.test('a retry with the printed change id and version returns the recorded outcome', async (t) => {
  const { deployment, runConnected } = await setUp(t)
  const retryOptions = ['--change-id', 'change-7', '--expect-version', '0']
  const first = await runConnected('customer', 'create', 'diver', ...retryOptions)
  await runConnected('customer', 'create', 'shop')
  const second = await runConnected('customer', 'create', 'diver', ...retryOptions)
  t.equal(second.out, first.out)
  t.equal(deployment.config.version, 2)
  const other = await runConnected('customer', 'create', 'other', ...retryOptions)
  t.equal(other.code, 1)
  t.match(other.err, /key-conflict: changeId change-7 belongs to a different change/)
})

t.test('of two concurrent changes with the same expected version, one is rejected with a version conflict', async (t) => {
  const { deployment, runConnected } = await setUp(t)
  const results = await Promise.all([
    runConnected('customer', 'create', 'diver', '--expect-version', '0', '--format', 'json'),
    runConnected('customer', 'create', 'shop', '--expect-version', '0', '--format', 'json')
  ])
  t.same(results.map(({ code }) => code).sort(), [0, 1])
  const rejected = results.find(({ code }) => code === 1)!
  t.match(JSON.parse(rejected.out), { error: { kind: 'version-conflict', execution: 'not-run', info: { version: 1 } } })
  t.equal(deployment.config.version, 1)
  const late = await runConnected('customer', 'create', 'late', '--expect-version', '0')
  t.match(late.err, /version-conflict: .*\noutcome of the change: not-run\n/)
})

t.test('an unreachable entry is skipped, and a command that reaches no entry fails as unreachable', async (t) => {
  const { connection, run } = await setUp(t)
  const [, , ...secret] = connection
  const closed = ['--entry', 'http://127.0.0.1:1']
  t.equal((await run('customer', 'create', 'diver', ...closed, ...connection)).code, 0)
  const { code, err } = await run('customer', 'list', ...closed, ...secret)
  t.equal(code, 1)
  t.match(err, /unreachable: http:\/\/127\.0\.0\.1:1: /)
})

t.test('applying a file keeps the items that it does not list unless --prune is given', async (t) => {
  const customer = { id: 'shop', priority: 2, guarantees: [], maxQueued: 5 }
  const { deployment, folder, runConnected } = await setUp(t, { 'team.yaml': stringify({ customers: [customer] }), 'wrong.yaml': stringify({ customers: [{ ...customer, priority: 0 }] }) })
  await runConnected('customer', 'create', 'diver')
  t.equal((await runConnected('config', 'apply', join(folder, 'team.yaml'))).code, 0)
  t.same(deployment.config.customers.map(({ id }) => id), ['diver', 'shop'])
  t.match((await runConnected('config', 'apply', join(folder, 'team.yaml'))).out, 'no change')
  t.equal((await runConnected('config', 'apply', '--prune', join(folder, 'team.yaml'))).code, 0)
  t.same(deployment.config.customers.map(({ id }) => id), ['shop'])
  const { code, err } = await runConnected('config', 'apply', join(folder, 'wrong.yaml'))
  t.equal(code, 1)
  t.match(err, /wrong\.yaml: field customers\.0\.priority: got 0/)
})

t.test('an imported configuration keeps its version', async (t) => {
  const { deployment, folder, runConnected } = await setUp(t, { 'copy.yaml': stringify({ ...EMPTY_CONFIG, version: 812 }), 'part.yaml': stringify({ version: 900 }) })
  const { code, out } = await runConnected('config', 'import', join(folder, 'copy.yaml'))
  t.equal(code, 0)
  t.match(out, 'version 812 is in force')
  t.equal(deployment.config.version, 812)
  t.equal((await runConnected('config', 'import', join(folder, 'part.yaml'))).code, 1, 'an import must be a complete configuration')
  t.equal(deployment.config.version, 812)
})

t.test('a wrong command line gives exit code 2 and sends nothing', async (t) => {
  const { connection, deployment, folder, run, runConnected } = await setUp(t)
  const wrong: ReadonlyArray<readonly string[]> = [
    [],
    ['customer'],
    ['customer', 'paint', 'diver'],
    ['customer', 'create'],
    ['customer', 'create', 'a', 'b'],
    ['customer', 'create', 'diver', '--tasks', '4'],
    ['customer', 'list', '--change-id', 'x'],
    ['customer', 'create', 'diver', '--priority', 'high'],
    ['customer', 'create', 'diver', '--change-id', 'a b'],
    ['customer', 'create', 'diver', '--expect-version', '-1'],
    ['guarantee', 'add', 'diver', '--tasks', '4'],
    ['kind', 'put', 'preview', '--urgency', 'soon'],
    ['domain', 'put', 'd', '--region', 'r', '--rack', 'rack-1:6:8'],
    ['domain', 'put', 'd', '--region', 'r', '--rack', 'rack-1:6:8:none'],
    ['status', '--format', 'xml']
  ]
  for (const argv of wrong) t.equal((await runConnected(...argv)).code, 2, argv.join(' '))
  t.equal((await run('status', '--secret-file', join(folder, 'secret'))).code, 2)
  t.equal((await run('status', ...connection.slice(0, 2))).code, 2)
  t.equal((await run('status', '--entry', 'entry.example:7003', ...connection.slice(2))).code, 2)
  t.same(deployment.changes, [])
})

t.test('an unreadable secret gives exit code 3, and the entry rejects a wrong secret', async (t) => {
  const { connection, folder, run } = await setUp(t, { other: 'another-secret-of-this-size' })
  const entry = connection.slice(0, 2)
  t.equal((await run('status', ...entry, '--secret-file', join(folder, 'none'))).code, 3)
  chmodSync(join(folder, 'other'), 0o600)
  const { code, err } = await run('status', ...entry, '--secret-file', join(folder, 'other'))
  t.equal(code, 1)
  t.match(err, /unauthorized: /)
  t.notMatch(err, 'another-secret')
})

t.test('help lists every subcommand', async (t) => {
  const { run } = await setUp(t)
  const { out, code } = await run('--help')
  t.equal(code, 0)
  for (const words of ['customer create CUSTOMER', 'guarantee remove CUSTOMER', 'domain put DOMAIN', 'undrain ENDPOINT', 'config import FILE', 'explain CUSTOMER KEY']) {
    t.match(out, `ibisstair-ctl ${words}`)
  }
})
