/** RPC method by which the leader asks a relay to pass a call on. */
export const RELAY_METHOD = 'relay.call'

/** Period at which a process repeats its offer to relay calls. */
export const OFFER_PERIOD_MS = 2_000

/** An offer that has not been repeated for this time is void. */
export const OFFER_EXPIRY_MS = 7_000

/** Largest number of processes whose offers are kept; further ones are ignored. */
export const MAX_RELAYS = 1_024

/** Relays that are tried for one endpoint, in turn. */
export const MAX_RELAYS_PER_ENDPOINT = 4

/** Added to the timeout of a relayed call for the way to the relay and back. */
export const RELAY_HOP_MS = 150

/** Time before a relay is asked again after one did not reach the endpoint; it doubles with each failure in a row. */
export const MIN_RELAY_RETRY_MS = 500
export const MAX_RELAY_RETRY_MS = 8_000

/** Time between two attempts to reach an endpoint directly while its calls are relayed; it doubles with each failure in a row. */
export const MIN_DIRECT_PROBE_INTERVAL_MS = 2_000
export const MAX_DIRECT_PROBE_INTERVAL_MS = 16_000
export const DIRECT_PROBE_TIMEOUT_MS = 700

/** Relays that are tried one after the other before the direct path is tried again. */
export const MAX_RELAYS_IN_A_ROW = 2

/** Calls that the leader has relayed at a time; further ones fail. Each holds a connection to its relay. */
export const MAX_RELAYED_CALLS = 1_536

/** Calls that one relay passes on at a time; further ones are refused. */
export const MAX_CALLS_PER_RELAY = 64

/** A relay closes its connections to an endpoint that has had no call for this time. */
export const RELAY_IDLE_MS = 10_000
export const IDLE_CHECK_PERIOD_MS = 5_000
