import {
  isReported,
  isSameTask,
  type TaskName,
  type WorkerReport,
} from "./task_worker";

/** A run whose start order may still be carried out. */
export interface LateStart {
  readonly task: TaskName;
  readonly run: number;
}

interface OpenStart extends LateStart {
  /** Monotonic ms from which it does not have to be expected any more. */
  readonly expiryMs: number;
  /** Unix ms of the start of the last incarnation that cannot begin the run. */
  refusingBornMs: number;
  /** Monotonic ms of that incarnation's answer to a stop, if it had one. */
  stoppedMs: number | undefined;
}

/**
 * Longest time for which an order without an answer is expected to be carried
 * out, in ms. The platform's protocol says seconds, without a bound.
 */
const LATE_START_LIMIT_MS = 60_000;

/**
 * Start orders of which a try may still be carried out, by worker. A worker that
 * restarts under its id forgets its runs and which of them were stopped, so a
 * new incarnation has to be told to refuse them before anything starts on it.
 */
export class LateStarts {
  readonly #byWorker = new Map<string, OpenStart[]>();

  /** Records that the start of a run is sent to a worker. */
  add(
    workerId: string,
    { task, run }: LateStart,
    { bornMs, nowMs }: { bornMs: number; nowMs: number },
  ): void {
    this.remove(workerId, { task, run });
    const starts = this.#listOpen(workerId, nowMs);
    starts.push({
      task,
      run,
      expiryMs: nowMs + LATE_START_LIMIT_MS,
      refusingBornMs: bornMs,
      stoppedMs: undefined,
    });
    this.#byWorker.set(workerId, starts);
  }

  /** Records that all tries of a start were answered. */
  remove(workerId: string, start: LateStart): void {
    const starts = this.#byWorker.get(workerId);
    const index = starts?.findIndex((other) => isSameRun(other, start)) ?? -1;
    if (starts === undefined || index < 0) return;
    starts.splice(index, 1);
    if (starts.length === 0) this.#byWorker.delete(workerId);
  }

  /** Whether the start of a run may still be carried out by its worker. */
  has(workerId: string, start: LateStart): boolean {
    const starts = this.#byWorker.get(workerId) ?? [];
    return starts.some((other) => isSameRun(other, start));
  }

  /**
   * Applies a report that was requested at `sentMs`. Returns the runs that the
   * reporting incarnation may still begin, and has to refuse first.
   */
  onReport(
    workerId: string,
    report: WorkerReport,
    { sentMs, nowMs }: { sentMs: number; nowMs: number },
  ): LateStart[] {
    if (!this.#byWorker.has(workerId)) return [];
    const { bornMs, hasMore } = report;
    const starts = this.#listOpen(workerId, nowMs);
    if (starts.length === 0) this.#byWorker.delete(workerId);
    else this.#byWorker.set(workerId, starts);
    return starts.filter((start) => {
      if (start.refusingBornMs === bornMs) return false;
      // The start then has no effect, now or after the end of the run.
      const isKnown = isReported(start, report);
      const isStopped =
        !hasMore && start.stoppedMs !== undefined && start.stoppedMs < sentMs;
      if (!isKnown && !isStopped) return true;
      start.refusingBornMs = bornMs;
      start.stoppedMs = undefined;
      return false;
    });
  }

  /** Records that a worker was restarted: it knows no stops any more. */
  onNewIncarnation(workerId: string): void {
    for (const start of this.#byWorker.get(workerId) ?? []) {
      start.stoppedMs = undefined;
    }
  }

  /** Records that a worker has answered the stop of a run. */
  onStopped(workerId: string, stopped: LateStart, nowMs: number): void {
    for (const start of this.#byWorker.get(workerId) ?? []) {
      if (isSameRun(start, stopped)) start.stoppedMs ??= nowMs;
    }
  }

  #listOpen(workerId: string, nowMs: number): OpenStart[] {
    const starts = this.#byWorker.get(workerId) ?? [];
    return starts.filter(({ expiryMs }) => nowMs < expiryMs);
  }
}

function isSameRun(a: LateStart, b: LateStart): boolean {
  return a.run === b.run && isSameTask(a.task, b.task);
}
