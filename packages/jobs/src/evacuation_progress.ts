import {
  findWaitingPriorities,
  hasLongLeft,
  isAtAwayLimit,
  isLessUrgent,
} from "./evacuation";
import type { JobBoard } from "./job_board";
import type { PlanningState } from "./start_planner";
import { type Attempt, AttemptPhase } from "./task";

/** Why a run is still in an evacuated failure domain. */
export enum StayReason {
  /** Its start is not confirmed. */
  Starting = "starting",
  /** It was asked to stop and has not been reported as ended. */
  Stopping = "stopping",
  /** Its worker does not answer. */
  SilentWorker = "silent_worker",
  /** Its worker leaves anyway. */
  WorkerLeaves = "worker_leaves",
  /** A former leader may have started another run of its task. */
  RunsUnknown = "runs_unknown",
  /** Its gang would end with it. */
  Gang = "gang",
  /** Another copy of its task is at work. */
  OtherCopy = "other_copy",
  /** As many tasks of its step are away as may be. */
  DisruptionLimit = "disruption_limit",
  /** More urgent tasks wait for room elsewhere. */
  MoreUrgent = "more_urgent",
  /** No room elsewhere is free. */
  NoRoom = "no_room",
  /** It saves no checkpoints, or ends soon. */
  EndsByItself = "ends_by_itself",
}

/** What is left in an evacuated failure domain. */
export interface EvacuationProgress {
  /** Number of workers in the domain. */
  readonly workers: number;
  /** Number of runs that may be active there. */
  readonly runs: number;
  /** Number of those that run until their job is cancelled. */
  readonly longRunning: number;
  /** Number of runs by the reason why they are there. */
  readonly reasons: Partial<Record<StayReason, number>>;
}

/** Counts what is left in a failure domain, and why. */
export function summarizeEvacuation(
  board: JobBoard,
  domain: string,
  state: PlanningState,
): EvacuationProgress {
  const waiting = findWaitingPriorities(board, state);
  const reasons: Partial<Record<StayReason, number>> = {};
  let workers = 0;
  let runs = 0;
  let longRunning = 0;
  for (const worker of board.workers.values()) {
    if (worker.info.failureDomain !== domain) continue;
    workers += 1;
    for (const attempt of worker.attempts) {
      runs += 1;
      if (attempt.task.stepRun.step.isLongRunning) longRunning += 1;
      const reason = explainStay(attempt, waiting, state);
      reasons[reason] = (reasons[reason] ?? 0) + 1;
    }
  }
  return { workers, runs, longRunning, reasons };
}

function explainStay(
  attempt: Attempt,
  waiting: ReadonlyMap<string, number>,
  { areRunsKnown }: PlanningState,
): StayReason {
  const { task, worker, phase } = attempt;
  const { stepRun } = task;
  if (worker.isSilent) return StayReason.SilentWorker;
  if (phase === AttemptPhase.Starting) return StayReason.Starting;
  if (phase === AttemptPhase.Stopping) return StayReason.Stopping;
  if (worker.isLeaving || !worker.isRegistered) return StayReason.WorkerLeaves;
  if (stepRun.step.isGang) return StayReason.Gang;
  if (task.attempts.length > 1) return StayReason.OtherCopy;
  if (!areRunsKnown(stepRun.record)) return StayReason.RunsUnknown;
  if (stepRun.step.isLongRunning) {
    const isHeld = task.reservedOn === undefined && isAtAwayLimit(stepRun);
    return isHeld ? StayReason.DisruptionLimit : StayReason.NoRoom;
  }
  if (!hasLongLeft(attempt)) return StayReason.EndsByItself;
  return isLessUrgent(attempt, waiting)
    ? StayReason.MoreUrgent
    : StayReason.NoRoom;
}
