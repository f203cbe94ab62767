import { type Attempt, AttemptPhase } from "./task";
import type { WorkerRecord } from "./worker_record";

/** A run that makes no progress for this long stands still, in ms. */
const STALL_MS = 1800;
/** A run is given this part of its estimate before it is said to stand still. */
const STALL_ESTIMATE_FACTOR = 0.3;
/** Pause of a worker on which runs stand still, in ms. */
const STALL_ASIDE_MS = 2500;

/** Runs on a worker that should have made progress and have not. */
export function listStalled(worker: WorkerRecord, nowMs: number): Attempt[] {
  return [...worker.attempts].filter((attempt) => isStalled(attempt, nowMs));
}

/** Keeps new work from a worker on which runs stand still. */
export function setStalledAside(worker: WorkerRecord, nowMs: number): void {
  const untilMs = nowMs + STALL_ASIDE_MS;
  worker.asideUntilMs = Math.max(worker.asideUntilMs, untilMs);
}

function isStalled(attempt: Attempt, nowMs: number): boolean {
  const { task, phase, pacePercent, confirmedMs, progressMs } = attempt;
  const { step } = task.stepRun;
  if (phase !== AttemptPhase.Running || confirmedMs === undefined) return false;
  // Tasks that last show their share of speed, not progress.
  if (step.isLongRunning || pacePercent < 100) return false;
  const limitMs = Math.max(STALL_MS, step.estimateMs * STALL_ESTIMATE_FACTOR);
  return nowMs - Math.max(progressMs, confirmedMs) > limitMs;
}
