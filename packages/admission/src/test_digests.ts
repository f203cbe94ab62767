import type { LoadDigest, PoolLoad, QueueLoad } from "./load_digest";

/** Creates the load of a pool of 100 workers of 16 cores for tests. */
export function createPoolLoad(overrides: Partial<PoolLoad> = {}): PoolLoad {
  return {
    pool: "pool",
    capacityMilli: 1_600_000,
    lastingMilli: 0,
    freeMilli: 0,
    rateMilli: 0,
    largestMilli: 16_000,
    largestMemoryMb: 64_000,
    largestAccelerators: 0,
    ...overrides,
  };
}

/** Creates the load of a queue of that pool without work for tests. */
export function createQueueLoad(overrides: Partial<QueueLoad> = {}): QueueLoad {
  return {
    pool: "pool",
    priority: 0,
    runningMilliS: 0,
    endingMilli: [0, 0, 0],
    backlogMilliS: 0,
    rateMilli: 0,
    bytes: 0,
    ...overrides,
  };
}

/** Creates a fresh digest of that pool with 1 GB for jobs for tests. */
export function createDigest(overrides: Partial<LoadDigest> = {}): LoadDigest {
  return {
    ageMs: 0,
    bytes: 0,
    limitBytes: 1e9,
    pools: [createPoolLoad()],
    queues: [createQueueLoad()],
    ...overrides,
  };
}
