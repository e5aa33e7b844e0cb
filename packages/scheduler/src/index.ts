export * from './constants.ts'
export * from './policy.ts'
export * from './scheduler.ts'
export * from './types.ts'
