import { dueMsOf } from "./job";
import { objectiveMs, remainingMs } from "./job_order";
import type { StepRun } from "./task";

/** Serving tasks that a filler may push over while its job has time. */
const PATIENT_HARM = 0.08;
/** The same when its job would miss its objective by waiting. */
const URGENT_HARM = 0.3;
/** The same once the objective is missed: little is left to gain. */
const LATE_HARM = 0.08;
/** Slack below which a job begins to be urgent, in ms. */
const URGENT_SLACK_MS = 2000;

/** A job of which nothing runs for this long starts where it harms least. */
const IDLE_LIMIT_MS = 2000;

/** How many serving tasks a filler of the step may push over. */
export function harmLimitOf(
  stepRun: StepRun,
  { wallMs, nowMs }: { wallMs: number; nowMs: number },
): number {
  const { record, occurrence, idleSinceMs } = stepRun;
  const idleMs = nowMs - (idleSinceMs ?? nowMs);
  if (idleMs > IDLE_LIMIT_MS) return Number.POSITIVE_INFINITY;
  const dueMs = dueMsOf(record.job, occurrence) + objectiveMs(record);
  if (wallMs > dueMs) return LATE_HARM;
  const slackMs = dueMs - wallMs - remainingMs(stepRun);
  const urgency = Math.min(1, Math.max(0, 1 - slackMs / URGENT_SLACK_MS));
  return PATIENT_HARM + urgency * (URGENT_HARM - PATIENT_HARM);
}
