import { asId, checkValue, type KindOfWork, type NodeId } from '@ibisstair/common'
import * as v from 'valibot'
import { MAX_BODY_BUCKETS, MAX_BODY_COUNTERS, MAX_OBJECTIVE_KINDS } from './constants.ts'
import type { MetricsBody, ObjectiveBucket } from './types.ts'

const MAX_NAME_CHARS = 128

const NameSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(MAX_NAME_CHARS))
const CountSchema = v.pipe(v.number(), v.safeInteger('a whole number of requests'), v.minValue(0))
const TimeMsSchema = v.pipe(v.number(), v.finite('a Unix time in milliseconds'), v.minValue(0))

const BucketSchema = v.pipe(
  v.strictTuple([TimeMsSchema, CountSchema, CountSchema]),
  v.check(([, good, total]) => good <= total, 'a bucket with at most as many good requests as requests'),
  v.transform((bucket): ObjectiveBucket => bucket)
)

const ObjectiveSchema = v.object({
  kind: v.pipe(NameSchema, v.transform(asId<KindOfWork>)),
  startWithinMs: v.pipe(v.number(), v.finite('a time in milliseconds'), v.minValue(0)),
  target: v.pipe(v.number(), v.minValue(0), v.maxValue(1)),
  buckets: v.pipe(v.array(BucketSchema), v.maxLength(MAX_BODY_BUCKETS))
})

// Unknown fields are ignored, so that an older reader accepts the body of a newer entry.
const MetricsBodySchema = v.object({
  node: v.pipe(NameSchema, v.transform(asId<NodeId>)),
  atMs: TimeMsSchema,
  objectives: v.pipe(v.array(ObjectiveSchema), v.maxLength(MAX_OBJECTIVE_KINDS)),
  counters: v.pipe(
    v.record(NameSchema, v.pipe(v.number(), v.finite('a finite number'))),
    v.check((counters) => Object.keys(counters).length <= MAX_BODY_COUNTERS, `at most ${MAX_BODY_COUNTERS} counters`)
  )
})

/** Throws `invalid-request` when the value is not a metrics body; `source` names the entry or file in the message. */
export const parseMetricsBody = (value: unknown, source: string): MetricsBody => checkValue(MetricsBodySchema, value, source)
