import type { Attempt } from "@laburnumtrack/jobs/task";

/** Task, run and worker of an attempt, for the log. */
export function describeAttempt({ task, run, worker }: Attempt): string {
  const { occurrence, number } = task.stepRun;
  return `${occurrence}.${number}.${task.index} run ${run} on ${worker.id}`;
}
