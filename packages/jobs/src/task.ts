import type { Job, Step } from "./job";
import type { JobPhase } from "./job_state";
import type { Queue } from "./queue_config";
import type { TaskName } from "./task_worker";
import type { WorkerRecord } from "./worker_record";

/** How an attempt stands. */
export enum AttemptPhase {
  /** The start was sent; no answer says that it is there. */
  Starting = "starting",
  Running = "running",
  /** It is to be stopped; its end was not reported yet. */
  Stopping = "stopping",
}

/** A run of a task on a worker, until its end is known. */
export interface Attempt {
  readonly task: Task;
  readonly run: number;
  readonly worker: WorkerRecord;
  phase: AttemptPhase;
  /** Monotonic ms of the start order. */
  readonly sentMs: number;
  /** Monotonic ms at which the worker confirmed it; undefined: not yet. */
  confirmedMs: number | undefined;
  /** Share of full speed that it was told to keep, in percent. */
  pacePercent: number;
  /** Monotonic ms since which it is to stand still; undefined: it is not. */
  pausedMs: number | undefined;
  /** Tail latency in ms, or processor use, as last reported. */
  figure: number;
  /** The figure before that one. */
  formerFigure: number;
  /** Monotonic ms at which the figure was taken in. */
  figureMs: number;
  /** Monotonic ms since which its tail is over the target; undefined: it is not. */
  overSinceMs: number | undefined;
  /** Progress or share of full speed, as last reported. */
  percent: number;
  /** Monotonic ms at which its progress last grew. */
  progressMs: number;
  /** Reports in a row that did not list it. */
  missing: number;
  /** Monotonic ms at which the worker answered a stop; undefined: not yet. */
  stoppedMs: number | undefined;
}

/** A task of a job in the leading scheduler's memory. */
export interface Task {
  readonly stepRun: StepRun;
  readonly index: number;
  isDone: boolean;
  /** Numbers of the runs that failed. */
  readonly failedRuns: Set<number>;
  /** Workers on which it failed: it is started elsewhere if possible. */
  readonly failedOn: Set<string>;
  /** Highest number of a run. */
  lastRun: number;
  checkpoint: string;
  /** Runs that may be at work. */
  readonly attempts: Attempt[];
  /** Monotonic ms before which it is not started again. */
  notBeforeMs: number;
}

/** One step of one occurrence of a job. */
export interface StepRun {
  readonly record: JobRecord;
  readonly occurrence: number;
  readonly number: number;
  readonly step: Step;
  readonly tasks: Task[];
  doneCount: number;
  /** Monotonic ms since which nothing of its job runs though it could. */
  idleSinceMs: number | undefined;
}

/** A job in the leading scheduler's memory. */
export interface JobRecord {
  readonly job: Job;
  /** Revision of the row that it was read from. */
  readonly revision: number;
  queue: Queue | undefined;
  phase: JobPhase;
  sinceMs: number;
  /** By occurrence, then by step. */
  readonly occurrences: StepRun[][];
  /** Steps that are not done. */
  openSteps: number;
}

/** Name of a task. */
export function nameOf(task: Task): TaskName {
  const { record, occurrence, number } = task.stepRun;
  return { jobId: record.job.id, occurrence, step: number, index: task.index };
}

/** Whether all tasks of a step are done. */
export function isStepDone(stepRun: StepRun): boolean {
  return stepRun.doneCount >= stepRun.tasks.length;
}

/** Whether all that the step waits for is done. */
export function isStepOpen(stepRun: StepRun): boolean {
  const siblings = stepRun.record.occurrences[stepRun.occurrence] ?? [];
  return stepRun.step.after.every((number) => {
    const earlier = siblings[number];
    return earlier !== undefined && isStepDone(earlier);
  });
}
