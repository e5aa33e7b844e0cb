export * from './types.ts'
