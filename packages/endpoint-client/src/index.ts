export * from './client.ts'
export * from './types.ts'
