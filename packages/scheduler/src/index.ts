export * from './constants.ts'
export * from './scheduler.ts'
export * from './types.ts'
