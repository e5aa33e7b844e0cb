export * from './types.ts'
export { Replica } from './replica.ts'
export type * from './replica-types.ts'
