import { chainMs, isLasting, type Job } from "./job";
import { isStepDone, type JobRecord, type StepRun } from "./task";

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
  /** It is sure to miss its objective. */
  readonly isMissed: boolean;
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
    isMissed: isMissed(record, wallMs),
    dueMs: fromMs + objective,
  };
}

/**
 * Whether what is left of a job takes longer than its objective allows. Such
 * jobs go behind those that can still make theirs: served strictly by due
 * time, an overload would make one after the other late.
 */
function isMissed(record: JobRecord, wallMs: number): boolean {
  const { job } = record;
  if (isLasting(job) || job.repeat !== undefined) return false;
  let leftMs = 0;
  for (const stepRun of record.occurrences.flat()) {
    if (isStepDone(stepRun)) continue;
    const isUnderWay = stepRun.tasks.every(
      ({ isDone, attempts }) => isDone || attempts.length > 0,
    );
    // The rest of a step that is under way is not known: it may be short.
    const ownMs = isUnderWay ? stepRun.step.estimateMs : 0;
    leftMs = Math.max(leftMs, remainingMs(stepRun) - ownMs);
  }
  return wallMs + leftMs > job.submittedMs + objectiveMs(record);
}

/** Orders two ranks. */
export function compareRanks(a: JobRank, b: JobRank): number {
  return (
    Number(a.isWorthless) - Number(b.isWorthless) ||
    a.priority - b.priority ||
    Number(a.isMissed) - Number(b.isMissed) ||
    a.dueMs - b.dueMs
  );
}

function firstMs({ repeat, submittedMs }: Job): number {
  return repeat === undefined ? submittedMs : repeat.startMs;
}
