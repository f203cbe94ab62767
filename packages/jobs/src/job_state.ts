/** How a job stands, as callers are told. */
export enum JobPhase {
  Queued = "queued",
  Running = "running",
  Completed = "completed",
  Failed = "failed",
  Cancelled = "cancelled",
}

/** Progress of one step of one occurrence. */
export interface StepProgress {
  readonly occurrence: number;
  readonly step: number;
  /** Indices of tasks that are done. */
  readonly done: readonly number[];
  /** Numbers of failed runs, by task index: an end may be reported again. */
  readonly failures: readonly (readonly [
    index: number,
    runs: readonly number[],
  ])[];
}

/** What the table holds of a job's progress. */
export interface JobState {
  readonly phase: JobPhase;
  /** Name of the queue. */
  readonly queue: string;
  /** Unix ms of the last change of the phase. */
  readonly sinceMs: number;
  readonly steps: readonly StepProgress[];
}

/** Whether nothing of the job will run any more. */
export function isFinal(phase: JobPhase): boolean {
  return phase !== JobPhase.Queued && phase !== JobPhase.Running;
}
