import type { JobBoard } from "./job_board";
import { isRoomFree, releaseUnused, reserveRoom } from "./reservations";
import { type CandidateOptions, StepCandidates } from "./step_candidates";
import { type Attempt, AttemptPhase } from "./task";
import type { WorkerRecord } from "./worker_record";

/** Input of {@linkcode planEvacuation} besides the board. */
export interface EvacuationOptions
  extends Omit<CandidateOptions, "isPoolBusy"> {
  /** Whether new tasks may be placed on the worker. */
  readonly isUsable: (worker: WorkerRecord) => boolean;
}

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
  releaseUnused(board, options.isUsable);
  const movable = listMovable(board, options.nowMs);
  if (movable.length === 0) return [];
  const usable = [...board.workers.values()].filter(options.isUsable);
  return movable.filter((attempt) => {
    reserveElsewhere(attempt, usable, options);
    return isRoomFree(attempt.task);
  });
}

/** Lists the runs that will not end before their worker leaves. */
function listMovable(board: JobBoard, nowMs: number): Attempt[] {
  const movable: Attempt[] = [];
  for (const worker of board.workers.values()) {
    if (!worker.isLeaving || worker.isSilent) continue;
    for (const attempt of worker.attempts) {
      if (isMovable(attempt, worker.leavesAtMs - nowMs)) movable.push(attempt);
    }
  }
  return movable;
}

function isMovable(attempt: Attempt, timeLeftMs: number): boolean {
  if (attempt.phase !== AttemptPhase.Running) return false;
  const { step } = attempt.task.stepRun;
  if (step.isLongRunning) return true;
  // Moving any other run throws away work that it may still complete, and
  // moving one task of a gang breaks the others.
  if (!step.isCheckpointing || step.isGang) return false;
  const leftMs = step.estimateMs * (1 - attempt.percent / 100);
  return leftMs > timeLeftMs;
}

function reserveElsewhere(
  { task, worker }: Attempt,
  usable: readonly WorkerRecord[],
  options: EvacuationOptions,
): void {
  if (task.reservedOn !== undefined) return;
  const { stepRun } = task;
  const pool = usable.filter(({ info }) => info.pool === worker.info.pool);
  const candidates = new StepCandidates(stepRun, pool, {
    ...options,
    isPoolBusy: true,
  });
  const free = candidates.choose();
  // Other tasks than long-running ones soon find room without holding it back.
  const others = stepRun.step.isLongRunning ? pool : [];
  reserveRoom(task, others, free);
}
