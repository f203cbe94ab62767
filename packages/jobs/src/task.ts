import type { Loss } from "./crash_losses";
import type { IndexRanges } from "./index_ranges";
import type { Job, Step } from "./job";
import type { JobPhase } from "./job_state";
import type { QueueSettings } from "./queue_config";
import type { TaskName } from "./task_worker";
import type { WorkerRecord } from "./worker_record";

/** Phase of an attempt. */
export enum AttemptPhase {
  /** The start was sent; the worker has not confirmed it. */
  Starting = "starting",
  Running = "running",
  /** A stop was requested; the end has not been reported. */
  Stopping = "stopping",
}

/** A run of a task on a worker whose end is not known yet. */
export interface Attempt {
  readonly task: Task;
  readonly run: number;
  readonly worker: WorkerRecord;
  /** Unix ms of the start of the worker's incarnation that has the run. */
  bornMs: number;
  /** Whether its worker gets no other task until it has worked for long. */
  readonly isIsolated: boolean;
  phase: AttemptPhase;
  /** It is known from a former leader only; no report has listed it yet. */
  isInherited: boolean;
  /** Time in ms that it had worked when the leadership changed. */
  inheritedWorkMs: number;
  /** Monotonic ms of the start order. */
  readonly sentMs: number;
  /** Monotonic ms at which the worker confirmed it; undefined until then. */
  confirmedMs: number | undefined;
  /** Requested speed in percent of full speed. */
  pacePercent: number;
  /** Monotonic ms since which it is paused; undefined if it is not. */
  pausedMs: number | undefined;
  /** Last reported tail latency in ms, or CPU use in thousandths of a core. */
  measurement: number;
  /** The measurement before that one. */
  previousMeasurement: number;
  /** Monotonic ms at which the measurement was recorded. */
  measuredMs: number;
  /** Monotonic ms since which its tail exceeds the target; else undefined. */
  overSinceMs: number | undefined;
  /** Last reported progress or speed in percent. */
  percent: number;
  /** Whether it has reported 100 percent, for a long-running task full speed. */
  wasAtFullSpeed: boolean;
  /** Monotonic ms at which its progress last changed. */
  progressMs: number;
  /** Number of consecutive reports that did not list it. */
  missedReports: number;
  /** Monotonic ms at which the worker answered a stop; undefined until then. */
  stoppedMs: number | undefined;
  /** Why it was first asked to stop; undefined if it was not. */
  stopReason: string | undefined;
}

/** Where a long-running task was last ordered to start. */
export interface Placement {
  readonly workerId: string;
  /** Epoch of the leader that ordered it. */
  readonly epoch: number;
}

/** State of a task, kept by the leading scheduler. */
export interface Task {
  readonly stepRun: StepRun;
  readonly index: number;
  isDone: boolean;
  /** Whether any run of it failed. */
  readonly hasFailed: boolean;
  /** Numbers of the runs that failed. */
  readonly failedRuns: Set<number>;
  /** Ids of workers on which it failed; other workers are preferred. */
  readonly failedOn: Set<string>;
  /** Runs that ended with their worker, or may have. */
  readonly losses: Loss[];
  /** Whether a run of it is known to have been at work. */
  wasAtWork: boolean;
  /** Highest run number so far. */
  lastRun: number;
  /** Last reported checkpoint; empty if there is none. */
  checkpoint: string;
  /** Runs that may be active. */
  readonly attempts: Attempt[];
  /** Worker on which room is reserved for its next run; undefined if none is. */
  reservedOn: WorkerRecord | undefined;
  /**
   * Its last placement, which is stored before the start is ordered: a run of it
   * can only be active there. Undefined if that is not known.
   */
  placement: Placement | undefined;
  /** Monotonic ms before which it must not start again. */
  notBeforeMs: number;
}

/** One step of one occurrence of a job. */
export interface StepRun {
  readonly record: JobRecord;
  readonly occurrence: number;
  /** Index of the step in its job. */
  readonly number: number;
  readonly step: Step;
  /** They are created when they are first needed. */
  readonly tasks: Task[];
  /** Whether the tasks were created; if not, none of them was ever at work. */
  readonly hasTasks: boolean;
  /** Drops the tasks of a step that is done; they can be created again. */
  readonly releaseTasks: () => void;
  /** Number of tasks that are done. */
  doneCount: number;
  /** Monotonic ms since which its job could run but has no run. */
  idleSinceMs: number | undefined;
}

/** What the new tasks of a job have in common. */
export interface NewTasks {
  /** Run numbers start above this. */
  readonly runFloor: number;
  /** Whether runs of them may have been at work under former leaders. */
  readonly wasAtWork: boolean;
}

/** State of a job, kept by the leading scheduler. */
export interface JobRecord {
  readonly job: Job;
  /** Revision of the row that it was read from. */
  readonly revision: number;
  queue: QueueSettings | undefined;
  phase: JobPhase;
  /** Unix ms of the last phase change. */
  sinceMs: number;
  /**
   * Indexed by occurrence, then by step. Only occurrences that are due and not
   * over are there: iterate with `listOccurrences`.
   */
  readonly occurrences: StepRun[][];
  /** Occurrences that are over and not in `occurrences` any more. */
  readonly doneOccurrences: IndexRanges;
  /** All occurrences below this were expanded. */
  nextOccurrence: number;
  /** What tasks that are created later have in common. */
  readonly newTasks: NewTasks;
  /** Number of further rows of its state that may be stored. */
  storedParts: number;
  /** Number of steps that are not done. */
  openSteps: number;
  /**
   * Starts that passed it: of jobs that were submitted later to queues at most as
   * urgent, in rounds in which a task of this job found no room.
   */
  passes: number;
  /** Runs of it that this leader stopped and whose tasks had to start again. */
  stoppedRuns: number;
}

/** Returns the name of a task. */
export function taskNameOf(task: Task): TaskName {
  const { record, occurrence, number } = task.stepRun;
  return { jobId: record.job.id, occurrence, step: number, index: task.index };
}

/** Whether all tasks of a step are done. */
export function isStepDone(stepRun: StepRun): boolean {
  return stepRun.doneCount >= stepRun.step.count;
}

/** Whether all steps that this one depends on are done. */
export function isStepReady(stepRun: StepRun): boolean {
  const siblings = stepRun.record.occurrences[stepRun.occurrence] ?? [];
  return stepRun.step.after.every((number) => {
    const earlier = siblings[number];
    return earlier !== undefined && isStepDone(earlier);
  });
}
