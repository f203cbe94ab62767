import { checkInForce, checkVersions } from "./check_config";
import {
  checkAnswers,
  checkAtMostOnce,
  checkLeaving,
  checkNotRun,
  checkStops,
} from "./check_requests";
import { checkCommitments, checkResumes, checkRuns } from "./check_tasks";
import { Invariant, type Violation } from "./invariant";
import type { RunRecord } from "./run_record";

const CHECKS = [
  checkCommitments,
  checkRuns,
  checkResumes,
  checkAnswers,
  checkNotRun,
  checkAtMostOnce,
  checkLeaving,
  checkStops,
  checkVersions,
  checkInForce,
];

/**
 * Lists all violations in a run. Uses only what the stand-ins, callers and
 * operators recorded, never the system's own reports.
 */
export function findViolations(record: RunRecord): Violation[] {
  return CHECKS.flatMap((check) => check(record));
}

/** Counts the violations of each invariant, zeros included. */
export function countViolations(
  violations: readonly Violation[],
): Record<Invariant, number> {
  const counts = {} as Record<Invariant, number>;
  for (const invariant of Object.values(Invariant)) counts[invariant] = 0;
  for (const { invariant } of violations) counts[invariant] += 1;
  return counts;
}
