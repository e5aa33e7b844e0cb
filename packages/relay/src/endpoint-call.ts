import { assertNever } from '@ibisstair/common'
import type { EndpointPort, OrderResult, RenewResult } from '@ibisstair/dispatch'
import type { EndpointRecord } from '@ibisstair/jobs'
import type { EndpointCall } from './types.ts'

/** Sends a call to an endpoint by the given port. */
export const callEndpoint = async (port: EndpointPort, endpoint: EndpointRecord, call: EndpointCall, timeoutMs: number): Promise<OrderResult | RenewResult> => {
  switch (call.type) {
    case 'start': return await port.start(endpoint, call.order, timeoutMs)
    case 'stop': return await port.stop(endpoint, call.order, timeoutMs)
    case 'renew': return await port.renew(endpoint, call.order, timeoutMs)
    default: return assertNever(call)
  }
}
