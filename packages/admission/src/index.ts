export * from './constants.ts'
export * from './retry-spread.ts'
