interface FailureRecord {
  /** Workloads that failed since the last success, and when, in ms. */
  readonly failedWorkloads: Map<string, number>;
  /** Failed runs since the last success, of any workload. */
  consecutiveFailures: number;
  /** End of the quarantine on the monotonic clock, in ms. */
  quarantinedUntilMs: number;
  /** Length of the current quarantine in ms; 0 when there is none. */
  quarantineMs: number;
}

/** Distinct failed workloads, without a success, that make a worker suspect. */
const FAILED_WORKLOADS_LIMIT = 2;
/** Consecutive failures, even of one workload, that make a worker suspect. */
const CONSECUTIVE_FAILURES_LIMIT = 6;

/** How long a worker is quarantined. */
export interface QuarantineTimes {
  /** First quarantine in ms; it doubles with each probe that fails. */
  readonly firstMs: number;
  /** Upper limit of the quarantine in ms. */
  readonly longestMs: number;
}

const DEFAULT_TIMES: QuarantineTimes = {
  firstMs: 30_000,
  longestMs: 1_800_000,
};

/**
 * Distinguishes a worker that fails every task from a job that fails on every
 * worker: a worker becomes suspect when runs of several workloads, or many
 * runs, fail there without a success in between. It is quarantined, and then
 * probed with one task at a time.
 */
export class WorkerHealth {
  readonly #records = new Map<string, FailureRecord>();
  readonly #times: QuarantineTimes;

  constructor(times: QuarantineTimes = DEFAULT_TIMES) {
    this.#times = times;
  }

  /** Records a failed run. */
  onFailed(worker: string, workload: string, nowMs: number): void {
    const record = this.#recordOf(worker);
    record.failedWorkloads.set(workload, nowMs);
    record.consecutiveFailures += 1;
    const isProbe =
      record.quarantineMs > 0 && record.quarantinedUntilMs <= nowMs;
    const isOverLimit =
      record.failedWorkloads.size >= FAILED_WORKLOADS_LIMIT ||
      record.consecutiveFailures >= CONSECUTIVE_FAILURES_LIMIT;
    if (!isProbe && !isOverLimit) return;
    if (record.quarantinedUntilMs > nowMs) return;
    record.quarantineMs =
      record.quarantineMs === 0
        ? this.#times.firstMs
        : Math.min(record.quarantineMs * 2, this.#times.longestMs);
    record.quarantinedUntilMs = nowMs + record.quarantineMs;
  }

  /** Records a successful run, which ends all suspicion of the worker. */
  onDone(worker: string): void {
    this.#records.delete(worker);
  }

  /** Number of tasks that may be placed on the worker now. */
  taskAllowanceOn(worker: string, nowMs: number): number {
    const record = this.#records.get(worker);
    if (record === undefined || record.quarantineMs === 0) {
      return Number.POSITIVE_INFINITY;
    }
    return record.quarantinedUntilMs > nowMs ? 0 : 1;
  }

  /** Monotonic ms at which the last quarantine ends; undefined if there is none. */
  quarantineEndMs(worker: string): number | undefined {
    const record = this.#records.get(worker);
    return record?.quarantineMs ? record.quarantinedUntilMs : undefined;
  }

  /** Whether failures here count against the worker and not the job. */
  isSuspect(worker: string): boolean {
    return (this.#records.get(worker)?.quarantineMs ?? 0) > 0;
  }

  /** Drops the record of a worker that was removed or replaced. */
  forget(worker: string): void {
    this.#records.delete(worker);
  }

  #recordOf(worker: string): FailureRecord {
    let record = this.#records.get(worker);
    if (record === undefined) {
      record = {
        failedWorkloads: new Map(),
        consecutiveFailures: 0,
        quarantinedUntilMs: 0,
        quarantineMs: 0,
      };
      this.#records.set(worker, record);
    }
    return record;
  }
}
