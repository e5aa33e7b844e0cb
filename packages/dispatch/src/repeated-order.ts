import { IbisError } from '@ibisstair/common'
import { ORDER_REPEAT_MS, ORDER_TIMEOUT_MS } from './constants.ts'
import type { OrderResult } from './ports.ts'

/**
 * The load that this answers: gangs on endpoints that leave single orders without an answer. One lost order in thirty
 * would otherwise hold up every fifth gang of six for the time-out of the order, the stop of the other members and a
 * new start. An order may be sent twice: an endpoint goes by the run number and carries out a repeated one once.
 */

/** What became of an order. */
export interface OrderOutcome {
  readonly result: OrderResult | IbisError
  /** Whether an attempt before the last one got no answer, so that it may still be carried out. */
  readonly isUncertain: boolean
}

/** A refused connection has carried nothing. */
export const isConnectionRefused = (err: IbisError): boolean => err.details?.code === 'ECONNREFUSED'

/** Any other failure may show that the endpoint has restarted, and its successor would carry out the repetition anew. */
const hasTimedOut = (err: IbisError): boolean => err.details?.reason === 'timeout'

/**
 * Sends an order, and once more if no answer arrives soon and `mayRepeat` still holds. Both attempts together take at most
 * `ORDER_TIMEOUT_MS`.
 */
export const sendWithRepeat = async (send: (timeoutMs: number) => Promise<OrderResult>, mayRepeat: () => boolean): Promise<OrderOutcome> => {
  const first = await send(ORDER_REPEAT_MS).catch(IbisError.from)
  if (!(first instanceof IbisError) || !hasTimedOut(first) || !mayRepeat()) return { result: first, isUncertain: false }
  const second = await send(ORDER_TIMEOUT_MS - ORDER_REPEAT_MS).catch(IbisError.from)
  return { result: second, isUncertain: true }
}
