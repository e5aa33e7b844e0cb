import { asId, type ChangeId, checkValue, type ErrorBody, IbisError } from '@ibisstair/common'
import { ErrorBodySchema } from '@ibisstair/model'
import { type HttpReply, parseJson } from '@ibisstair/rpc'
import * as v from 'valibot'
import type { ChangeResult } from './types.ts'

const MAX_EXCERPT_CHARS = 200

const ChangeResponseSchema = v.object({ version: v.pipe(v.number(), v.safeInteger(), v.minValue(0)) })
const ObjectResponseSchema = v.record(v.string(), v.unknown())
const ErrorEnvelopeSchema = v.object({ error: v.unknown() })

export const parseChangeResponse = (value: unknown, changeId: string, source: string): ChangeResult => {
  const { version } = checkResponse(ChangeResponseSchema, value, source)
  return { version, changeId: asId<ChangeId>(changeId) }
}

export const parseObjectResponse = (value: unknown, source: string): Record<string, unknown> =>
  checkResponse(ObjectResponseSchema, value, source)

/** A malformed response is not caused by the request, so it is reported as `internal` instead of `invalid-request`. */
export const checkResponse = <S extends v.GenericSchema>(schema: S, value: unknown, source: string): v.InferOutput<S> => {
  try {
    return checkValue(schema, value, `response of ${source}`)
  } catch (err) {
    throw new IbisError('internal', (err as Error).message, { cause: err as Error })
  }
}

const parseErrorBody = (value: unknown): ErrorBody | undefined => {
  const envelope = v.safeParse(ErrorEnvelopeSchema, value)
  const body = v.safeParse(ErrorBodySchema, envelope.success ? envelope.output.error : value)
  return body.success ? body.output : undefined
}

const describeReply = ({ status, body }: HttpReply): string =>
  `HTTP status ${status}: ${body.toString('utf8', 0, MAX_EXCERPT_CHARS)}`

/** Returns the parsed body of a reply with status 200; otherwise throws the error in the body. */
export const readReply = (reply: HttpReply, source: string): unknown => {
  if (reply.status === 200) return parseReplyBody(reply, source)
  const error = parseErrorBody(parseReplyBody(reply, source))
  if (error) throw IbisError.fromBody(error)
  throw new IbisError('internal', `${source}: ${describeReply(reply)}`)
}

const parseReplyBody = (reply: HttpReply, source: string): unknown => {
  try {
    return parseJson(reply.body, source)
  } catch {
    throw new IbisError('internal', `${source}: ${describeReply(reply)}`)
  }
}
