import { earliestStartMsOf } from "./job";
import { objectiveMs, remainingPathMs } from "./job_order";
import type { StepRun } from "./task";

/** Highest interference cost of a filler whose job has enough slack. */
const RELAXED_COST_LIMIT = 0.08;
/** Highest cost when the job misses its objective unless it starts now. */
const URGENT_COST_LIMIT = 0.3;
/** Highest cost once the objective is missed: starting early gains little. */
const LATE_COST_LIMIT = 0.08;
/** Slack below which the limit rises towards the urgent one, in ms. */
const URGENT_SLACK_MS = 2000;

/**
 * A job with nothing running for this long has no limit: its filler starts on
 * the worker with the lowest cost, in ms.
 */
const MAX_IDLE_MS = 2000;

/**
 * Highest interference cost that a filler of the step may add on a worker.
 * See `interferenceCostOf` of the model for the unit.
 */
export function costLimitOf(
  stepRun: StepRun,
  { wallMs, nowMs }: { wallMs: number; nowMs: number },
): number {
  const { record, occurrence, idleSinceMs } = stepRun;
  const idleMs = nowMs - (idleSinceMs ?? nowMs);
  if (idleMs > MAX_IDLE_MS) return Number.POSITIVE_INFINITY;
  const deadlineMs =
    earliestStartMsOf(record.job, occurrence) + objectiveMs(record);
  if (wallMs > deadlineMs) return LATE_COST_LIMIT;
  const slackMs = deadlineMs - wallMs - remainingPathMs(stepRun);
  const urgency = Math.min(1, Math.max(0, 1 - slackMs / URGENT_SLACK_MS));
  return (
    RELAXED_COST_LIMIT + urgency * (URGENT_COST_LIMIT - RELAXED_COST_LIMIT)
  );
}
