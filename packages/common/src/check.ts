import * as v from 'valibot'
import { IbisError } from './errors.ts'

const MAX_SHOWN_ISSUES = 5
const MAX_SHOWN_VALUE_CHARS = 80

const encode = (value: unknown): string => {
  try {
    return JSON.stringify(value) ?? String(value)
  } catch {
    // Nested too deeply, cyclic or a BigInt. The error message must still name the field.
    return `a ${typeof value} that cannot be shown`
  }
}

const formatValue = (value: unknown): string => {
  const text = encode(value)
  return text.length > MAX_SHOWN_VALUE_CHARS ? `${text.slice(0, MAX_SHOWN_VALUE_CHARS)}…` : text
}

const describeIssue = (issue: v.BaseIssue<unknown>): string => {
  const field = v.getDotPath(issue) ?? '(whole value)'
  if (issue.type === 'strict_object' && issue.expected === 'never') return `field ${field}: unknown field`
  if (issue.type.endsWith('object') && issue.received === 'undefined') return `field ${field}: missing`
  const accepted = issue.expected ?? issue.message
  const detail = issue.expected && !issue.message.startsWith('Invalid') ? ` (${issue.message})` : ''
  return `field ${field}: got ${formatValue(issue.input)}, accepted is ${accepted}${detail}`
}

/**
 * Validates untrusted input against a schema. Throws `invalid-request` with the first invalid fields,
 * their values and what is accepted; `inputName` names the input, for example a file or a message.
 */
export const checkValue = <S extends v.GenericSchema>(schema: S, value: unknown, inputName: string): v.InferOutput<S> => {
  const result = v.safeParse(schema, value)
  if (result.success) return result.output
  const descriptions = result.issues.slice(0, MAX_SHOWN_ISSUES).map(describeIssue)
  throw new IbisError('invalid-request', `${inputName}: ${descriptions.join('; ')}`, { info: { fields: result.issues.slice(0, MAX_SHOWN_ISSUES).map((issue) => v.getDotPath(issue) ?? '') } })
}
