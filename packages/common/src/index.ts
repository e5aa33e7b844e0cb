export * from './errors.ts'
export * from './hash.ts'
export * from './invariant.ts'
export * from './types.ts'
