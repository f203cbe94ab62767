import type { Loss } from "./crash_losses";
import type { Attempt, Placement, StepRun, Task } from "./task";
import type { WorkerRecord } from "./worker_record";

/**
 * A task of an expanded step. Sets are created when they are first used: most
 * tasks never fail, and a leader may hold 100,000 tasks.
 */
export class JobTask implements Task {
  readonly stepRun: StepRun;
  readonly index: number;
  isDone: boolean;
  readonly losses: Loss[] = [];
  wasAtWork: boolean;
  lastRun: number;
  checkpoint = "";
  readonly attempts: Attempt[] = [];
  reservedOn: WorkerRecord | undefined;
  placement: Placement | undefined;
  notBeforeMs = Number.NEGATIVE_INFINITY;
  #failedRuns: Set<number> | undefined;
  #failedOn: Set<string> | undefined;

  constructor(stepRun: StepRun, index: number, isDone: boolean) {
    const { runFloor, wasAtWork } = stepRun.record.newTasks;
    this.stepRun = stepRun;
    this.index = index;
    this.isDone = isDone;
    this.wasAtWork = wasAtWork;
    this.lastRun = runFloor;
  }

  get hasFailed(): boolean {
    return this.#failedRuns !== undefined && this.#failedRuns.size > 0;
  }

  get failedRuns(): Set<number> {
    this.#failedRuns ??= new Set();
    return this.#failedRuns;
  }

  get failedOn(): Set<string> {
    this.#failedOn ??= new Set();
    return this.#failedOn;
  }
}
