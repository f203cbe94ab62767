import { countLostRuns, ISOLATION_LOSSES, wasLostOn } from "./crash_losses";
import type { StepCandidates } from "./step_candidates";
import type { Task } from "./task";
import type { WorkerRecord } from "./worker_record";

/** Most workers of a pool that are dedicated to isolated tasks. */
const MAX_DEDICATED_FRACTION = 0.25;
/** Penalty for a worker with another suspect, in tasks at risk. */
const SUSPECT_PENALTY = 1000;
/**
 * Time in ms that a machine on which the task was lost must be up before the task
 * starts there again: a machine that crashes without it meanwhile is at fault.
 */
const MIN_UPTIME_MS = 2000;
/** Penalty for a machine on which the task was lost or failed. */
const KNOWN_MACHINE_PENALTY = 100;
/** Penalty for a long-running task on the worker, besides that for each task. */
const LONG_RUNNING_PENALTY = 10;

/** Whether the task may only start on a worker that gets no others meanwhile. */
export function needsIsolation(task: Task): boolean {
  return !task.stepRun.step.isGang && countLostRuns(task) >= ISOLATION_LOSSES;
}

/**
 * Chooses a worker for a task that may crash it: one where few others are at
 * risk. An isolated task is never placed beside another suspect, so that the
 * next crash tells which task causes it.
 */
export function chooseForSuspect(
  task: Task,
  candidates: StepCandidates,
  workers: readonly WorkerRecord[],
  nowMs: number,
): WorkerRecord | undefined {
  const isIsolated = needsIsolation(task);
  if (isIsolated && areDedicatedUsedUp(workers)) return undefined;
  return candidates.chooseCheapest((worker) => {
    if (isIsolated && worker.hasSuspect) return undefined;
    const isFresh = nowMs - worker.upSinceMs < MIN_UPTIME_MS;
    if (isFresh && wasLostOn(task, worker)) return undefined;
    return riskOn(task, worker);
  });
}

function riskOn(task: Task, worker: WorkerRecord): number {
  let risk = worker.attempts.size;
  if (worker.hasSuspect) risk += SUSPECT_PENALTY;
  if (wasLostOn(task, worker) || task.failedOn.has(worker.id)) {
    risk += KNOWN_MACHINE_PENALTY;
  }
  for (const attempt of worker.attempts) {
    if (attempt.task.stepRun.step.isLongRunning) risk += LONG_RUNNING_PENALTY;
  }
  return risk;
}

function areDedicatedUsedUp(workers: readonly WorkerRecord[]): boolean {
  const dedicated = workers.filter(({ isDedicated }) => isDedicated).length;
  return dedicated >= Math.max(1, workers.length * MAX_DEDICATED_FRACTION);
}
