import { asId, type IbisError } from '@ibisstair/common'
import { checkFeasible, type Config, type ConfigChange, type ConfigOperation, EMPTY_CONFIG, parseConfig } from '@ibisstair/model'
import fc from 'fast-check'
import { pack, unpack } from 'msgpackr'
import t from 'tap'
import { type ConfigCommand, ConfigRegister, type ConfigResult } from '../src/index.ts'

const RUNS = { seed: 5101, numRuns: 300 }
t.before(() => { t.comment(`seed ${RUNS.seed}, ${RUNS.numRuns} runs`) })

const domain = { id: asId<never>('d'), region: 'r', racks: [{ id: asId<never>('a'), workers: 2, acceleratorsPerWorker: 8, slotsPerWorker: 8 }] }

const customerOf = (id: string, count: number): ConfigOperation => ({
  op: 'put-customer',
  customer: {
    id: asId(id),
    priority: 1,
    maxQueued: 10,
    guarantees: [{ shape: { tasks: 1, acceleratorsPerTask: 4, slotsPerTask: 1, adjacency: 'worker' }, count }]
  }
})

const base: Config = parseConfig({ ...EMPTY_CONFIG, version: 1, fleet: { domains: [domain] } })

const changeOf = (changeId: string, expectedVersion: number, ...delta: ConfigOperation[]): ConfigCommand =>
  ({ type: 'change', change: { changeId: asId(changeId), expectedVersion, delta } })

const withBase = (limits?: { acceptedIds: number, refusedIds: number }): ConfigRegister => {
  const register = new ConfigRegister(limits)
  register.apply({ type: 'import', config: base })
  return register
}

const kindOf = (result: ConfigResult): string => result.status === 'refused' ? result.error.kind : result.status

t.test('of two changes that expect the same version one is accepted, and the other is refused with the version in force', async (t) => {
  const register = withBase()
  t.strictSame(register.apply(changeOf('a', 1, customerOf('c0', 1))), { status: 'accepted', version: 2 })
  const late = register.apply(changeOf('b', 1, customerOf('c1', 1)))
  t.match(late, { status: 'refused', version: 2, error: { kind: 'version-conflict', execution: 'not-run', info: { version: 2 } } })
  t.same(register.config.customers.map(({ id }) => id), ['c0'])
})

t.test('a resend after a lost response gets the recorded result, also after later changes', async (t) => {
  const register = withBase()
  const accepted = changeOf('a', 1, customerOf('c0', 1))
  const refused = changeOf('b', 9, customerOf('c1', 1))
  const first = [register.apply(accepted), register.apply(refused)]
  register.apply(changeOf('c', 2, customerOf('c2', 1)))
  t.strictSame([register.apply(accepted), register.apply(refused)], first)
  t.equal(register.config.version, 3)
})

t.test('a refused change stays refused when its expected version is reached later', async (t) => {
  const register = withBase()
  const early = changeOf('early', 2, customerOf('c1', 1))
  t.equal(kindOf(register.apply(early)), 'version-conflict')
  register.apply(changeOf('a', 1, customerOf('c0', 1)))
  t.equal(kindOf(register.apply(early)), 'version-conflict')
  t.equal(register.config.version, 2)
})

t.test('another change under a known id is not answered with the result of the first', async (t) => {
  const register = withBase()
  register.apply(changeOf('a', 1, customerOf('c0', 1)))
  t.equal(kindOf(register.apply(changeOf('a', 1, customerOf('c0', 2)))), 'key-conflict')
})

t.test('an infeasible change names the customer and changes nothing', async (t) => {
  const register = withBase()
  const result = register.apply(changeOf('a', 1, customerOf('c0', 5)))
  t.match(result, { status: 'refused', version: 1, error: { kind: 'config-infeasible', info: { customer: 'c0', placed: 4 } } })
  t.strictSame(register.config, base)
})

