import { asId } from '@ibisstair/common'
import fc from 'fast-check'
import t from 'tap'
import { ConfigDelta, type ConfigOperation, EMPTY_CONFIG } from '../src/index.ts'
import { configs, operations } from './arbitraries.ts'

const RUNS = { seed: 4101, numRuns: 300 }
const deltas = fc.array(operations, { maxLength: 8 }).map((list) => ConfigDelta.create(list))

t.before(() => { t.comment(`seed ${RUNS.seed}, ${RUNS.numRuns} runs`) })

t.test('applying a delta and then its inverse restores the configuration', async () => {
  fc.assert(fc.property(configs, deltas, (config, delta) => {
    t.same(delta.invert(config).apply(delta.apply(config)), config)
  }), RUNS)
})

t.test('a merged delta has the same effect as its parts applied in order', async () => {
  fc.assert(fc.property(configs, deltas, deltas, (config, first, second) => {
    t.same(first.merge(second).apply(config), second.apply(first.apply(config)))
  }), RUNS)
})

t.test('merging deltas is associative', async () => {
  fc.assert(fc.property(configs, deltas, deltas, deltas, (config, a, b, c) => {
    t.same(a.merge(b).merge(c).apply(config), a.merge(b.merge(c)).apply(config))
  }), RUNS)
})

t.test('operations applied one by one give the same result as one delta', async () => {
  fc.assert(fc.property(configs, fc.array(operations, { maxLength: 8 }), (config, list) => {
    const oneByOne = list.reduce((current, operation) => ConfigDelta.create([operation]).apply(current), config)
    t.same(ConfigDelta.create(list).apply(config), oneByOne)
  }), RUNS)
})

t.test('the delta between two configurations turns one into the other and contains no other operation', async () => {
  fc.assert(fc.property(configs, configs, (from, to) => {
    const delta = ConfigDelta.between(from, to)
    t.same(delta.apply(from), { ...to, version: from.version })
    t.equal(delta.findMissingTarget(from), undefined)
    t.ok(ConfigDelta.between(from, from).isEmpty)
  }), RUNS)
})

t.test('applying a delta changes neither the input configuration nor the version', async () => {
  fc.assert(fc.property(configs, deltas, (config, delta) => {
    const before = structuredClone(config)
    t.equal(delta.apply(config).version, config.version)
    t.same(config, before)
  }), RUNS)
})

t.test('the removal of an absent item is reported, so that a misspelled id is not accepted silently', async (t) => {
  const absent: ConfigOperation[] = [
    { op: 'remove-customer', id: asId('x') },
    { op: 'remove-kind', kind: asId('x') },
    { op: 'remove-domain', id: asId('x') },
    { op: 'undrain', endpointId: asId('x') }
  ]
  for (const operation of absent) t.same(ConfigDelta.create([operation]).findMissingTarget(EMPTY_CONFIG), operation)
  t.equal(ConfigDelta.create([{ op: 'drain', endpointId: asId('x') }]).findMissingTarget(EMPTY_CONFIG), undefined)
})
