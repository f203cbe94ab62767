import type { Step } from "@laburnumtrack/jobs/job";
import { JobBoard, type StopRequest } from "@laburnumtrack/jobs/job_board";
import type { Queue } from "@laburnumtrack/jobs/queue_config";
import type { Attempt, StepRun } from "@laburnumtrack/jobs/task";
import type { RegisteredWorker } from "@laburnumtrack/jobs/task_worker";
import {
  createJob,
  createQueue,
  createStep,
  createWorkerInfo,
} from "@laburnumtrack/jobs/test_samples";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";

/** Job of a {@linkcode TestBoard}. */
export interface TestJob {
  readonly id: string;
  readonly step: Partial<Step>;
  /** Other steps, after the first one. */
  readonly more?: readonly Partial<Step>[];
  readonly queue?: Partial<Queue>;
  readonly submittedMs?: number;
  readonly revision?: number;
}

/** A board with helpers for tests of planning; nothing is sent anywhere. */
export class TestBoard {
  readonly stops: StopRequest[] = [];
  readonly board = new JobBoard(
    {
      onChanged() {},
      onStop: (stop) => this.stops.push(stop),
      onEnd() {},
    },
    { runFloor: 0, allJobsKnownMs: 0 },
  );

  /** Adds a worker with the given cores, which has reported. */
  addWorker(
    id: string,
    cores: number,
    change: Partial<RegisteredWorker> = {},
  ): WorkerRecord {
    const worker = this.board.addWorker(
      createWorkerInfo(id, {
        address: `${id}:1`,
        capacity: { cpuMilli: cores * 1000, memoryMb: 64_000, accelerators: 0 },
        ...change,
      }),
    );
    worker.hasReported = true;
    return worker;
  }

  /** Adds a job; returns its first step. */
  addJob(given: TestJob): StepRun {
    const { id, step, more = [], queue, submittedMs = 0, revision = 1 } = given;
    const steps = [step, ...more].map((one) => createStep(one));
    const job = { ...createJob(id, steps), submittedMs };
    const times = { nowMs: 0, wallMs: 0 };
    const settings = createQueue(queue);
    const record = this.board.addJob(job, revision, {
      ...times,
      queue: settings,
    });
    const first = record.occurrences[0]?.[0];
    if (first === undefined) throw new Error("a job without steps");
    return first;
  }

  /** Starts a task of the step on the worker. */
  start(
    stepRun: StepRun,
    index: number,
    worker: WorkerRecord,
    nowMs = 0,
  ): Attempt {
    const task = stepRun.tasks[index];
    if (task === undefined) throw new Error(`no task ${index}`);
    const run = task.lastRun + 1;
    const attempt = this.board.onSent(task, run, worker, nowMs);
    this.board.onStarted(attempt, nowMs);
    return attempt;
  }
}

/** Resources of a task with the given cores. */
export function coresOf(cores: number): Step["resources"] {
  return { cpuMilli: cores * 1000, memoryMb: 1000, accelerators: 0 };
}
