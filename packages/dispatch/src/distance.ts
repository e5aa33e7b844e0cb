import type { EndpointRecord, StepSpec } from '@ibisstair/jobs'

/**
 * Whether runs on these endpoints take about three times as long on an endpoint of any speed: away from the rack of their data,
 * or tightly coupled over several racks. Such runs tell neither the speed of an endpoint nor the run time of similar work.
 */
export const isSlowedByDistance = ({ dataRack, tightlyCoupled }: StepSpec, endpoints: readonly EndpointRecord[]): boolean => {
  const racks = new Set(endpoints.map(({ rack }) => rack))
  return (tightlyCoupled && racks.size > 1) || (dataRack !== null && [...racks].some((rack) => rack !== dataRack))
}
