import type { Step } from "./job";
import type { StepRun } from "./task";
import type { WorkerRecord } from "./worker_record";

/** Worth of standing in the rack that holds the data, in scores. */
const DATA_RACK_SCORE = 4;
/** Worth of standing in the rack of the step's other tasks, in scores. */
const SIBLING_RACK_SCORE = 4;
/** Cost of a filler beside a serving task, or the other way round. */
const PRESSURE_SCORE = 2;
/** Cost of each task of the same lasting step on the worker. */
const SAME_STEP_SCORE = 0.25;

/** Whether a task of the step fits on the worker now. */
export function isFit(stepRun: StepRun, worker: WorkerRecord): boolean {
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
  if (step.perWorkerLimit === 0) return true;
  return countOnWorker(stepRun, worker) < step.perWorkerLimit;
}

/** How well a task of the step would stand on the worker; higher is better. */
export function scoreFit(
  stepRun: StepRun,
  worker: WorkerRecord,
  siblingRack: string,
): number {
  const { step } = stepRun;
  const { capacity, rack } = worker.info;
  const cpuMilli = Math.max(1, capacity.cpuMilli);
  let score = (worker.leftoverMilli - step.resources.cpuMilli) / cpuMilli;
  if (step.dataRack !== "" && step.dataRack === rack) score += DATA_RACK_SCORE;
  if (step.isColocated && siblingRack !== "" && siblingRack === rack) {
    score += SIBLING_RACK_SCORE;
  }
  score -= pressureOf(step, worker) * PRESSURE_SCORE;
  if (step.isLongRunning) {
    score -= countOnWorker(stepRun, worker) * SAME_STEP_SCORE;
  }
  return score;
}

/** Whether the step's tasks could run on the worker if it were empty. */
export function couldFit(step: Step, worker: WorkerRecord): boolean {
  const { capacity, labels } = worker.info;
  const { cpuMilli, memoryMb, accelerators } = step.resources;
  return (
    (step.requiredLabel === "" || labels.includes(step.requiredLabel)) &&
    memoryMb <= capacity.memoryMb &&
    accelerators <= capacity.accelerators &&
    (step.isFiller || cpuMilli <= capacity.cpuMilli)
  );
}

/** 1 where the step would press on a serving task or be pressed, else 0. */
function pressureOf(step: Step, worker: WorkerRecord): number {
  if (step.isFiller && worker.serving > 0) return 1;
  if (step.targetMs > 0 && worker.fillerMilli > 0) return 1;
  return 0;
}

function countOnWorker(stepRun: StepRun, worker: WorkerRecord): number {
  let count = 0;
  for (const { task } of worker.attempts) {
    if (task.stepRun === stepRun) count += 1;
  }
  return count;
}