t.test('a change that removes something absent is refused instead of doing nothing', async (t) => {
  const register = withBase()
  t.equal(kindOf(register.apply(changeOf('a', 1, { op: 'remove-customer', id: asId('x') }))), 'unknown-customer')
  t.equal(kindOf(register.apply(changeOf('b', 1, { op: 'remove-kind', kind: asId('x') }))), 'unknown-kind')
  t.equal(kindOf(register.apply(changeOf('c', 1, { op: 'undrain', endpointId: asId('x') }))), 'invalid-request')
})

t.test('an import keeps its version and never lowers the version in force', async (t) => {
  const register = new ConfigRegister()
  const copy: Config = { ...base, version: 41 }
  t.strictSame(register.apply({ type: 'import', config: copy }), { status: 'accepted', version: 41 })
  t.strictSame(register.apply({ type: 'import', config: copy }), { status: 'accepted', version: 41 }, 'resend')
  for (const version of [0, 40]) t.equal(kindOf(register.apply({ type: 'import', config: { ...base, version } })), 'version-conflict')
  t.equal(kindOf(register.apply({ type: 'import', config: { ...base, version: 41, fleet: { domains: [] } } })), 'version-conflict')
  t.strictSame(register.config, copy)
})

t.test('an infeasible import is refused', async (t) => {
  const register = new ConfigRegister()
  const { customer } = customerOf('c0', 5) as { customer: Config['customers'][number] }
  t.equal(kindOf(register.apply({ type: 'import', config: { ...base, customers: [customer] } })), 'config-infeasible')
})

t.test('a conflict on a version whose change id was evicted or lost is not reported as "not run"', async (t) => {
  const register = withBase({ acceptedIds: 2, refusedIds: 2 })
  const first = changeOf('a', 1, customerOf('c0', 1))
  register.apply(first)
  register.apply(changeOf('b', 2, customerOf('c1', 1)))
  t.equal(register.apply(first).status, 'accepted')
  register.apply(changeOf('c', 3, customerOf('c0', 1)))
  t.match(register.apply(first), { status: 'refused', error: { kind: 'version-conflict', execution: 'unknown' } })
  t.match(register.apply(changeOf('x', 2, customerOf('c2', 1))), { error: { execution: 'not-run' } })

  const imported = new ConfigRegister()
  imported.apply({ type: 'import', config: { ...base, version: 9 } })
  t.match(imported.apply(changeOf('lost', 8, customerOf('c2', 1))), { error: { kind: 'version-conflict', execution: 'unknown' } })
})

t.test('a flood of refused changes evicts no accepted change id', async (t) => {
  const register = withBase({ acceptedIds: 2, refusedIds: 2 })
  const accepted = changeOf('a', 1, customerOf('c0', 1))
  register.apply(accepted)
  for (let i = 0; i < 20; i++) register.apply(changeOf(`r${i}`, 1, customerOf('c1', 1)))
  t.equal(register.apply(accepted).status, 'accepted')
  t.equal(register.rememberedChangeCount, 3)
})

t.test('the proposer, which applies its own object, agrees with replicas that applied its JSON', async (t) => {
  const operation = customerOf('c0', 1) as Extract<ConfigOperation, { op: 'put-customer' }>
  const guarantees = operation.customer.guarantees.map((guarantee) => ({ ...guarantee, domain: undefined }))
  const command = changeOf('a', 1, { ...operation, customer: { ...operation.customer, guarantees } } as unknown as ConfigOperation)
  const [proposer, follower] = [withBase(), withBase()]
  t.strictSame(proposer.apply(command), { status: 'accepted', version: 2 })
  t.strictSame(follower.apply(JSON.parse(JSON.stringify(command))), { status: 'accepted', version: 2 })
  t.strictSame(follower.toSnapshot(), proposer.toSnapshot())
})

t.test('a malformed command is refused on every replica instead of stopping it', async (t) => {
  const register = withBase()
  const inputs: unknown[] = [null, 3, {}, { type: 'change' }, { type: 'change', change: { changeId: 'a' } }, { type: 'import' }, { type: 'x' }]
  for (const input of inputs) t.equal(kindOf(register.apply(input as ConfigCommand)), 'invalid-request')
})

t.test('a damaged snapshot is refused', async (t) => {
  const err = t.throws(() => new ConfigRegister().restore({ config: {} })) as unknown as IbisError
  t.equal(err.kind, 'invalid-request')
})

