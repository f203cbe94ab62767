import {
  criticalPathMs,
  earliestStartMsOf,
  isLongRunning,
  remainingPathMs,
  type Step,
} from "./job";
import { listOccurrences, listStepRuns } from "./occurrences";
import { isStepDone, type JobRecord, type StepRun, type Task } from "./task";

/** Time within which a job should complete, in ms. */
export function objectiveMs(record: JobRecord): number {
  const { queue, job } = record;
  const { stretch, targetMs } = queue ?? { stretch: 1, targetMs: 0 };
  return stretch * criticalPathMs(job) + targetMs;
}

/** After this many times its objective a job is worth nothing to its caller. */
export const EXPIRY_FACTOR = 3;

/** Share of its value that a job still has once it misses its objective. */
const LATE_VALUE = 0.4;
/** Objectives by which its deadline is brought forward until all work has started. */
const PROGRESS_LEAD = 4;

/** Sort key of a job: fields compare in order, lower values go first. */
export interface JobRank {
  /** It has a long-running task that was at work and is down. */
  readonly isInterrupted: boolean;
  /** It is so late that its result has no value any more. */
  readonly isExpired: boolean;
  readonly priority: number;
  /** A task of it was stopped for others and waits to resume. */
  readonly isResuming: boolean;
  /**
   * Value of its result per unit of work that has not started, once it misses its
   * objective; 1 before. Higher values go first.
   */
  readonly density: number;
  /**
   * Unix ms by which the job should complete, brought forward by what it has done.
   */
  readonly deadlineMs: number;
}

/** Returns the rank of a job at the given time. */
export function rankJob(
  record: JobRecord,
  wallMs: number,
  isResuming = false,
): JobRank {
  const objective = objectiveMs(record);
  const { firstMs, lastMs } = openStartsOf(record);
  const { waitingShare, isLate } = progressOf(record, wallMs);
  const leadMs = PROGRESS_LEAD * (1 - waitingShare) * objective;
  return {
    isInterrupted:
      isLongRunning(record.job) &&
      listStepRuns(record).some(
        (stepRun) =>
          stepRun.step.isLongRunning && stepRun.tasks.some(isInterrupted),
      ),
    // The result of a long-running job never expires.
    isExpired:
      !isLongRunning(record.job) && wallMs > lastMs + EXPIRY_FACTOR * objective,
    priority: record.queue?.priority ?? Number.MAX_SAFE_INTEGER,
    isResuming,
    density: isLate && waitingShare > 0 ? LATE_VALUE / waitingShare : 1,
    deadlineMs: firstMs + objective - leadMs,
  };
}

/**
 * Whether a long-running task was at work and has no run. Whoever uses it is
 * served by nobody meanwhile.
 */
export function isInterrupted(task: Task): boolean {
  return (
    task.wasAtWork &&
    task.attempts.length === 0 &&
    task.stepRun.step.isLongRunning
  );
}

/** How far a job has come. */
interface Progress {
  /** Share of its work, as estimated, that is neither done nor started. */
  readonly waitingShare: number;
  /** It misses its objective even if the rest starts now. */
  readonly isLate: boolean;
}

/**
 * How far a job has come, on which its rank depends: what it has done is lost to its
 * caller unless the rest follows, and a job of many tasks takes longer, so newer
 * ones must not pass it again and again. A late job ranks behind those that can
 * still meet their objectives until most of it has started: with a strict order
 * by deadline, an overload would make every job late in turn. Shares of its own
 * work count, so the size of a job makes no difference.
 */
function progressOf(record: JobRecord, wallMs: number): Progress {
  const { job } = record;
  let work = 0;
  let waitingWork = 0;
  let leftMs = 0;
  for (const stepRun of listStepRuns(record)) {
    const { step, number } = stepRun;
    const waiting = countWaiting(stepRun);
    const taskWork = workOfTask(step);
    work += step.count * taskWork;
    waitingWork += waiting * taskWork;
    if (isStepDone(stepRun)) continue;
    // The remaining time of a started step is unknown and may be short.
    const ownMs = waiting === 0 ? step.estimateMs : 0;
    leftMs = Math.max(leftMs, remainingPathMs(job, number) - ownMs);
  }
  const hasObjective = !isLongRunning(job) && job.repeat === undefined;
  return {
    waitingShare: work > 0 ? waitingWork / work : 1,
    isLate:
      hasObjective && wallMs + leftMs > job.submittedMs + objectiveMs(record),
  };
}

/** Number of tasks of a step that are neither done nor started. */
function countWaiting(stepRun: StepRun): number {
  if (!stepRun.hasTasks) return stepRun.step.count - stepRun.doneCount;
  let waiting = 0;
  for (const { isDone, attempts } of stepRun.tasks) {
    if (!isDone && attempts.length === 0) waiting += 1;
  }
  return waiting;
}

/** Work of a task as estimated; tasks without an estimate count, too. */
function workOfTask({ resources, estimateMs }: Step): number {
  return Math.max(1, resources.cpuMilli) * Math.max(1, estimateMs);
}

/** Compares two ranks for sorting; the more urgent one goes first. */
export function compareRanks(a: JobRank, b: JobRank): number {
  return (
    Number(b.isInterrupted) - Number(a.isInterrupted) ||
    Number(a.isExpired) - Number(b.isExpired) ||
    a.priority - b.priority ||
    Number(b.isResuming) - Number(a.isResuming) ||
    b.density - a.density ||
    a.deadlineMs - b.deadlineMs
  );
}

/**
 * Earliest starts, in Unix ms, of the first and the last occurrence that is under
 * way; of the next one if none is.
 */
function openStartsOf(record: JobRecord): { firstMs: number; lastMs: number } {
  const { job, doneOccurrences } = record;
  const open = listOccurrences(record).filter(
    (steps) => !steps.every(isStepDone),
  );
  const first = open[0]?.[0]?.occurrence;
  const last = open.at(-1)?.[0]?.occurrence;
  let next = record.nextOccurrence;
  while (first === undefined && doneOccurrences.has(next)) next += 1;
  return {
    firstMs: earliestStartMsOf(job, first ?? next),
    lastMs: earliestStartMsOf(job, last ?? next),
  };
}
