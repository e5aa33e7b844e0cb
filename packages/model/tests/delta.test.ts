import { asId } from '@ibisstair/common'
import fc from 'fast-check'
import t from 'tap'
import { ConfigDelta, type ConfigOperation, EMPTY_CONFIG } from '../src/index.ts'
import { configs, operations } from './arbitraries.ts'

const RUNS = { seed: 4101, numRuns: 300 }
const deltas = fc.array(operations, { maxLength: 8 }).map((list) => ConfigDelta.create(list))

t.before(() => { t.comment(`seed ${RUNS.seed}, ${RUNS.numRuns} runs`) })

t.test('an applied delta followed by its inverse gives back the configuration', async () => {
  fc.assert(fc.property(configs, deltas, (config, delta) => {
    t.same(delta.invert(config).apply(delta.apply(config)), config)
  }), RUNS)
})

t.test('a merged delta has the effect of its parts in order', async () => {
  fc.assert(fc.property(configs, deltas, deltas, (config, first, second) => {
    t.same(first.merge(second).apply(config), second.apply(first.apply(config)))
  }), RUNS)
})

t.test('merging is associative', async () => {
  fc.assert(fc.property(configs, deltas, deltas, deltas, (config, a, b, c) => {
    t.same(a.merge(b).merge(c).apply(config), a.merge(b.merge(c)).apply(config))
  }), RUNS)
})

t.test('operations applied one by one give the same result as one delta', async () => {
  fc.assert(fc.property(configs, fc.array(operations, { maxLength: 8 }), (config, list) => {
    const oneByOne = list.reduce((now, operation) => ConfigDelta.create([operation]).apply(now), config)
    t.same(ConfigDelta.create(list).apply(config), oneByOne)
  }), RUNS)
})

t.test('the difference of two configurations leads from one to the other and holds nothing else', async () => {
  fc.assert(fc.property(configs, configs, (from, to) => {
    const delta = ConfigDelta.between(from, to)
    t.same(delta.apply(from), { ...to, version: from.version })
    t.equal(delta.findMissingTarget(from), undefined)
    t.ok(ConfigDelta.between(from, from).isEmpty)
  }), RUNS)
})

t.test('applying leaves its input and the version alone', async () => {
  fc.assert(fc.property(configs, deltas, (config, delta) => {
    const before = structuredClone(config)
    t.equal(delta.apply(config).version, config.version)
    t.same(config, before)
  }), RUNS)
})

t.test('removing something absent is found, so that a misspelled id is not accepted silently', async (t) => {
  const absent: ConfigOperation[] = [
    { op: 'remove-customer', id: asId('x') },
    { op: 'remove-kind', kind: asId('x') },
    { op: 'remove-domain', id: asId('x') },
    { op: 'undrain', endpointId: asId('x') }
  ]
  for (const operation of absent) t.same(ConfigDelta.create([operation]).findMissingTarget(EMPTY_CONFIG), operation)
  t.equal(ConfigDelta.create([{ op: 'drain', endpointId: asId('x') }]).findMissingTarget(EMPTY_CONFIG), undefined)
})
