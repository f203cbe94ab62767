import { findRunFaults } from "@laburnumtrack/faults/run_faults";
import type { RunRecord } from "@laburnumtrack/standins/task_fleet_standin";
import type { CallerJob } from "./soak_caller";

/** What a soak has seen. */
export interface SoakRecord {
  readonly jobs: readonly CallerJob[];
  /** States at the end, by job; undefined: no entry answered. */
  readonly states: ReadonlyMap<string, string | undefined>;
  readonly history: readonly RunRecord[];
  readonly acknowledged: ReadonlySet<RunRecord>;
}

/** Starts of a cancelled job that may still come, in ms: late orders. */
const CANCEL_MS = 8000;

/** Which promises were broken, a line each. */
export function checkSoak(record: SoakRecord): string[] {
  const { jobs, states, history, acknowledged } = record;
  const byJob = new Map<string, RunRecord[]>();
  for (const run of history) {
    const id = run.task.slice(0, run.task.indexOf("/"));
    const runs = byJob.get(id);
    if (runs === undefined) byJob.set(id, [run]);
    else runs.push(run);
  }
  const broken = findRunFaults(history, acknowledged);
  for (const job of jobs) {
    const runs = byJob.get(job.id) ?? [];
    broken.push(...checkJob(job, states.get(job.id), runs));
  }
  return broken;
}

function checkJob(
  job: CallerJob,
  state: string | undefined,
  runs: readonly RunRecord[],
): string[] {
  const { id, isAccepted, isUncertain, isCancelSent, cancelledMs } = job;
  const broken: string[] = [];
  if (!isAccepted && !isUncertain && runs.length > 0) {
    broken.push(`${id} was refused each time and ran`);
  }
  if (isAccepted && !isCancelSent && state !== "completed") {
    broken.push(`${id} was accepted and is ${state ?? "not answered"}`);
  }
  if (cancelledMs !== undefined) {
    if (state !== "cancelled" && state !== "completed") {
      broken.push(`${id} was cancelled and is ${state ?? "not answered"}`);
    }
    const late = runs.filter(
      ({ startMs }) => startMs > cancelledMs + CANCEL_MS,
    );
    if (late.length > 0) broken.push(`${id} started after it was cancelled`);
    if (runs.some(({ endMs }) => endMs === undefined)) {
      broken.push(`${id} was cancelled and runs on`);
    }
  }
  for (const wrong of job.wrongStates) {
    if (isCancelSent && wrong === "cancelled") continue;
    broken.push(`${id} was said to be ${wrong}`);
  }
  return broken;
}
