import { chainMs, isLasting, type Job } from "./job";
import type { JobRecord, StepRun } from "./task";

/** Objective of a job in ms from its submission. */
export function objectiveMs(record: JobRecord): number {
  const { queue, job } = record;
  const { stretch, targetMs } = queue ?? { stretch: 1, targetMs: 0 };
  return stretch * chainMs(job) + targetMs;
}

/** Length of the longest chain that begins with the step, in ms. */
export function remainingMs(stepRun: StepRun): number {
  const { steps } = stepRun.record.job;
  let longest = 0;
  for (const [number, step] of steps.entries()) {
    if (number > stepRun.number && step.after.includes(stepRun.number)) {
      const next = stepRun.record.occurrences[stepRun.occurrence]?.[number];
      if (next !== undefined) longest = Math.max(longest, remainingMs(next));
    }
  }
  return stepRun.step.estimateMs + longest;
}

/** A job that is this many times over its objective has no worth left. */
const WORTHLESS_FACTOR = 3;

/** Which job is served first: lower is earlier, element by element. */
export interface JobRank {
  readonly isWorthless: boolean;
  readonly priority: number;
  /** Unix ms at which the job is due. */
  readonly dueMs: number;
}

/** Ranks a job at a moment. */
export function rankJob(record: JobRecord, wallMs: number): JobRank {
  const objective = objectiveMs(record);
  const fromMs = firstMs(record.job);
  return {
    // A job that lasts is worth something for as long as it lasts.
    isWorthless:
      !isLasting(record.job) && wallMs > fromMs + WORTHLESS_FACTOR * objective,
    priority: record.queue?.priority ?? Number.MAX_SAFE_INTEGER,
    dueMs: fromMs + objective,
  };
}

/** Orders two ranks. */
export function compareRanks(a: JobRank, b: JobRank): number {
  return (
    Number(a.isWorthless) - Number(b.isWorthless) ||
    a.priority - b.priority ||
    a.dueMs - b.dueMs
  );
}

function firstMs({ repeat, submittedMs }: Job): number {
  return repeat === undefined ? submittedMs : repeat.startMs;
}
