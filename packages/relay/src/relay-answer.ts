import * as v from 'valibot'
import type { EndpointCall } from './types.ts'

const RunSchema = v.object({ task: v.string(), run: v.number(), percent: v.number() })
const EndSchema = v.object({ number: v.number(), task: v.string(), run: v.number(), outcome: v.string(), checkpoint: v.string() })

const ReportSchema = v.object({
  clockMs: v.number(),
  running: v.array(RunSchema),
  ended: v.array(EndSchema),
  hasMore: v.boolean()
})

const Fenced = v.object({ type: v.literal('fenced') })
const Refused = v.object({ type: v.literal('refused'), reason: v.string() })
const WrongIncarnation = v.object({ type: v.literal('wrong-incarnation'), successorReport: v.optional(ReportSchema) })

const OrderResultSchema = v.variant('type', [v.object({ type: v.literal('ok'), clockMs: v.number() }), Fenced, Refused, WrongIncarnation])
const RenewResultSchema = v.variant('type', [v.object({ type: v.literal('report'), report: ReportSchema }), Fenced, Refused, WrongIncarnation])

/** What a relay answers; the result of the endpoint is checked against the call. */
export const RelayAnswerSchema = v.variant('type', [
  v.object({ type: v.literal('answered'), result: v.unknown() }),
  v.object({ type: v.literal('unreachable'), detail: v.string(), code: v.nullable(v.string()) })
])

export const toResultSchema = ({ type }: EndpointCall) => type === 'renew' ? RenewResultSchema : OrderResultSchema
