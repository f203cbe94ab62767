import type { Resources } from "@laburnumtrack/core/resources";
import type { JobRecord, StepRun, Task } from "./task";
import type { WorkerRecord } from "./worker_record";

/** A step of which some tasks found no room in a planning round. */
export interface UnplacedStep {
  readonly stepRun: StepRun;
  /** Its tasks that wait for room. */
  readonly tasks: readonly Task[];
  /** Workers of its pool on which tasks may be placed. */
  readonly workers: readonly WorkerRecord[];
}

/** Takes part in the planning of starts, beyond what is free at the moment. */
export abstract class PlanningAid {
  /** Whether room is held for the task until a time; it stays reserved. */
  abstract isHeld(task: Task): boolean;
  /** How much slower the worker is than others, from 0 to 1; 0 if unknown. */
  abstract slownessOf(worker: WorkerRecord): number;
  /** Resources of the worker that are held for later than the step takes. */
  abstract backfillOf(stepRun: StepRun, worker: WorkerRecord): Resources;
  /** Whether there may be such resources on any worker. */
  abstract canBackfill(stepRun: StepRun): boolean;
  /** Whether a task of the job was stopped for others and waits to resume. */
  abstract isResuming(record: JobRecord): boolean;
  /**
   * Called for each step that found no room, most urgent first. Room that is
   * reserved here is not open to the steps that follow.
   */
  abstract onUnplaced(unplaced: UnplacedStep): void;
}
