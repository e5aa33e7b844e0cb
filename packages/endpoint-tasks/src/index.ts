export * from './constants.ts'
export * from './table.ts'
export * from './types.ts'
