import type { Clock } from "@laburnumtrack/core/clock";
import type { Table } from "@laburnumtrack/core/table";
import type { JobBoard } from "@laburnumtrack/jobs/job_board";
import { LEARNT_KEY, readLearnt } from "@laburnumtrack/jobs/job_rows";
import { PressureModel } from "@laburnumtrack/jobs/pressure_model";
import {
  planRelief,
  Relief,
  type ReliefOrder,
} from "@laburnumtrack/jobs/pressure_relief";
import { listStalled, setStalledAside } from "@laburnumtrack/jobs/stalled_runs";
import type { Attempt, Task } from "@laburnumtrack/jobs/task";
import { type EndedRun, RunEnd } from "@laburnumtrack/jobs/task_worker";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import { WorkerHealth } from "@laburnumtrack/policy/worker_health";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";

/** How a watch is set up. */
export interface RunWatchOptions {
  readonly clock: Clock;
  readonly table: Table;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly board: JobBoard;
  /** Time that a task takes to resume from its checkpoint, in ms. */
  readonly restoreMs: number;
  /** Sends a change of pace, in percent of full speed. */
  readonly sendPace: (attempt: Attempt, percent: number) => void;
}

/** How long a worker is set aside on which all runs fail. */
const ASIDE_TIMES = { firstMs: 3000, longestMs: 24_000 };

/** Watches how runs fare: beside each other, and on which worker. */
export class RunWatch {
  readonly model = new PressureModel();
  readonly #options: RunWatchOptions;
  readonly #health = new WorkerHealth(ASIDE_TIMES);

  constructor(options: RunWatchOptions) {
    this.#options = options;
  }

  /** Takes over what former leaders learnt; without it, it is learnt anew. */
  async loadLearnt(): Promise<void> {
    const { table, journal } = this.#options;
    const read = await table.get([LEARNT_KEY]);
    const row = read.ok ? read.val[0] : undefined;
    if (row === undefined) return;
    const learnt = readLearnt(row);
    if (learnt.ok) {
      this.model.import(learnt.val);
      return;
    }
    const cause = learnt.val.message;
    journal.warn("What was learnt cannot be read.", { cause });
  }

  /** A worker on which all fails is set aside, then tried with one task. */
  hasProbeRoom(worker: WorkerRecord, nowMs: number): boolean {
    const room = this.#health.roomOn(worker.id, nowMs);
    if (room === Number.POSITIVE_INFINITY) return true;
    return room > 0 && worker.attempts.size <= worker.serving.size;
  }

  /** Takes in what a worker has just reported. */
  onReport(worker: WorkerRecord): void {
    const { clock, restoreMs } = this.#options;
    const nowMs = clock.nowMs();
    this.model.observe(worker, nowMs);
    for (const order of planRelief(this.model, worker, { nowMs, restoreMs })) {
      this.#relieve(worker, order, nowMs);
    }
    this.#moveStalled(worker, nowMs);
  }

  /** Takes in the end of a run. */
  onEnd(task: Task, { end, run }: EndedRun, worker: WorkerRecord): void {
    const { metrics, journal } = this.#options;
    const { record, number } = task.stepRun;
    metrics.count(`ends{end="${end}"}`);
    if (end === RunEnd.Done) {
      this.#health.onDone(worker.id);
      return;
    }
    journal.info("A run did not end as done.", {
      job: record.job.id,
      step: number,
      task: task.index,
      run,
      end,
      worker: worker.id,
      failures: task.failedRuns.size,
    });
    if (end === RunEnd.Failed) this.#onFailed(worker, record.job.id);
  }

  #onFailed(worker: WorkerRecord, job: string): void {
    const { clock, journal } = this.#options;
    const wasToBlame = this.#health.isToBlame(worker.id);
    this.#health.onFailed(worker.id, job, clock.nowMs());
    if (wasToBlame || !this.#health.isToBlame(worker.id)) return;
    journal.warn("A worker fails what it runs; it is set aside.", {
      worker: worker.id,
      job,
    });
  }

  /** Lets a filler give way to the serving tasks of its worker, or go on. */
  #relieve(
    worker: WorkerRecord,
    { filler, relief, ratio }: ReliefOrder,
    nowMs: number,
  ): void {
    const { journal, metrics, board, sendPace } = this.#options;
    const { stepRun, index } = filler.task;
    journal.info("A filler changes its pace.", {
      job: stepRun.record.job.id,
      step: stepRun.number,
      task: index,
      worker: worker.id,
      relief,
      ratio: Math.round(ratio * 100) / 100,
    });
    metrics.count(`reliefs{relief="${relief}"}`);
    if (relief === Relief.Move) {
      board.stop(filler, "presses on a serving task");
      return;
    }
    const isPause = relief === Relief.Pause;
    filler.pausedMs = isPause ? nowMs : undefined;
    sendPace(filler, isPause ? 0 : 100);
  }

  /** Starts runs anew elsewhere that stand still where they are. */
  #moveStalled(worker: WorkerRecord, nowMs: number): void {
    const { journal, metrics, board } = this.#options;
    const stalled = listStalled(worker, nowMs);
    if (stalled.length === 0) return;
    setStalledAside(worker, nowMs);
    metrics.count("stalled_runs", stalled.length);
    journal.info("Runs stand still and are started elsewhere.", {
      worker: worker.id,
      attempts: worker.attempts.size,
      stalled: stalled.map(({ task, run, percent }) => ({
        job: task.stepRun.record.job.id,
        step: task.stepRun.number,
        task: task.index,
        run,
        percent,
      })),
    });
    for (const attempt of stalled) board.stop(attempt, "stands still");
  }
}
