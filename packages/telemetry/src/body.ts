import { asId, checkValue, type KindOfWork, type NodeId } from '@ibisstair/common'
import * as v from 'valibot'
import { MAX_BODY_BUCKETS, MAX_BODY_COUNTERS, MAX_OBJECTIVE_KINDS } from './constants.ts'
import type { MetricsBody, ObjectiveBucket } from './types.ts'

const MAX_NAME_CHARS = 128

const Name = v.pipe(v.string(), v.minLength(1), v.maxLength(MAX_NAME_CHARS))
const Count = v.pipe(v.number(), v.safeInteger('a whole number of requests'), v.minValue(0))
const TimeMs = v.pipe(v.number(), v.finite('a Unix time in milliseconds'), v.minValue(0))

const Bucket = v.pipe(
  v.strictTuple([TimeMs, Count, Count]),
  v.check(([, good, total]) => good <= total, 'a bucket with at most as many good requests as requests'),
  v.transform((bucket): ObjectiveBucket => bucket)
)

const Objective = v.object({
  kind: v.pipe(Name, v.transform(asId<KindOfWork>)),
  startWithinMs: v.pipe(v.number(), v.finite('a time in milliseconds'), v.minValue(0)),
  target: v.pipe(v.number(), v.minValue(0), v.maxValue(1)),
  buckets: v.pipe(v.array(Bucket), v.maxLength(MAX_BODY_BUCKETS))
})

// Unknown fields are dropped, so that an older reader accepts a newer entry.
const Body = v.object({
  node: v.pipe(Name, v.transform(asId<NodeId>)),
  atMs: TimeMs,
  objectives: v.pipe(v.array(Objective), v.maxLength(MAX_OBJECTIVE_KINDS)),
  counters: v.pipe(
    v.record(Name, v.pipe(v.number(), v.finite('a finite number'))),
    v.check((counters) => Object.keys(counters).length <= MAX_BODY_COUNTERS, `at most ${MAX_BODY_COUNTERS} counters`)
  )
})

/** Throws `invalid-request`; `source` names the entry or file. */
export const parseMetricsBody = (value: unknown, source: string): MetricsBody => checkValue(Body, value, source)
