export * from './run-time-estimator.ts'
export type { RunSample } from './run-time-group.ts'
