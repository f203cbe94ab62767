import {
  type Attempt,
  AttemptPhase,
  type StepRun,
} from "@laburnumtrack/jobs/task";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import { DurationRatios } from "./duration_ratios";
import { WorkerSpeeds } from "./worker_speeds";

/** When a run is expected to end, in monotonic ms; infinite if unknown. */
export interface ExpectedEnd {
  readonly expectedMs: number;
  /** By when it ends unless the estimate is far off. */
  readonly latestMs: number;
}

/** Free CPU of a worker from a time on. */
export interface FreeFrom {
  /** Monotonic ms. */
  readonly fromMs: number;
  /** Negative while reservations wait for runs to end. */
  readonly freeMilli: number;
}

/** First progress of a run that was reported. */
interface FirstProgress {
  readonly percent: number;
  readonly atMs: number;
}

/** Time from the request to stop a run until its end is usually reported, in ms. */
export const USUAL_STOP_MS = 250;
/** Relative error of the remaining time, from the estimate alone. */
const ESTIMATE_ERROR = 0.5;
/** The same where the progress of the run was measured. */
const MEASURED_ERROR = 0.15;
/** Least progress from which the speed of a run is known, in percent. */
const MIN_MEASURED_PERCENT = 8;
/** Least time over which the speed of a run is measured, in ms. */
const MIN_MEASURED_MS = 150;
/** A run past its estimate ends after this fraction of it, on average. */
const OVERDUE_FRACTION = 0.3;

/** Expects when runs end, from estimates, reported progress and earlier runs. */
export class Timeline {
  readonly ratios = new DurationRatios();
  readonly speeds = new WorkerSpeeds();
  readonly #firsts = new WeakMap<Attempt, FirstProgress>();
  /** Runs that were learnt from: a slow one must not count again and again. */
  readonly #learnt = new WeakSet<Attempt>();

  /** Learns from the progress in a report of the worker. */
  onReport(worker: WorkerRecord, nowMs: number): void {
    for (const attempt of worker.attempts) this.#learn(attempt, nowMs);
  }

  /** Expected duration of a task of the step, in ms; 0 if unknown. */
  durationMs(stepRun: StepRun): number {
    return stepRun.step.estimateMs * this.ratios.ratioOf(stepRun);
  }

  /** Expected end of the run in monotonic ms; infinite if unknown. */
  expectedEndMs(attempt: Attempt, nowMs: number): number {
    return this.expectedEnd(attempt, nowMs).expectedMs;
  }

  /** Expected and latest end of the run. */
  expectedEnd(attempt: Attempt, nowMs: number): ExpectedEnd {
    if (attempt.phase === AttemptPhase.Stopping) {
      const endMs = nowMs + USUAL_STOP_MS;
      return { expectedMs: endMs, latestMs: endMs };
    }
    const { stepRun } = attempt.task;
    if (stepRun.step.isLongRunning || attempt.pacePercent <= 0) return NEVER;
    const measured = this.percentPerMs(attempt);
    const leftPercent = Math.min(100, Math.max(0, 100 - attempt.percent));
    if (measured !== undefined) {
      const leftMs = leftPercent / measured;
      const endMs = attempt.progressMs + leftMs;
      return bound(endMs, leftMs * MEASURED_ERROR, nowMs);
    }
    const speed = this.speeds.speedOf(attempt.worker, nowMs);
    const fullMs = this.durationMs(stepRun) / speed;
    if (!(fullMs > 0)) return NEVER;
    const leftMs = (fullMs * leftPercent) / 100;
    const sinceMs =
      attempt.percent > 0
        ? attempt.progressMs
        : (attempt.confirmedMs ?? attempt.sentMs);
    if (sinceMs + leftMs < nowMs) {
      const restMs = fullMs * OVERDUE_FRACTION;
      return bound(nowMs + restMs, fullMs, nowMs);
    }
    return bound(sinceMs + leftMs, leftMs * ESTIMATE_ERROR, nowMs);
  }

  /** Measured progress in percent per ms; undefined until it is known. */
  percentPerMs(attempt: Attempt): number | undefined {
    const first = this.#firsts.get(attempt);
    if (first === undefined) return undefined;
    const percent = attempt.percent - first.percent;
    const spentMs = attempt.progressMs - first.atMs;
    const isKnown =
      percent >= MIN_MEASURED_PERCENT && spentMs >= MIN_MEASURED_MS;
    return isKnown ? percent / spentMs : undefined;
  }

  /** Progress in percent since the first report of the run. */
  gainedPercent(attempt: Attempt): number {
    const first = this.#firsts.get(attempt);
    return first === undefined ? 0 : attempt.percent - first.percent;
  }

  /** Time over which the progress of a run was observed, in ms. */
  observedMs(attempt: Attempt, reportedMs: number): number {
    const first = this.#firsts.get(attempt);
    if (first === undefined) return 0;
    return Math.max(reportedMs, attempt.progressMs) - first.atMs;
  }

  /**
   * Free CPU of the worker over the next `horizonMs`, in order of time. Ends that
   * are not certain count as late ones.
   */
  profileOf(
    worker: WorkerRecord,
    nowMs: number,
    horizonMs: number,
  ): FreeFrom[] {
    const ends: { endMs: number; cpuMilli: number }[] = [];
    for (const attempt of worker.attempts) {
      const { isFiller, resources } = attempt.task.stepRun.step;
      if (isFiller) continue;
      const { latestMs } = this.expectedEnd(attempt, nowMs);
      if (latestMs > nowMs + horizonMs) continue;
      ends.push({ endMs: latestMs, cpuMilli: resources.cpuMilli });
    }
    ends.sort((a, b) => a.endMs - b.endMs);
    let freeMilli = worker.info.capacity.cpuMilli - worker.cpuMilli;
    const profile: FreeFrom[] = [{ fromMs: nowMs, freeMilli }];
    for (const { endMs, cpuMilli } of ends) {
      freeMilli += cpuMilli;
      profile.push({ fromMs: endMs, freeMilli });
    }
    return profile;
  }

  #learn(attempt: Attempt, nowMs: number): void {
    const { task, percent, pacePercent, progressMs, worker } = attempt;
    const { step } = task.stepRun;
    if (step.isLongRunning || pacePercent < 100 || percent <= 0) return;
    if (attempt.phase !== AttemptPhase.Running) return;
    if (!this.#firsts.has(attempt)) {
      this.#firsts.set(attempt, { percent, atMs: progressMs });
      return;
    }
    if (this.#learnt.has(attempt)) return;
    const perMs = this.percentPerMs(attempt);
    if (perMs === undefined || step.estimateMs <= 0) return;
    this.#learnt.add(attempt);
    const ratio = 100 / perMs / step.estimateMs;
    const usual = this.ratios.ratioOf(task.stepRun);
    this.speeds.observe(worker, usual / ratio, nowMs);
    this.ratios.observe(
      task.stepRun,
      ratio * this.speeds.speedOf(worker, nowMs),
    );
  }
}

const NEVER: ExpectedEnd = {
  expectedMs: Number.POSITIVE_INFINITY,
  latestMs: Number.POSITIVE_INFINITY,
};

function bound(endMs: number, errorMs: number, nowMs: number): ExpectedEnd {
  const expectedMs = Math.max(nowMs, endMs);
  return { expectedMs, latestMs: expectedMs + errorMs };
}