/** One step: a change that expects a version near the one in force, a resend, an import, or a restart of a replica. */
type Step =
  | { readonly type: 'change', readonly offset: number, readonly operation: ConfigOperation }
  | { readonly type: 'resend', readonly back: number }
  | { readonly type: 'import', readonly offset: number }
  | { readonly type: 'restart', readonly encoding: 'json' | 'msgpack' }

const steps: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      type: fc.constant('change' as const),
      offset: fc.constantFrom(0, 0, 0, -1, 1, -3),
      operation: fc.oneof(
        fc.record({ id: fc.constantFrom('c0', 'c1', 'c2'), count: fc.integer({ min: 1, max: 3 }) }).map(({ id, count }) => customerOf(id, count)),
        fc.constantFrom('c0', 'c1', 'c2').map((id): ConfigOperation => ({ op: 'remove-customer', id: asId(id) })),
        fc.constantFrom('e0', 'e1').map((id): ConfigOperation => ({ op: 'drain', endpointId: asId(id) }))
      )
    })
  },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('resend' as const), back: fc.integer({ min: 1, max: 4 }) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('import' as const), offset: fc.integer({ min: -2, max: 3 }) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('restart' as const), encoding: fc.constantFrom('json' as const, 'msgpack' as const) }) }
)

const LIMITS = { acceptedIds: 8, refusedIds: 8 }

const restart = (register: ConfigRegister, encoding: 'json' | 'msgpack'): ConfigRegister => {
  const snapshot = register.toSnapshot()
  const restored = new ConfigRegister(LIMITS)
  restored.restore(encoding === 'json' ? JSON.parse(JSON.stringify(snapshot)) : unpack(pack(snapshot)))
  return restored
}

t.test('racing operators, resends, imports and restarts keep replicas equal and versions in order', async (t) => {
  fc.assert(fc.property(fc.array(steps, { maxLength: 40, size: 'max' }), (list) => {
    const steady = withBase(LIMITS)
    let restarted = withBase(LIMITS)
    const sent: ConfigCommand[] = []
    const results = new Map<string, ConfigResult>()
    const winners = new Map<number, string>()
    for (const step of list) {
      if (step.type === 'restart') {
        restarted = restart(restarted, step.encoding)
        continue
      }
      const { version } = steady.config
      const command = buildCommand(step, version, steady.config, sent)
      if (!command) continue
      const result = steady.apply(command)
      t.strictSame(restarted.apply(JSON.parse(JSON.stringify(command))), result, 'replicas agree')
      t.strictSame(restarted.config, steady.config, 'replicas hold the same configuration')
      t.ok(steady.config.version >= version, 'the version never goes back')
      t.ok(steady.rememberedChangeCount <= LIMITS.acceptedIds + LIMITS.refusedIds, 'the number of remembered ids is bounded')
      checkFeasible(steady.config)
      if (command.type === 'import') continue
      const { changeId, expectedVersion } = command.change
      if (step.type === 'change') {
        sent.push(command)
        results.set(changeId, result)
        t.equal(steady.config.version, result.status === 'accepted' ? version + 1 : version)
        if (result.status !== 'accepted') continue
        t.equal(expectedVersion, version)
        t.notOk(winners.has(result.version), 'each version is created by one change')
        winners.set(result.version, changeId)
      } else {
        t.strictSame(result, results.get(changeId), 'a resend gets the recorded result')
        t.equal(steady.config.version, version)
      }
    }
  }), RUNS)
})

const buildCommand = (step: Exclude<Step, { type: 'restart' }>, version: number, config: Config, sent: readonly ConfigCommand[]): ConfigCommand | undefined => {
  switch (step.type) {
    case 'change': {
      const change: ConfigChange = { changeId: asId(`id-${sent.length}`), expectedVersion: Math.max(0, version + step.offset), delta: [step.operation] }
      return { type: 'change', change }
    }
    // An id is remembered at least until this many later changes had the same status.
    case 'resend': return sent[sent.length - step.back]
    case 'import': return { type: 'import', config: { ...config, version: Math.max(0, version + step.offset) } }
  }
}
