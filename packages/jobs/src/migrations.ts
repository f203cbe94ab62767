import type { JobBoard } from "./job_board";
import { isRoomFree, releaseUnused, reserveRoom } from "./reservations";
import type { PlanOptions } from "./start_planner";
import { StepCandidates } from "./step_candidates";
import type { Attempt } from "./task";
import type { WorkerRecord } from "./worker_record";

/** Input of {@linkcode planMigrations} besides the board. */
export type MigrationOptions = Omit<PlanOptions, "limit">;

/**
 * Chooses which runs to stop so that their tasks go on elsewhere. A run stays
 * where it is until room for its task is reserved on another worker and free.
 */
export function planMigrations(
  board: JobBoard,
  options: MigrationOptions,
  listMovable: () => readonly Attempt[],
): Attempt[] {
  releaseUnused(board);
  const movable = listMovable();
  if (movable.length === 0) return [];
  const usable = [...board.workers.values()].filter(options.isUsable);
  return movable.filter((attempt) => {
    reserveElsewhere(attempt, usable, options);
    return isRoomFree(attempt.task);
  });
}

function reserveElsewhere(
  { task }: Attempt,
  usable: readonly WorkerRecord[],
  options: MigrationOptions,
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
