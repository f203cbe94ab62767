/** Load of a pool of workers. */
export interface PoolLoad {
  readonly pool: string;
  /** CPU of the workers that may get tasks, in thousandths of a core. */
  readonly capacityMilli: number;
  /** Part of it that long-running tasks take. */
  readonly lastingMilli: number;
  /** Part of it that nothing is reserved for. */
  readonly freeMilli: number;
  /** Work done per second, in milli-core-seconds; 0 if unknown. */
  readonly rateMilli: number;
  /** Most CPU, memory and accelerators of one worker. */
  readonly largestMilli: number;
  readonly largestMemoryMb: number;
  readonly largestAccelerators: number;
}

/** Load that the jobs of one priority put on a pool. */
export interface QueueLoad {
  readonly pool: string;
  readonly priority: number;
  /** Work left of the runs in progress, in milli-core-seconds. */
  readonly runningMilliS: number;
  /**
   * CPU of runs that end within each of `END_WINDOWS_MS`, in thousandths of a
   * core.
   */
  readonly endingMilli: readonly number[];
  /** Work that has not started, in milli-core-seconds. */
  readonly backlogMilliS: number;
  /** Work done per second, in milli-core-seconds; 0 if unknown. */
  readonly rateMilli: number;
  /** Memory of its jobs in the leader. */
  readonly bytes: number;
}

/** What entries know of the load that the leader sees, to admit jobs by. */
export interface LoadDigest {
  /** Age in ms when it was stored. */
  readonly ageMs: number;
  /** Memory that all jobs occupy in the leader. */
  readonly bytes: number;
  /** Memory that they may occupy there. */
  readonly limitBytes: number;
  readonly pools: readonly PoolLoad[];
  readonly queues: readonly QueueLoad[];
}

/** Times within which runs end that are counted by `endingMilli`, in ms. */
export const END_WINDOWS_MS = [1000, 3000, 10_000] as const;
/** Most pools, and most pairs of a pool and a priority, of a digest. */
export const MAX_DIGEST_QUEUES = 16;
/** Longest name of a pool in a digest. */
const MAX_NAME_LENGTH = 128;

const POOL_NUMBERS = [
  "capacityMilli",
  "lastingMilli",
  "freeMilli",
  "rateMilli",
  "largestMilli",
  "largestMemoryMb",
  "largestAccelerators",
] as const;
const QUEUE_NUMBERS = [
  "priority",
  "runningMilliS",
  "backlogMilliS",
  "rateMilli",
  "bytes",
] as const;

/** Reads a stored digest; undefined if it is missing or cannot be read. */
export function readLoadDigest(value: unknown): LoadDigest | undefined {
  if (!hasNumbers(value, ["ageMs", "bytes", "limitBytes"])) return undefined;
  const { pools, queues } = value as Partial<LoadDigest>;
  const isValid =
    isListOf(
      pools,
      (pool) => isPoolName(pool) && hasNumbers(pool, POOL_NUMBERS),
    ) &&
    isListOf(
      queues,
      (queue) =>
        isPoolName(queue) &&
        hasNumbers(queue, QUEUE_NUMBERS) &&
        isListOf((queue as QueueLoad).endingMilli, Number.isFinite),
    );
  return isValid ? (value as LoadDigest) : undefined;
}

function isListOf(value: unknown, check: (item: unknown) => boolean): boolean {
  return (
    Array.isArray(value) &&
    value.length <= MAX_DIGEST_QUEUES &&
    value.every(check)
  );
}

function isPoolName(value: unknown): boolean {
  const { pool } = (value ?? {}) as Partial<PoolLoad>;
  return typeof pool === "string" && pool.length <= MAX_NAME_LENGTH;
}

function hasNumbers(value: unknown, keys: readonly string[]): boolean {
  if (typeof value !== "object" || value === null) return false;
  return keys.every((key) =>
    Number.isFinite((value as Record<string, unknown>)[key]),
  );
}
