import type { JobBoard } from "./job_board";
import { isRoomFree, releaseUnused, reserveRoom } from "./reservations";
import type { PlanOptions } from "./start_planner";
import { StepCandidates } from "./step_candidates";
import { type Attempt, AttemptPhase } from "./task";
import type { WorkerRecord } from "./worker_record";

/** Input of {@linkcode planEvacuation} besides the board. */
export type EvacuationOptions = Omit<PlanOptions, "limit">;

/**
 * Chooses runs to stop on workers that are leaving, so that their tasks go on
 * elsewhere before the workers end. A run that ends with its worker is known to
 * have ended only once the worker's lease has expired.
 *
 * A run stays where it is until room for its task is reserved on another worker
 * and free.
 */
export function planEvacuation(
  board: JobBoard,
  options: EvacuationOptions,
): Attempt[] {
  releaseUnused(board);
  const movable = listMovable(board, options);
  if (movable.length === 0) return [];
  const usable = [...board.workers.values()].filter(options.isUsable);
  return movable.filter((attempt) => {
    reserveElsewhere(attempt, usable, options);
    return isRoomFree(attempt.task);
  });
}

/** Lists the runs that will not end before their worker leaves. */
function listMovable(
  board: JobBoard,
  { nowMs, areRunsKnown }: EvacuationOptions,
): Attempt[] {
  const movable: Attempt[] = [];
  for (const worker of board.workers.values()) {
    if (!worker.isLeaving || worker.isSilent) continue;
    for (const attempt of worker.attempts) {
      if (!areRunsKnown(attempt.task.stepRun.record)) continue;
      if (isMovable(attempt, worker.leavesAtMs - nowMs)) movable.push(attempt);
    }
  }
  return movable;
}

function isMovable(attempt: Attempt, timeLeftMs: number): boolean {
  if (attempt.phase !== AttemptPhase.Running) return false;
  const { step } = attempt.task.stepRun;
  // Moving one task of a gang breaks the others, for which no room is reserved.
  if (step.isGang) return false;
  if (step.isLongRunning) return true;
  // Moving any other run throws away work that it may still complete.
  if (!step.isCheckpointing) return false;
  const leftMs = step.estimateMs * (1 - attempt.percent / 100);
  return leftMs > timeLeftMs;
}

function reserveElsewhere(
  { task }: Attempt,
  usable: readonly WorkerRecord[],
  options: EvacuationOptions,
): void {
  if (task.reservedOn !== undefined) return;
  const { stepRun } = task;
  const poolName = stepRun.record.queue?.pool ?? "";
  const pool = usable.filter(({ info }) => info.pool === poolName);
  const candidates = new StepCandidates(stepRun, pool, {
    ...options,
    isPoolBusy: true,
  });
  const free = candidates.choose();
  const { isLongRunning, isFiller } = stepRun.step;
  // Other tasks soon find room without holding it back; for a filler, room that
  // becomes free says nothing about the serving tasks that it would slow.
  const others = isLongRunning && !isFiller ? pool : [];
  reserveRoom(task, others, free);
}
