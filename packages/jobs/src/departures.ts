import type { JobBoard } from "./job_board";
import { type MigrationOptions, planMigrations } from "./migrations";
import { type Attempt, AttemptPhase } from "./task";

/**
 * Chooses runs to stop on workers that are leaving, so that their tasks go on
 * elsewhere before the workers end. A run that ends with its worker is known to
 * have ended only once the worker's lease has expired.
 */
export function planDepartures(
  board: JobBoard,
  options: MigrationOptions,
): Attempt[] {
  return planMigrations(board, options, () => listMovable(board, options));
}

/** Lists the runs that will not end before their worker leaves. */
function listMovable(
  board: JobBoard,
  { nowMs, areRunsKnown }: MigrationOptions,
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
