import type { JobBoard } from "./job_board";
import { JobPhase } from "./job_state";

/** Counts the jobs that have not started, by queue. */
export function countPending(board: JobBoard): Record<string, number> {
  const pending: Record<string, number> = {};
  for (const { phase, job } of board.jobs.values()) {
    if (phase !== JobPhase.Queued) continue;
    pending[job.queue] = (pending[job.queue] ?? 0) + 1;
  }
  return pending;
}
