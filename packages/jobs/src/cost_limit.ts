import { earliestStartMsOf, remainingPathMs } from "./job";
import { objectiveMs } from "./job_order";
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
 * Idle time of a job after which no cost limit applies to it, in ms: its filler
 * starts on the worker where it adds the lowest cost.
 */
const MAX_IDLE_MS = 2000;
/**
 * The same in a busy pool, where every worker's serving tasks would suffer and
 * waiting a little longer usually finds a worker on which they do not.
 */
const MAX_BUSY_IDLE_MS = 8000;

/** Input of {@linkcode costLimitOf} besides the step. */
export interface CostLimitOptions {
  /** Unix ms. */
  readonly wallMs: number;
  /** Monotonic ms. */
  readonly nowMs: number;
  /** Whether most of the pool's CPU is reserved. */
  readonly isPoolBusy: boolean;
}

/**
 * Highest interference cost that a filler of the step may add on a worker.
 * See `interferenceCostOf` of the model for the unit.
 */
export function costLimitOf(
  stepRun: StepRun,
  { wallMs, nowMs, isPoolBusy }: CostLimitOptions,
): number {
  const { record, occurrence, idleSinceMs } = stepRun;
  const idleMs = nowMs - (idleSinceMs ?? nowMs);
  const maxIdleMs = isPoolBusy ? MAX_BUSY_IDLE_MS : MAX_IDLE_MS;
  if (idleMs > maxIdleMs) return Number.POSITIVE_INFINITY;
  const deadlineMs =
    earliestStartMsOf(record.job, occurrence) + objectiveMs(record);
  if (wallMs > deadlineMs) return LATE_COST_LIMIT;
  const pathMs = remainingPathMs(record.job, stepRun.number);
  const slackMs = deadlineMs - wallMs - pathMs;
  const urgency = Math.min(1, Math.max(0, 1 - slackMs / URGENT_SLACK_MS));
  return (
    RELAXED_COST_LIMIT + urgency * (URGENT_COST_LIMIT - RELAXED_COST_LIMIT)
  );
}
