import type { Attempt, StepRun } from "./task";

/**
 * Counts on the jobs of steps that found no room how many of the starts passed
 * them: those of jobs that were submitted later to queues at most as urgent.
 */
export function countPasses(
  unplaced: Iterable<StepRun>,
  starts: readonly Attempt[],
): void {
  if (starts.length === 0) return;
  for (const waiting of unplaced) {
    for (const { task } of starts) {
      if (isPassed(waiting, task.stepRun)) waiting.record.passes += 1;
    }
  }
}

function isPassed(waiting: StepRun, started: StepRun): boolean {
  const { job, queue } = waiting.record;
  const { job: other, queue: otherQueue } = started.record;
  return (
    other !== job &&
    other.submittedMs > job.submittedMs &&
    otherQueue?.pool === queue?.pool &&
    (otherQueue?.priority ?? 0) >= (queue?.priority ?? 0) &&
    // Fillers take no room from others.
    started.step.isFiller === waiting.step.isFiller
  );
}
