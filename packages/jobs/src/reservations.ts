import type { JobBoard } from "./job_board";
import { isFinal } from "./job_state";
import type { StepRun, Task } from "./task";
import { countOnWorker } from "./worker_fit";
import type { WorkerRecord } from "./worker_record";

/**
 * Reserves room for the next run of a task: on `free` if there is such a worker,
 * else on the one of `workers` that will have room soonest. What shorter tasks
 * leave there is held back, so that others do not take it bit by bit.
 */
export function reserveRoom(
  task: Task,
  workers: readonly WorkerRecord[],
  free: WorkerRecord | undefined,
): void {
  if (task.reservedOn !== undefined) return;
  const worker = free ?? findSoonestRoom(task.stepRun, workers);
  if (worker === undefined) return;
  task.reservedOn = worker;
  worker.reserve(task);
}

/** Gives up the room that is reserved for a task, if any. */
export function releaseRoom(task: Task): void {
  task.reservedOn?.release(task);
  task.reservedOn = undefined;
}

/** Whether the room that is reserved for a task is free now. */
export function isRoomFree({ reservedOn }: Task): boolean {
  if (reservedOn === undefined) return false;
  const { info, cpuMilli, memoryMb, accelerators } = reservedOn;
  return (
    cpuMilli <= info.capacity.cpuMilli &&
    memoryMb <= info.capacity.memoryMb &&
    accelerators <= info.capacity.accelerators
  );
}

/** Releases reservations that are of no use any more. */
export function releaseUnused(board: JobBoard): void {
  for (const worker of board.workers.values()) {
    const isKept = worker.isRegistered && !worker.isToBeCleared;
    for (const task of worker.reservations) {
      if (!isKept || !needsRoom(task)) releaseRoom(task);
    }
  }
}

/** Whether the task waits, or has its only run on a worker that is cleared. */
function needsRoom({ isDone, attempts, stepRun }: Task): boolean {
  if (isDone || isFinal(stepRun.record.phase)) return false;
  return attempts.every(({ worker }) => worker.isToBeCleared);
}

/**
 * The worker that will have room soonest: the one that lacks least, among those
 * whose long-running tasks and reservations leave enough.
 */
function findSoonestRoom(
  stepRun: StepRun,
  workers: readonly WorkerRecord[],
): WorkerRecord | undefined {
  const { step, record } = stepRun;
  const { cpuMilli, memoryMb, accelerators } = step.resources;
  let soonest: WorkerRecord | undefined;
  let leastMilli = Number.POSITIVE_INFINITY;
  for (const worker of workers) {
    const { capacity, labels, pool } = worker.info;
    const { requiredLabel, perWorkerLimit } = step;
    if (pool !== record.queue?.pool) continue;
    if (requiredLabel !== "" && !labels.includes(requiredLabel)) continue;
    const isFull =
      perWorkerLimit > 0 && countOnWorker(stepRun, worker) >= perWorkerLimit;
    if (isFull) continue;
    const lasting = worker.lastingResources();
    const isEnough =
      lasting.cpuMilli + cpuMilli <= capacity.cpuMilli &&
      lasting.memoryMb + memoryMb <= capacity.memoryMb &&
      lasting.accelerators + accelerators <= capacity.accelerators;
    const lackMilli = worker.cpuMilli + cpuMilli - capacity.cpuMilli;
    if (!isEnough || lackMilli >= leastMilli) continue;
    soonest = worker;
    leastMilli = lackMilli;
  }
  return soonest;
}
