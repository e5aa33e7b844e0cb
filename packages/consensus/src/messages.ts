import * as v from 'valibot'
import type { NodeId } from '@ibisstair/common'

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0))
const nodeId = v.custom<NodeId>((value) => typeof value === 'string' && value.length > 0 && value.length <= 200, 'a node id')

export const memberSchema = v.object({
  node: nodeId,
  incarnation: v.string(),
  role: v.picklist(['voter', 'learner']),
  witness: v.boolean()
})

export const entrySchema = v.object({
  index: count,
  term: count,
  body: v.variant('type', [
    v.object({ type: v.literal('noop') }),
    v.object({ type: v.literal('members'), members: v.array(memberSchema) }),
    v.object({ type: v.literal('command'), command: v.unknown() })
  ])
})

export const hardStateSchema = v.object({
  term: count,
  votedFor: v.nullable(nodeId),
  votedIncarnation: v.optional(v.nullable(v.string()), null)
})

export const snapshotSchema = v.object({
  index: count,
  term: count,
  members: v.array(memberSchema),
  data: v.string()
})

const header = {
  term: count,
  fromIncarnation: v.string(),
  /** Empty in a join request, because its sender does not know the receiver's incarnation. */
  toIncarnation: v.string()
}

/** Send time on the leader's clock, which the receiver returns in its reply. */
const sentAt = v.number()

/** The messages between replicas, sent as JSON. */
export const messageSchema = v.variant('type', [
  v.object({ type: v.literal('pre-vote'), ...header, lastIndex: count, lastTerm: count }),
  v.object({ type: v.literal('pre-vote-reply'), ...header, granted: v.boolean() }),
  v.object({ type: v.literal('vote'), ...header, lastIndex: count, lastTerm: count, transfer: v.boolean() }),
  v.object({ type: v.literal('vote-reply'), ...header, granted: v.boolean() }),
  v.object({ type: v.literal('append'), ...header, prevIndex: count, prevTerm: count, commitIndex: count, entries: v.array(entrySchema), sentAt }),
  /** When `ok` is false, `matchIndex` is a hint at the last index where the logs may match. */
  v.object({ type: v.literal('append-reply'), ...header, ok: v.boolean(), prevIndex: count, matchIndex: count, diskFull: v.boolean(), sentAt }),
  v.object({ type: v.literal('snapshot'), ...header, index: count, lastTerm: count, members: v.array(memberSchema), offset: count, total: count, data: v.string(), sentAt }),
  v.object({ type: v.literal('snapshot-reply'), ...header, index: count, offset: count, sentAt }),
  v.object({ type: v.literal('timeout-now'), ...header }),
  v.object({ type: v.literal('join'), ...header }),
  /** A voter that shuts down asks the leader to give its vote to a learner. */
  v.object({ type: v.literal('resign'), ...header })
])

export type Message = v.InferOutput<typeof messageSchema>
export type MessageOf<T extends Message['type']> = Extract<Message, { readonly type: T }>
