import { asId, type ChangeId, checkValue, type ErrorBody, IbisError } from '@ibisstair/common'
import { ErrorBodySchema } from '@ibisstair/model'
import { type HttpReply, parseJson } from '@ibisstair/rpc'
import * as v from 'valibot'
import type { ChangeResult } from './types.ts'

const MAX_SHOWN_CHARS = 200

const ChangeAnswer = v.object({ version: v.pipe(v.number(), v.safeInteger(), v.minValue(0)) })
const ObjectAnswer = v.record(v.string(), v.unknown())
const WrappedError = v.object({ error: v.unknown() })

export const parseChangeAnswer = (value: unknown, changeId: string, source: string): ChangeResult => {
  const { version } = checkAnswer(ChangeAnswer, value, source)
  return { version, changeId: asId<ChangeId>(changeId) }
}

export const parseObjectAnswer = (value: unknown, source: string): Record<string, unknown> =>
  checkAnswer(ObjectAnswer, value, source)

/** A wrong answer is not a fault of the request, so it is reported as `internal`. */
const checkAnswer = <S extends v.GenericSchema>(schema: S, value: unknown, source: string): v.InferOutput<S> => {
  try {
    return checkValue(schema, value, `answer of ${source}`)
  } catch (err) {
    throw new IbisError('internal', (err as Error).message, { cause: err as Error })
  }
}

const parseErrorBody = (value: unknown): ErrorBody | undefined => {
  const wrapped = v.safeParse(WrappedError, value)
  const body = v.safeParse(ErrorBodySchema, wrapped.success ? wrapped.output.error : value)
  return body.success ? body.output : undefined
}

const describeReply = ({ status, body }: HttpReply): string =>
  `HTTP status ${status}: ${body.toString('utf8', 0, MAX_SHOWN_CHARS)}`

/** Parses a reply; throws the error that it carries. */
export const readReply = (reply: HttpReply, source: string): unknown => {
  if (reply.status === 200) return parseReply(reply, source)
  const error = parseErrorBody(parseReply(reply, source))
  if (error) throw IbisError.fromBody(error)
  throw new IbisError('internal', `${source}: ${describeReply(reply)}`)
}

const parseReply = (reply: HttpReply, source: string): unknown => {
  try {
    return parseJson(reply.body, source)
  } catch {
    throw new IbisError('internal', `${source}: ${describeReply(reply)}`)
  }
}
