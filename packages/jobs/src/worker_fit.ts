import type { Step } from "./job";
import { listFillers, type PressureModel } from "./pressure_model";
import type { StepRun } from "./task";
import type { WorkerRecord } from "./worker_record";

/** Worth of standing in the rack that holds the data, in scores. */
const DATA_RACK_SCORE = 4;
/** Worth of standing in the rack of the step's other tasks, in scores. */
const SIBLING_RACK_SCORE = 4;
/** Cost of a serving task that a filler pushes over its target. */
const HARM_SCORE = 10;
/** Worth of standing beside serving tasks of the same image only. */
const SAME_IMAGE_SCORE = 1;
/** Cost of pressure that a serving task would meet. */
const PRESSED_SCORE = 1;
/** Cost of each task of the same lasting step on the worker. */
const SAME_STEP_SCORE = 0.25;

/** What a choice of worker depends on besides step and worker. */
export interface FitContext {
  /** Rack of the step's other tasks; empty when it does not matter. */
  readonly siblingRack: string;
  readonly model: PressureModel;
  readonly nowMs: number;
  /** Serving tasks that a filler may push over their targets. */
  readonly harmLimit: number;
}

/** Whether a task of the step fits on the worker now. */
export function isFit(
  stepRun: StepRun,
  worker: WorkerRecord,
  { model, harmLimit, nowMs }: FitContext,
): boolean {
  const { step } = stepRun;
  const { capacity, labels } = worker.info;
  const { cpuMilli, memoryMb, accelerators } = step.resources;
  if (step.requiredLabel !== "" && !labels.includes(step.requiredLabel)) {
    return false;
  }
  if (worker.memoryMb + memoryMb > capacity.memoryMb) return false;
  if (worker.accelerators + accelerators > capacity.accelerators) return false;
  if (!step.isFiller && worker.cpuMilli + cpuMilli > capacity.cpuMilli) {
    return false;
  }
  if (
    step.perWorkerLimit > 0 &&
    countOnWorker(stepRun, worker) >= step.perWorkerLimit
  ) {
    return false;
  }
  return !step.isFiller || model.harmOf(step, worker, nowMs) <= harmLimit;
}

/** How well a task of the step would stand on the worker; higher is better. */
export function scoreFit(
  stepRun: StepRun,
  worker: WorkerRecord,
  { siblingRack, model, nowMs }: FitContext,
): number {
  const { step } = stepRun;
  const { capacity, rack } = worker.info;
  const cpuMilli = Math.max(1, capacity.cpuMilli);
  let score =
    step.targetMs > 0
      ? // Full workers leave others to what fills.
        worker.cpuMilli / cpuMilli
      : (worker.leftoverMilli - step.resources.cpuMilli) / cpuMilli;
  if (step.dataRack !== "" && step.dataRack === rack) score += DATA_RACK_SCORE;
  if (step.isColocated && siblingRack !== "" && siblingRack === rack) {
    score += SIBLING_RACK_SCORE;
  }
  if (step.isFiller) score -= model.harmOf(step, worker, nowMs) * HARM_SCORE;
  if (step.targetMs > 0) score += scoreServing(step, worker, model);
  if (step.isLongRunning) {
    score -= countOnWorker(stepRun, worker) * SAME_STEP_SCORE;
  }
  return score;
}

/** Serving tasks of one image stand together, away from what presses. */
function scoreServing(
  step: Step,
  worker: WorkerRecord,
  model: PressureModel,
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
    const share = resources.cpuMilli / worker.info.capacity.cpuMilli;
    score -= model.pressureOf(image, step.image) * share * PRESSED_SCORE;
  }
  return score;
}

function countOnWorker(stepRun: StepRun, worker: WorkerRecord): number {
  let count = 0;
  for (const { task } of worker.attempts) {
    if (task.stepRun === stepRun) count += 1;
  }
  return count;
}
