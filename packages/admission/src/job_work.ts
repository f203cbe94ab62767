import type { Job, Step } from "@laburnumtrack/jobs/job";

/**
 * Work of a step's tasks as estimated, in milli-core-seconds each. Fillers use
 * spare CPU only, and long-running tasks have no end: both count as 0.
 */
export function workOfTask(step: Step): number {
  if (step.isFiller || step.isLongRunning) return 0;
  return (step.resources.cpuMilli * step.estimateMs) / 1000;
}

/** Work of one occurrence of a job as estimated, in milli-core-seconds. */
export function workOfJob({ steps }: Job): number {
  return steps.reduce((sum, step) => sum + step.count * workOfTask(step), 0);
}

/** Priority to compare by; a job without a valid one is the least urgent. */
export function rankOfPriority(priority: number | undefined): number {
  return priority !== undefined && Number.isFinite(priority)
    ? Math.max(0, priority)
    : Number.MAX_SAFE_INTEGER;
}
