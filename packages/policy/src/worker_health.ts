interface Record {
  /** Workloads whose last runs here failed, with the time of the failure. */
  readonly failed: Map<string, number>;
  /** Failures in a row, of any workload. */
  streak: number;
  /** Monotonic time until which the worker gets no task, in ms. */
  asideUntilMs: number;
  asideMs: number;
}

const WORKLOADS_TO_BLAME = 2;
const STREAK_TO_BLAME = 6;
/** For how long a worker is set aside. */
export interface AsideTimes {
  /** In ms; it doubles with each probe that fails. */
  readonly firstMs: number;
  readonly longestMs: number;
}

const DEFAULT_TIMES: AsideTimes = { firstMs: 30_000, longestMs: 1_800_000 };

/**
 * Tells a worker that fails every task from a job that fails on every worker:
 * a worker is to blame when runs of several workloads fail there one after
 * the other. It is set aside, then probed with one task at a time.
 */
export class WorkerHealth {
  readonly #records = new Map<string, Record>();
  readonly #times: AsideTimes;

  constructor(times: AsideTimes = DEFAULT_TIMES) {
    this.#times = times;
  }

  /** Takes in a run that failed. */
  onFailed(worker: string, workload: string, nowMs: number): void {
    const record = this.#recordOf(worker);
    record.failed.set(workload, nowMs);
    record.streak += 1;
    const isProbe = record.asideMs > 0 && record.asideUntilMs <= nowMs;
    const isToBlame =
      record.failed.size >= WORKLOADS_TO_BLAME ||
      record.streak >= STREAK_TO_BLAME;
    if (!isProbe && !isToBlame) return;
    if (record.asideUntilMs > nowMs) return;
    record.asideMs =
      record.asideMs === 0
        ? this.#times.firstMs
        : Math.min(record.asideMs * 2, this.#times.longestMs);
    record.asideUntilMs = nowMs + record.asideMs;
  }

  /** Takes in a run that was done: the worker is well. */
  onDone(worker: string): void {
    this.#records.delete(worker);
  }

  /** Tasks that may be placed on the worker now. */
  roomOn(worker: string, nowMs: number): number {
    const record = this.#records.get(worker);
    if (record === undefined || record.asideMs === 0) {
      return Number.POSITIVE_INFINITY;
    }
    return record.asideUntilMs > nowMs ? 0 : 1;
  }

  /** Whether failures on the worker count against it, not the job. */
  isToBlame(worker: string): boolean {
    return (this.#records.get(worker)?.asideMs ?? 0) > 0;
  }

  /** Forgets a worker that is gone or was replaced. */
  forget(worker: string): void {
    this.#records.delete(worker);
  }

  #recordOf(worker: string): Record {
    let record = this.#records.get(worker);
    if (record === undefined) {
      record = { failed: new Map(), streak: 0, asideUntilMs: 0, asideMs: 0 };
      this.#records.set(worker, record);
    }
    return record;
  }
}
