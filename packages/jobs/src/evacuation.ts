import type { JobBoard } from "./job_board";
import { isFinal } from "./job_state";
import { type MigrationOptions, planMigrations } from "./migrations";
import { isWaiting, listReadySteps, type PlanningState } from "./start_planner";
import { type Attempt, AttemptPhase, type StepRun, type Task } from "./task";

/**
 * Time that a run must have left to be moved, in ms: a stop takes up to 400 ms,
 * a restart up to 250 ms, and up to 2 s of work since the last checkpoint is
 * done again.
 */
const MIN_LEFT_MS = 3000;
/**
 * Most runs with checkpoints that are on their way at the same time: more would
 * only wait for their starts.
 */
const MAX_OPEN_MOVES = 64;
/**
 * Time after which a waiting job keeps no run in the domain any more, in ms: it
 * may be one that no worker has room for.
 */
const MAX_WAIT_MS = 10_000;
/**
 * Largest share of the tasks of a long-running step that is away at the same
 * time if the step names no limit.
 */
const DEFAULT_AWAY_SHARE = 0.25;

/**
 * Chooses runs to stop in failure domains that are evacuated, so that their tasks
 * go on elsewhere: long-running tasks within the limit of their step, and runs
 * that save checkpoints. Other runs end by themselves, as do gangs.
 */
export function planEvacuation(
  board: JobBoard,
  options: MigrationOptions,
): Attempt[] {
  return planMigrations(board, options, () => {
    const inside = listInside(board, options);
    if (inside.length === 0) return [];
    return [
      ...listLongRunning(inside),
      ...listCheckpointing(board, inside, options),
    ];
  });
}

/** Lists the runs in evacuated domains that can be moved one by one. */
function listInside(
  board: JobBoard,
  { areRunsKnown }: MigrationOptions,
): Attempt[] {
  const inside: Attempt[] = [];
  for (const worker of board.workers.values()) {
    if (!worker.isInEvacuation || worker.isSilent) continue;
    // Departures move what runs on workers that leave.
    if (worker.isLeaving || !worker.isRegistered) continue;
    for (const attempt of worker.attempts) {
      const { stepRun, attempts } = attempt.task;
      if (attempt.phase !== AttemptPhase.Running) continue;
      // Another copy of the task may be at work elsewhere.
      if (stepRun.step.isGang || attempts.length > 1) continue;
      if (areRunsKnown(stepRun.record)) inside.push(attempt);
    }
  }
  return inside;
}

/** Chooses long-running tasks, as many of each step as may be away. */
function listLongRunning(inside: readonly Attempt[]): Attempt[] {
  const bySteps = new Map<StepRun, Attempt[]>();
  for (const attempt of inside) {
    const { stepRun } = attempt.task;
    if (!stepRun.step.isLongRunning) continue;
    const others = bySteps.get(stepRun);
    if (others === undefined) bySteps.set(stepRun, [attempt]);
    else others.push(attempt);
  }
  return [...bySteps].flatMap(([stepRun, attempts]) =>
    chooseWithinLimit(stepRun, attempts),
  );
}

function chooseWithinLimit(
  stepRun: StepRun,
  attempts: readonly Attempt[],
): Attempt[] {
  let away = countAway(stepRun);
  const limit = awayLimitOf(stepRun);
  // Tasks that are away already, and those that hold room, go first.
  const sorted = [...attempts].sort(
    (a, b) => rankOf(a.task) - rankOf(b.task) || a.task.index - b.task.index,
  );
  return sorted.filter(({ task }) => {
    const next = isAway(task) ? away : away + 1;
    if (next > limit) return false;
    away = next;
    return true;
  });
}

/** Whether no further task of a long-running step may be moved now. */
export function isAtAwayLimit(stepRun: StepRun): boolean {
  return countAway(stepRun) >= awayLimitOf(stepRun);
}

function countAway({ tasks }: StepRun): number {
  return tasks.filter(isAway).length;
}

function rankOf(task: Task): number {
  if (isAway(task)) return 0;
  return task.reservedOn === undefined ? 2 : 1;
}

function awayLimitOf({ step, tasks }: StepRun): number {
  if (step.disruptionLimit > 0) return step.disruptionLimit;
  return Math.max(1, Math.floor(tasks.length * DEFAULT_AWAY_SHARE));
}

/** Whether a long-running task is not at work, or never was at full speed. */
function isAway({ isDone, attempts }: Task): boolean {
  if (isDone) return false;
  return !attempts.some(
    ({ phase, wasAtFullSpeed }) =>
      phase === AttemptPhase.Running && wasAtFullSpeed,
  );
}

/**
 * Lists the runs that save checkpoints and have long to go. They stay while more
 * urgent tasks wait for the room that they would take elsewhere.
 */
function listCheckpointing(
  board: JobBoard,
  inside: readonly Attempt[],
  options: MigrationOptions,
): Attempt[] {
  const movable = inside.filter(hasLongLeft);
  if (movable.length === 0) return [];
  const waiting = findWaitingPriorities(board, options);
  const chosen = movable.filter((attempt) => !isLessUrgent(attempt, waiting));
  const isBegun = ({ task }: Attempt) => task.reservedOn !== undefined;
  const next = chosen.filter((attempt) => !isBegun(attempt));
  return [
    ...chosen.filter(isBegun),
    ...next.slice(0, Math.max(0, MAX_OPEN_MOVES - countOpenMoves(board))),
  ];
}

/** Number of tasks with checkpoints for which room is held. */
function countOpenMoves(board: JobBoard): number {
  let count = 0;
  for (const { reservations } of board.workers.values()) {
    for (const { stepRun } of reservations) {
      if (!stepRun.step.isLongRunning) count += 1;
    }
  }
  return count;
}

/** Whether a run saves checkpoints and has long enough to go to be moved. */
export function hasLongLeft({ task, percent }: Attempt): boolean {
  const { isCheckpointing, isLongRunning, estimateMs } = task.stepRun.step;
  if (!isCheckpointing || isLongRunning) return false;
  const isEstimated = estimateMs > 0;
  return !isEstimated || estimateMs * (1 - percent / 100) > MIN_LEFT_MS;
}

/** Whether more urgent tasks than that of the run wait in its pool. */
export function isLessUrgent(
  { task }: Attempt,
  waiting: ReadonlyMap<string, number>,
): boolean {
  const { queue } = task.stepRun.record;
  const mostUrgent = waiting.get(queue?.pool ?? "");
  return mostUrgent !== undefined && (queue?.priority ?? 0) > mostUrgent;
}

/** Priority of the most urgent queue with a waiting task, by pool. */
export function findWaitingPriorities(
  board: JobBoard,
  { nowMs, wallMs, areRunsKnown }: PlanningState,
): Map<string, number> {
  const priorities = new Map<string, number>();
  for (const record of board.jobs.values()) {
    const { queue } = record;
    if (queue === undefined || isFinal(record.phase)) continue;
    const known = priorities.get(queue.pool) ?? Number.POSITIVE_INFINITY;
    if (queue.priority >= known || !areRunsKnown(record)) continue;
    const isAnyWaiting = listReadySteps(record, wallMs).some(
      ({ tasks, idleSinceMs }) =>
        nowMs - (idleSinceMs ?? nowMs) <= MAX_WAIT_MS &&
        // Room is held back for the others already.
        tasks.some(
          (task) => task.reservedOn === undefined && isWaiting(task, nowMs),
        ),
    );
    if (isAnyWaiting) priorities.set(queue.pool, queue.priority);
  }
  return priorities;
}
