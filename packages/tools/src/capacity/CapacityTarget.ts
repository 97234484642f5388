/** Target size of the system and its resource budgets. */
export const TARGET = {
  accelerators: 6_500,
  concurrentTeams: 1_200,
  configChangesPerDay: 4_000,
  controlBytesPerSecond: 24 * 1024,
  controlCpuShare: 0.011,
  daemons: 330,
  entryVms: 110,
  failureDomains: 6,
  inForceMs: 8_000,
  memoryBytes: 256 * 1024 * 1024,
  memberChangesPerDay: 2 * (14 + 60) * 3,
  models: 27,
  requestsPerSecond: 5_800,
  servers: 810,
  storeReadsPerSecond: 2_000,
  storeWritesPerSecond: 300,
  tokensPerSecond: 2_500_000,
} as const;

/** Seconds per day. */
export const SECONDS_PER_DAY = 86_400;

/** Assumed share of at-most-once calls among the requests at the target. */
export const AT_MOST_ONCE_SHARE = 0.05;

/** Time in milliseconds between two tokens of one generation at the target. */
export const TOKEN_GAP_MS = 76;

/** Concurrently running generations at the target. */
export const RUNNING_GENERATIONS = (TARGET.tokensPerSecond * TOKEN_GAP_MS) / 1_000;
