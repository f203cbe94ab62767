import { NO_RESOURCES } from "@laburnumtrack/core/resources";
import { type InterferenceModel, listFillers } from "./interference_model";
import type { Step } from "./job";
import type { PlanningAid } from "./planning_aid";
import type { StepRun } from "./task";
import type { WorkerRecord } from "./worker_record";

/** Score of a worker in the rack that holds the input data. */
const DATA_RACK_SCORE = 4;
/** Score of a worker in the rack of the step's other tasks. */
const SIBLING_RACK_SCORE = 4;
/** Penalty for each unit of interference cost that a filler adds. */
const INTERFERENCE_PENALTY = 10;
/** Penalty for a filler beside serving tasks, whether or not it harms them. */
const SHARED_WORKER_PENALTY = 0.4;
/** Score for serving tasks of the same image; penalty for each other image. */
const SAME_IMAGE_SCORE = 1;
/** Penalty for each unit of utilization that fillers add to a serving task. */
const FILLER_PENALTY = 1;
/**
 * Penalty for a worker that has all of its cold time before it: as much as the
 * whole capacity of a warm worker counts.
 */
const COLD_PENALTY = 1;
/**
 * Idle time of a job after which it may exceed the limit of cold workers, in ms:
 * a job must not be left without a run for 3 s while there is capacity.
 */
const MAX_COLD_IDLE_MS = 1000;
/** Penalty for each task of the same long-running step on the worker. */
const SAME_STEP_PENALTY = 0.25;
/** Penalty for a worker that is known to be much slower than others. */
const SLOW_WORKER_PENALTY = 2;

/** Input of a placement decision besides step and worker. */
export interface FitContext {
  /** Rack of the step's other tasks; empty if any rack will do. */
  readonly siblingRack: string;
  readonly model: InterferenceModel;
  readonly nowMs: number;
  /** Highest interference cost that a filler may add on a worker. */
  readonly costLimit: number;
  readonly aid?: PlanningAid | undefined;
}

/**
 * Scores the placement of a task of the step on the worker; higher is better.
 * Undefined when the task cannot be placed there now.
 */
export function scoreFit(
  stepRun: StepRun,
  worker: WorkerRecord,
  { siblingRack, model, nowMs, costLimit, aid }: FitContext,
): number | undefined {
  const { step } = stepRun;
  if (!hasRoom(stepRun, worker, aid)) return undefined;
  if (worker.isProbeOpen(nowMs, stepRun)) return undefined;
  if (worker.isAtColdLimit && !mayOverloadCold(stepRun, nowMs)) {
    return undefined;
  }
  const cost = step.isFiller
    ? model.interferenceCostOf(step, worker, nowMs, costLimit)
    : 0;
  if (cost > costLimit) return undefined;
  const { rack } = worker.info;
  const cpuMilli = worker.cpuCapacityMilli;
  let score =
    step.targetMs > 0
      ? // Packing serving tasks leaves other workers free for fillers.
        worker.cpuMilli / cpuMilli
      : (worker.spareCpuMilli - step.resources.cpuMilli) / cpuMilli;
  if (step.dataRack !== "" && step.dataRack === rack) score += DATA_RACK_SCORE;
  if (step.isColocated && siblingRack !== "" && siblingRack === rack) {
    score += SIBLING_RACK_SCORE;
  }
  score -= cost * INTERFERENCE_PENALTY;
  score -= worker.coldness * COLD_PENALTY;
  if (step.isFiller && worker.serving.size > 0) score -= SHARED_WORKER_PENALTY;
  if (step.targetMs > 0) score += scoreServing(step, worker, model);
  if (aid !== undefined) score -= aid.slownessOf(worker) * SLOW_WORKER_PENALTY;
  if (step.isLongRunning) {
    score -= countOnWorker(stepRun, worker) * SAME_STEP_PENALTY;
  }
  return score;
}

/** Whether the worker meets the step's constraints and has enough resources. */
function hasRoom(
  stepRun: StepRun,
  worker: WorkerRecord,
  aid: PlanningAid | undefined,
): boolean {
  const { step } = stepRun;
  const { capacity, labels } = worker.info;
  if (worker.isDedicated) return false;
  const { cpuMilli, memoryMb, accelerators } = step.resources;
  const isBackfilling = aid !== undefined && worker.reservations.size > 0;
  const later = isBackfilling ? aid.backfillOf(stepRun, worker) : NO_RESOURCES;
  if (step.requiredLabel !== "" && !labels.includes(step.requiredLabel)) {
    return false;
  }
  const takenMilli = worker.cpuMilli - later.cpuMilli;
  const takenMb = worker.memoryMb - later.memoryMb;
  const takenCount = worker.accelerators - later.accelerators;
  if (takenMb + memoryMb > capacity.memoryMb) return false;
  if (takenCount + accelerators > capacity.accelerators) return false;
  if (!step.isFiller && takenMilli + cpuMilli > capacity.cpuMilli) return false;
  return (
    step.perWorkerLimit === 0 ||
    countOnWorker(stepRun, worker) < step.perWorkerLimit
  );
}

/** Whether tasks of the step may exceed the limits of cold workers. */
export function mayOverloadCold(
  { idleSinceMs, step }: StepRun,
  nowMs: number,
): boolean {
  // A long-running task that is down does not wait for a worker to warm up.
  if (step.isLongRunning) return true;
  return nowMs - (idleSinceMs ?? nowMs) > MAX_COLD_IDLE_MS;
}

/** Scores a serving task: favours the same image and little interference. */
function scoreServing(
  step: Step,
  worker: WorkerRecord,
  model: InterferenceModel,
): number {
  let score = 0;
  const images = new Set<string>();
  for (const { task } of worker.serving) {
    images.add(task.stepRun.step.image);
  }
  if (images.has(step.image)) score += SAME_IMAGE_SCORE;
  images.delete(step.image);
  score -= images.size * SAME_IMAGE_SCORE;
  for (const { task } of listFillers(worker)) {
    const { image, resources } = task.stepRun.step;
    const share = resources.cpuMilli / worker.cpuCapacityMilli;
    score -= model.interferenceOf(image, step.image) * share * FILLER_PENALTY;
  }
  return score;
}

/** Number of tasks of the step that are on the worker or have room there. */
export function countOnWorker(stepRun: StepRun, worker: WorkerRecord): number {
  let count = 0;
  for (const { task } of worker.attempts) {
    if (task.stepRun === stepRun) count += 1;
  }
  for (const task of worker.reservations) {
    if (task.stepRun === stepRun) count += 1;
  }
  return count;
}
