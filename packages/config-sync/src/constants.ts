/** With one comparison a second, a configuration is expected to reach 100 processes in under 8 s without any push. */
export const COMPARE_PERIOD_MS = 1_000
export const SYNC_CALL_TIMEOUT_MS = 800
