import type { Loss, LossChange } from "./crash_losses";
import type { StopRequest } from "./job_board";
import type { JobState } from "./job_state";
import type { QueueSettings } from "./queue_config";
import type { JobRecord, Task } from "./task";
import type { EndedRun } from "./task_worker";
import type { WorkerRecord } from "./worker_record";

/** Callbacks from the board to its owner. */
export interface BoardListener {
  /** The job's state has changed and must be stored. */
  readonly onChanged: (record: JobRecord) => void;
  /** A run must be stopped. */
  readonly onStop: (stop: StopRequest) => void;
  /** The end of a run was recorded; `stopReason` is why it was stopped, if so. */
  readonly onEnd: (
    task: Task,
    ended: EndedRun,
    worker: WorkerRecord,
    stopReason?: string,
  ) => void;
  /** A run was lost with its worker, or is not taken for lost any more. */
  readonly onLoss?: (task: Task, loss: Loss, change: LossChange) => void;
}

/** Settings of a job board. */
export interface BoardOptions {
  /** Run numbers start above this. */
  readonly runFloor: number;
  /** Monotonic ms from which the board knows every job that may have run. */
  readonly allJobsKnownMs: number;
}

/** What adding a job needs besides the job. */
export interface AddJobOptions {
  readonly queue?: QueueSettings | undefined;
  /** Stored progress; undefined if there is none. */
  readonly state?: JobState | undefined;
  /** Monotonic ms. */
  readonly nowMs: number;
  /** Unix ms. */
  readonly wallMs: number;
}
