export * from './run-time-estimator.ts'
export type { RunSample } from './run-time-group.ts'
export { SpeedEstimator } from './speed-estimator.ts'
export type { EndObservation, EndpointSpeed, RateObservation, SpeedSnapshot } from './speed-types.ts'
