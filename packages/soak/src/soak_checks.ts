import { findRunViolations } from "@laburnumtrack/faults/run_violations";
import type { RunRecord } from "@laburnumtrack/standins/task_fleet_standin";
import type { CallerJob } from "./soak_caller";

/** Observations of a soak test. */
export interface SoakRecord {
  readonly jobs: readonly CallerJob[];
  /** Final states by job id; undefined if no entry answered. */
  readonly states: ReadonlyMap<string, string | undefined>;
  /** All runs that workers started. */
  readonly history: readonly RunRecord[];
  /** Runs whose completion the leader acknowledged. */
  readonly acknowledged: ReadonlySet<RunRecord>;
}

/**
 * Time after an acknowledged cancellation in which tasks may still start, in ms:
 * start orders that were delayed on the way to a worker are carried out late.
 */
const LATE_START_TOLERANCE_MS = 8000;

/** Number of workers that must have crashed under a task before it is given up. */
const MIN_CRASHES = 3;

/** Returns the violated guarantees, one line each. */
export function checkSoak(record: SoakRecord): string[] {
  const { jobs, states, history, acknowledged } = record;
  const runsByJob = new Map<string, RunRecord[]>();
  for (const run of history) {
    const id = run.task.slice(0, run.task.indexOf("/"));
    const runs = runsByJob.get(id);
    if (runs === undefined) runsByJob.set(id, [run]);
    else runs.push(run);
  }
  const violations = findRunViolations(history, acknowledged);
  for (const job of jobs) {
    const runs = runsByJob.get(job.id) ?? [];
    violations.push(...checkJob(job, states.get(job.id), runs));
  }
  return violations;
}

function checkJob(
  job: CallerJob,
  state: string | undefined,
  runs: readonly RunRecord[],
): string[] {
  const { id, isAccepted, isOutcomeUnknown, isCancelSent, cancelledMs } = job;
  const violations: string[] = [];
  const mayFail = hasCrashLoop(runs);
  if (!isAccepted && !isOutcomeUnknown && runs.length > 0) {
    violations.push(`job ${id} ran although every submission was refused`);
  }
  const isEnded = state === "completed" || (state === "failed" && mayFail);
  if (isAccepted && !isCancelSent && !isEnded) {
    violations.push(
      `job ${id} was accepted but its final state is ${state ?? "not answered"}`,
    );
  }
  if (cancelledMs !== undefined) {
    if (state !== "cancelled" && state !== "completed") {
      violations.push(
        `job ${id} was cancelled but its final state is ${state ?? "not answered"}`,
      );
    }
    const late = runs.filter(
      ({ startMs }) => startMs > cancelledMs + LATE_START_TOLERANCE_MS,
    );
    if (late.length > 0)
      violations.push(`job ${id} started a task after its cancellation`);
    if (runs.some(({ endMs }) => endMs === undefined)) {
      violations.push(`job ${id} still runs a task after its cancellation`);
    }
  }
  for (const impossible of job.impossibleStates) {
    if (isCancelSent && impossible === "cancelled") continue;
    if (mayFail && impossible === "failed") continue;
    violations.push(`job ${id} was reported as ${impossible}`);
  }
  return violations;
}

/** Whether enough runs of one task ended with their workers. */
function hasCrashLoop(runs: readonly RunRecord[]): boolean {
  const crashes = new Map<string, number>();
  for (const { task, endMs, end } of runs) {
    if (endMs === undefined || end !== undefined) continue;
    crashes.set(task, (crashes.get(task) ?? 0) + 1);
  }
  return [...crashes.values()].some((count) => count >= MIN_CRASHES);
}
