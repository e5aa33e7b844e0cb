import t from 'tap'
import * as v from 'valibot'
import { checkValue, IbisError } from '../src/index.ts'

const Schema = v.strictObject({
  name: v.string(),
  size: v.pipe(v.number(), v.integer(), v.minValue(1))
})

t.test('an invalid field is reported with its path, its value and what is accepted', async (t) => {
  const err = t.throws(() => checkValue(Schema, { name: 'a', size: -4 }, 'request')) as unknown as IbisError
  t.equal(err.kind, 'invalid-request')
  t.match(err.message, /request: field size: got -4, accepted is >=1/)
})

t.test('an unknown field is refused with its name', async (t) => {
  const err = t.throws(() => checkValue(Schema, { name: 'a', size: 1, colour: 'red' }, 'request')) as unknown as IbisError
  t.match(err.message, /colour/)
})

t.test('a very long value is truncated in the error message', async (t) => {
  const err = t.throws(() => checkValue(Schema, { name: 'a', size: 'x'.repeat(10_000) }, 'request')) as unknown as IbisError
  t.ok(err.message.length < 300)
})

t.test('a missing field is reported as missing, not as an invalid value', async (t) => {
  const err = t.throws(() => checkValue(Schema, { name: 'a' }, 'request')) as unknown as IbisError
  t.equal(err.message, 'request: field size: missing')
})

t.test('a value that cannot be encoded as JSON is still refused with its field', async (t) => {
  const deep = JSON.parse('['.repeat(50_000) + ']'.repeat(50_000))
  for (const size of [deep, 1n]) {
    const err = t.throws(() => checkValue(Schema, { name: 'a', size }, 'request')) as unknown as IbisError
    t.equal(err.kind, 'invalid-request')
    t.match(err.message, /field size: got a \w+ that cannot be shown/)
  }
})
