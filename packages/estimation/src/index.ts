export { SpeedEstimator } from './speed-estimator.ts'
export type { EndObservation, EndpointSpeed, RateObservation, SpeedSnapshot } from './speed-types.ts'
