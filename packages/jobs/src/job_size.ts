import { countOccurrences, type Job, type Step } from "./job";

/** Memory of a job without its steps, tasks and texts, in bytes. */
const JOB_BYTES = 1500;
/** Memory of a step of a job, in bytes. */
const STEP_BYTES = 600;
/** Memory of a step of an expanded occurrence without its tasks, in bytes. */
const STEP_RUN_BYTES = 250;
/** Memory of a task of an expanded step, with the runs it may have, in bytes. */
const TASK_BYTES = 500;
/**
 * Most tasks of the expanded occurrences of one job, unless one occurrence alone
 * has more. Bounds what a repeated job holds when its occurrences become due
 * faster than they finish.
 */
const MAX_EXPANDED_TASKS = 1000;
/**
 * Occurrences that are expanded regardless of their size: a later one can go on
 * while an earlier one waits for a worker that fits.
 */
const MIN_EXPANDED_OCCURRENCES = 2;

/** Number of tasks in one occurrence of a job. */
export function countTasks({ steps }: Job): number {
  return steps.reduce((sum, { count }) => sum + count, 0);
}

/**
 * Work of one occurrence of a job as estimated, in core-seconds. Long-running tasks
 * count with their estimate, and fillers like others.
 */
export function coreSecondsOf({ steps }: Job): number {
  let sum = 0;
  for (const { count, resources, estimateMs } of steps) {
    sum += (count * resources.cpuMilli * estimateMs) / 1e6;
  }
  return sum;
}

/** Most occurrences of a job that are expanded at the same time. */
export function maxExpandedOccurrences(job: Job): number {
  const fitting = Math.floor(MAX_EXPANDED_TASKS / Math.max(1, countTasks(job)));
  return Math.min(
    countOccurrences(job),
    Math.max(MIN_EXPANDED_OCCURRENCES, fitting),
  );
}

/**
 * Estimates how much of the leader's memory a job occupies while it is on the
 * board. Tasks exist only while their step is ready or running, so the widest
 * level of the steps counts.
 */
export function estimateJobBytes(job: Job): number {
  const { spec, steps } = job;
  const perOccurrence =
    steps.length * STEP_RUN_BYTES + countWidestLevel(steps) * TASK_BYTES;
  return (
    JOB_BYTES +
    2 * spec.length +
    steps.length * STEP_BYTES +
    maxExpandedOccurrences(job) * perOccurrence
  );
}

/** Most tasks of steps that have equally many steps before them. */
function countWidestLevel(steps: readonly Step[]): number {
  const levels: number[] = [];
  const widths: number[] = [];
  for (const { after, count } of steps) {
    let level = 0;
    for (const earlier of after) {
      level = Math.max(level, 1 + (levels[earlier] ?? 0));
    }
    levels.push(level);
    widths[level] = (widths[level] ?? 0) + count;
  }
  return widths.reduce((widest, width) => Math.max(widest, width), 0);
}
