/** A type that the compiler does not mix up with other ids of the same base type. */
type Brand<T, B extends string> = T & { readonly _brand: B }

export type CustomerId = Brand<string, 'CustomerId'>
export type CallerId = Brand<string, 'CallerId'>
export type RequestKey = Brand<string, 'RequestKey'>
export type JobId = Brand<string, 'JobId'>
export type TaskId = Brand<string, 'TaskId'>
export type EndpointId = Brand<string, 'EndpointId'>
export type RackId = Brand<string, 'RackId'>
export type DomainId = Brand<string, 'DomainId'>
export type NodeId = Brand<string, 'NodeId'>
export type ChangeId = Brand<string, 'ChangeId'>
export type KindOfWork = Brand<string, 'KindOfWork'>

/**
 * Casts a validated string to a branded id. It does not check the string; parsers call it after
 * validation.
 */
export const asId = <T extends string>(value: string): T => value as T
