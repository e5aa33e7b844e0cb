export * from './cache.ts'
export * from './constants.ts'
export * from './sync.ts'
export * from './types.ts'
