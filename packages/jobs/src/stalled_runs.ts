import { type Attempt, AttemptPhase } from "./task";
import type { WorkerRecord } from "./worker_record";

/** A run without progress for this time has stalled, in ms. */
const MIN_STALL_MS = 1800;
/** A run is allowed at least this fraction of its estimate without progress. */
const STALL_ESTIMATE_FACTOR = 0.3;
/** Time for which a worker with stalled runs gets no new tasks, in ms. */
const STALL_BACKOFF_MS = 2500;

/** Lists the runs on a worker that have stalled. */
export function listStalled(worker: WorkerRecord, nowMs: number): Attempt[] {
  return [...worker.attempts].filter((attempt) => isStalled(attempt, nowMs));
}

/** Keeps new tasks away from a worker with stalled runs for a while. */
export function backOffStalledWorker(
  worker: WorkerRecord,
  nowMs: number,
): void {
  const untilMs = nowMs + STALL_BACKOFF_MS;
  worker.backoffUntilMs = Math.max(worker.backoffUntilMs, untilMs);
}

function isStalled(attempt: Attempt, nowMs: number): boolean {
  const { task, phase, pacePercent, confirmedMs, progressMs } = attempt;
  const { step } = task.stepRun;
  if (phase !== AttemptPhase.Running || confirmedMs === undefined) return false;
  // Long-running tasks report their speed instead of progress.
  if (step.isLongRunning || pacePercent < 100) return false;
  const limitMs = Math.max(
    MIN_STALL_MS,
    step.estimateMs * STALL_ESTIMATE_FACTOR,
  );
  return nowMs - Math.max(progressMs, confirmedMs) > limitMs;
}
