export * from './constants.ts'
export * from './types.ts'
