import type { Clock } from "@laburnumtrack/core/clock";
import type { Table } from "@laburnumtrack/core/table";
import { InterferenceModel } from "@laburnumtrack/jobs/interference_model";
import {
  planRelief,
  Relief,
  type ReliefOrder,
} from "@laburnumtrack/jobs/interference_relief";
import type { JobBoard } from "@laburnumtrack/jobs/job_board";
import { LEARNT_KEY, readLearnt } from "@laburnumtrack/jobs/job_rows";
import {
  backOffStalledWorker,
  listStalled,
} from "@laburnumtrack/jobs/stalled_runs";
import {
  type Attempt,
  AttemptPhase,
  type Task,
} from "@laburnumtrack/jobs/task";
import { type EndedRun, RunEnd } from "@laburnumtrack/jobs/task_worker";
import { PROBE_MS, type WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import { WorkerHealth } from "@laburnumtrack/policy/worker_health";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";
import { WorkerExclusion } from "./worker_exclusion";

/** Options of a run monitor. */
export interface RunMonitorOptions {
  readonly clock: Clock;
  readonly table: Table;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly board: JobBoard;
  /** Time that a task takes to resume from its checkpoint, in ms. */
  readonly restoreMs: number;
  /** Sets the pace of a run, in percent of full speed. */
  readonly sendPace: (attempt: Attempt, percent: number) => void;
}

/** How long a worker on which runs keep failing is set aside. */
const SET_ASIDE_TIMES = { firstMs: 3000, longestMs: 24_000 };

/**
 * Monitors runs for interference with each other, for stalls, and for workers
 * on which they keep failing, and takes countermeasures.
 */
export class RunMonitor {
  /** How much fillers slow serving tasks. */
  readonly model = new InterferenceModel();
  readonly #options: RunMonitorOptions;
  readonly #health = new WorkerHealth(SET_ASIDE_TIMES);
  /** Unix ms of the start of each worker's incarnation, as last reported. */
  readonly #bornMs = new WeakMap<WorkerRecord, number>();

  constructor(options: RunMonitorOptions) {
    this.#options = options;
  }

  /** Loads the model of former leaders; without it, the model starts empty. */
  async loadModel(): Promise<void> {
    const { table, journal } = this.#options;
    const read = await table.get([LEARNT_KEY]);
    const row = read.ok ? read.val[0] : undefined;
    if (row === undefined) return;
    const stored = readLearnt(row);
    if (stored.ok) {
      this.model.import(stored.val);
      return;
    }
    const cause = stored.val.message;
    journal.warn(
      "Leader cannot decode the stored pressure model; it learns a new one.",
      { cause },
    );
  }

  /**
   * Why the failures on a worker, or the crashes of its machine, allow no other
   * task there; undefined if they do. A worker on which runs keep failing is set
   * aside, and then probed with one task at a time.
   */
  exclusionOf(
    worker: WorkerRecord,
    nowMs: number,
  ): WorkerExclusion | undefined {
    const { machines } = this.#options.board;
    if (machines.isQuarantined(worker.info.address, nowMs)) {
      return WorkerExclusion.FaultyMachine;
    }
    const { probedFromMs } = worker;
    if (probedFromMs === undefined) return undefined;
    if (nowMs < probedFromMs) return WorkerExclusion.SetAside;
    return worker.isProbeOpen(nowMs) ? WorkerExclusion.Probed : undefined;
  }

  /** Evaluates the report that a worker has just sent. */
  onReport(worker: WorkerRecord): void {
    const { clock, restoreMs } = this.#options;
    const nowMs = clock.nowMs();
    this.#noteIncarnation(worker);
    // What runs on a cold worker is slower than the model would expect.
    if (worker.coldness === 0) this.model.observe(worker, nowMs);
    this.#checkLastingProbes(worker, nowMs);
    for (const order of planRelief(this.model, worker, { nowMs, restoreMs })) {
      this.#applyRelief(worker, order, nowMs);
    }
    this.#restartStalled(worker, nowMs);
  }

  /** Counts the end of a run, and a failure towards the worker's health. */
  onEnd(
    task: Task,
    { end, run }: EndedRun,
    worker: WorkerRecord,
    stopReason?: string,
  ): void {
    const { metrics, journal } = this.#options;
    const { record, number } = task.stepRun;
    this.#noteIncarnation(worker);
    metrics.count(`ends{end="${end}"}`);
    if (end === RunEnd.Done) {
      this.#onSound(worker);
      return;
    }
    if (end === RunEnd.Stopped) {
      metrics.count(`stopped_runs{reason="${stopReason ?? "unknown"}"}`);
    }
    journal.info("A run ended without completing its task.", {
      job: record.job.id,
      step: number,
      task: task.index,
      run,
      end,
      reason: stopReason,
      worker: worker.id,
      failures: task.failedRuns.size,
    });
    // Being slow, a cold worker fails runs that would complete on a warm one.
    const isToBlame = end === RunEnd.Failed && worker.coldness === 0;
    if (isToBlame) this.#onFailed(worker, record.job.id);
  }

  /** Forgets the failures of a worker's former incarnation. */
  #noteIncarnation(worker: WorkerRecord): void {
    if (this.#bornMs.get(worker) === worker.bornMs) return;
    this.#bornMs.set(worker, worker.bornMs);
    this.#health.forget(worker.id);
    worker.probedFromMs = undefined;
  }

  #onFailed(worker: WorkerRecord, job: string): void {
    const { clock, journal, metrics } = this.#options;
    const nowMs = clock.nowMs();
    this.#health.onFailed(worker.id, job, nowMs);
    const quarantineEndMs = this.#health.quarantineEndMs(worker.id);
    if (quarantineEndMs === worker.probedFromMs) return;
    worker.probedFromMs = quarantineEndMs;
    if (quarantineEndMs === undefined) return;
    metrics.count("workers_set_aside");
    journal.warn(
      "Runs keep failing on a worker; it is set aside for a while.",
      {
        worker: worker.id,
        job,
        setAsideMs: Math.round(quarantineEndMs - nowMs),
      },
    );
  }

  /** Ends the suspicion of a worker on which a run did not fail. */
  #onSound(worker: WorkerRecord): void {
    this.#health.onDone(worker.id);
    if (worker.probedFromMs === undefined) return;
    worker.probedFromMs = undefined;
    this.#options.journal.info(
      "A run has not failed on a worker that was set aside; it takes tasks as before.",
      { worker: worker.id },
    );
  }

  /** A task that lasts never ends as done: being at work has to suffice. */
  #checkLastingProbes(worker: WorkerRecord, nowMs: number): void {
    if (worker.probedFromMs === undefined) return;
    const isSound = [...worker.attempts].some(
      (attempt) =>
        worker.isProbe(attempt) &&
        attempt.task.stepRun.step.isLongRunning &&
        attempt.phase === AttemptPhase.Running &&
        attempt.percent >= 100 &&
        nowMs - attempt.sentMs >= PROBE_MS,
    );
    if (isSound) this.#onSound(worker);
  }

  /**
   * Pauses, resumes or moves a filler for the sake of its worker's serving
   * tasks.
   */
  #applyRelief(
    worker: WorkerRecord,
    { filler, relief, ratio }: ReliefOrder,
    nowMs: number,
  ): void {
    const { journal, metrics, board, sendPace } = this.#options;
    const { stepRun, index } = filler.task;
    journal.info(
      "A filler is paused, resumed or moved to protect serving tasks.",
      {
        job: stepRun.record.job.id,
        step: stepRun.number,
        task: index,
        worker: worker.id,
        relief,
        ratio: Math.round(ratio * 100) / 100,
      },
    );
    metrics.count(`reliefs{relief="${relief}"}`);
    if (relief === Relief.Move) {
      board.stop(filler, "slows a serving task");
      return;
    }
    const isPause = relief === Relief.Pause;
    filler.pausedMs = isPause ? nowMs : undefined;
    sendPace(filler, isPause ? 0 : 100);
  }

  /** Stops runs that make no progress, so that they start on other workers. */
  #restartStalled(worker: WorkerRecord, nowMs: number): void {
    const { journal, metrics, board } = this.#options;
    const stalled = listStalled(worker, nowMs);
    if (stalled.length === 0) return;
    backOffStalledWorker(worker, nowMs);
    metrics.count("stalled_runs", stalled.length);
    journal.info(
      "Runs make no progress and are stopped, to start on other workers.",
      {
        worker: worker.id,
        attempts: worker.attempts.size,
        stalled: stalled.map(({ task, run, percent }) => ({
          job: task.stepRun.record.job.id,
          step: task.stepRun.number,
          task: task.index,
          run,
          percent,
        })),
      },
    );
    for (const attempt of stalled) board.stop(attempt, "no progress");
  }
}
