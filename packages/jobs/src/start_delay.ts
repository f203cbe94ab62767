import { isWaiting, listReadySteps, type PlanningState } from "./start_planner";
import type { JobRecord } from "./task";
import { AttemptPhase, type Task } from "./task";
import type { WorkerRecord } from "./worker_record";

/** Why a task that could be at work is not. */
export enum DelayReason {
  /** Its pool has no worker that takes new tasks. */
  NoWorker = "no_worker",
  /** No worker of its pool has room, or it waits for its turn. */
  NoRoom = "no_room",
  /** It failed or was refused a moment ago. */
  Backoff = "backoff",
  /** A former leader may have started it on a worker that has not reported. */
  RunsUnknown = "runs_unknown",
  /** Its last run was on a worker that does not answer, whose lease may last. */
  SilentWorker = "silent_worker",
  /** Its last run was asked to stop and has not been reported as ended. */
  Stopping = "stopping",
}

/** A task that is not started yet, and why. */
export interface StartDelay {
  readonly task: Task;
  readonly reason: DelayReason;
  /** Worker of its last run, if that is what it waits for. */
  readonly worker: WorkerRecord | undefined;
}

/** Names of the pools that have a worker for new tasks. */
export function listUsablePools(
  workers: Iterable<WorkerRecord>,
  { isUsable }: PlanningState,
): Set<string> {
  const pools = new Set<string>();
  for (const worker of workers) {
    if (!pools.has(worker.info.pool) && isUsable(worker)) {
      pools.add(worker.info.pool);
    }
  }
  return pools;
}

/** Lists the tasks of a job that could be at work and are not. */
export function listStartDelays(
  record: JobRecord,
  usablePools: ReadonlySet<string>,
  options: PlanningState,
): StartDelay[] {
  const hasWorker = usablePools.has(record.queue?.pool ?? "");
  const placing = hasWorker ? DelayReason.NoRoom : DelayReason.NoWorker;
  const delays: StartDelay[] = [];
  for (const { tasks } of listReadySteps(record, options.wallMs)) {
    for (const task of tasks) {
      const delay = explainDelay(task, placing, options);
      if (delay !== undefined) delays.push(delay);
    }
  }
  return delays;
}

/** The delay of one task; undefined while it is done or at work. */
function explainDelay(
  task: Task,
  placing: DelayReason,
  options: PlanningState,
): StartDelay | undefined {
  if (task.isDone) return undefined;
  const [attempt] = task.attempts;
  if (attempt !== undefined) {
    const { worker } = attempt;
    if (worker.isSilent) {
      return { task, reason: DelayReason.SilentWorker, worker };
    }
    const isStopping = attempt.phase === AttemptPhase.Stopping;
    return isStopping
      ? { task, reason: DelayReason.Stopping, worker }
      : undefined;
  }
  const areRunsKnown =
    options.areRunsKnown(task.stepRun.record) ||
    options.areTaskRunsKnown?.(task) === true;
  const reason = !areRunsKnown
    ? DelayReason.RunsUnknown
    : isWaiting(task, options.nowMs)
      ? placing
      : DelayReason.Backoff;
  return { task, reason, worker: undefined };
}
