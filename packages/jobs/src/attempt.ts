import { countLostRuns, ISOLATION_LOSSES } from "./crash_losses";
import { type Attempt, AttemptPhase, type Task } from "./task";
import type { WorkerRecord } from "./worker_record";

/** Approximate interval at which workers take a new measurement, in ms. */
const MEASUREMENT_INTERVAL_MS = 300;

/** Creates the record of a run that is started now, or was found running. */
export function createAttempt(
  task: Task,
  run: number,
  worker: WorkerRecord,
  sentMs: number,
): Attempt {
  return {
    task,
    run,
    worker,
    bornMs: worker.bornMs,
    // The tasks of a gang run together, so one of them cannot keep others away.
    isIsolated:
      !task.stepRun.step.isGang && countLostRuns(task, run) >= ISOLATION_LOSSES,
    phase: AttemptPhase.Running,
    isInherited: false,
    inheritedWorkMs: 0,
    sentMs,
    confirmedMs: undefined,
    pacePercent: 100,
    pausedMs: undefined,
    measurement: 0,
    measuredMs: sentMs,
    previousMeasurement: 0,
    overSinceMs: undefined,
    percent: 0,
    wasAtFullSpeed: false,
    progressMs: sentMs,
    missedReports: 0,
    stoppedMs: undefined,
    stopReason: undefined,
  };
}

/**
 * Whether no other run of the task has come further. The checkpoint of a copy
 * that began later must not replace that of the first run.
 */
export function isFurthest({ task, percent }: Attempt): boolean {
  return task.attempts.every((other) => other.percent <= percent);
}

/**
 * Records a measurement. Reports repeat a value until the worker takes the next
 * one, so equal values count once per measurement interval.
 */
export function recordMeasurement(
  attempt: Attempt,
  measurement: number,
  nowMs: number,
): void {
  const isRepeated = measurement === attempt.measurement;
  if (isRepeated && nowMs - attempt.measuredMs < MEASUREMENT_INTERVAL_MS)
    return;
  attempt.previousMeasurement = attempt.measurement;
  attempt.measurement = measurement;
  attempt.measuredMs = nowMs;
}
