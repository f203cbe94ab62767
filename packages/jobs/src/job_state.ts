import type { LossEvidence } from "./crash_losses";
import type { IndexRange } from "./index_ranges";

/** Phase of a job, as reported to callers. */
export enum JobPhase {
  Queued = "queued",
  Running = "running",
  Completed = "completed",
  Failed = "failed",
  Cancelled = "cancelled",
}

/** A run that ended with its worker, or may have, as stored. */
export interface StoredLoss {
  /** Index of the task. */
  readonly index: number;
  readonly run: number;
  readonly worker: string;
  /** `host:port` of the worker. */
  readonly address: string;
  /** Unix ms of the start of the worker's incarnation. */
  readonly bornMs: number;
  readonly evidence: LossEvidence;
  /** Whether the worker was lost a while after the start. */
  readonly isLate: boolean;
  /** Whether its machine was faulty; missing if it was not known to be. */
  readonly isMachineFault?: boolean;
}

/** Where a long-running task was last ordered to start, as stored. */
export type StoredPlacement = readonly [
  index: number,
  worker: string,
  /** Epoch of the leader that ordered it. */
  epoch: number,
];

/** Stored progress of one step of one occurrence. */
export interface StepProgress {
  readonly occurrence: number;
  readonly step: number;
  /** Tasks that are done; rows of earlier releases have indices only. */
  readonly done: readonly IndexRange[];
  /**
   * Numbers of the failed runs, by task index. They are stored so that a
   * failure that is reported again does not count twice.
   */
  readonly failures: readonly (readonly [
    index: number,
    runs: readonly number[],
  ])[];
  /** Missing if there is none, and in rows of versions that keep none. */
  readonly losses?: readonly StoredLoss[];
  /** Last placements of long-running tasks; missing if there is none. */
  readonly placements?: readonly StoredPlacement[];
}

/** A job's progress as stored in the table. */
export interface JobState {
  readonly phase: JobPhase;
  readonly queue: string;
  /** Unix ms of the last phase change. */
  readonly sinceMs: number;
  readonly steps: readonly StepProgress[];
  /**
   * Occurrences all of whose steps are done; `steps` lacks them. Missing if there
   * is none, and in rows of earlier releases.
   */
  readonly doneOccurrences?: readonly IndexRange[];
  /**
   * Number of further rows with steps; missing if all steps are here, and in rows
   * of earlier releases.
   */
  readonly parts?: number;
}

/** Whether the job is over: no more of its tasks will start. */
export function isFinal(phase: JobPhase): boolean {
  return phase !== JobPhase.Queued && phase !== JobPhase.Running;
}
