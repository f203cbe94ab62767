import {
  addResources,
  isWithin,
  NO_RESOURCES,
  type Resources,
  subtractResources,
  sumResources,
} from "@laburnumtrack/core/resources";
import { KeyPrefix, type WorkerRow } from "@laburnumtrack/core/rows";
import { EventKind, type HistoryEvent } from "@laburnumtrack/standins/history";
import { Invariant, type Violation } from "./invariant";
import type { RunRecord } from "./run_record";
import { checkTasks } from "./task_check";

/**
 * Checks that neither the assignments in a worker's row nor the tasks that run
 * on the worker ever exceed the capacity of its VM.
 */
export function checkCommitments(record: RunRecord): Violation[] {
  const violations: Violation[] = [];
  const report = (detail: string) =>
    violations.push({ invariant: Invariant.NoOvercommit, detail });
  for (const { kind, place, detail } of record.platform) {
    if (kind !== EventKind.WorkerRow || detail === "") continue;
    const row = JSON.parse(detail) as WorkerRow;
    const used = sumResources(row.assignments);
    if (isWithin(used, row.vm.capacity)) continue;
    report(
      `row of ${place.slice(KeyPrefix.Worker.length)} commits ${formatResources(used)}`,
    );
  }
  const running = new Map<string, Map<string, Resources>>();
  for (const event of record.workers) {
    const runs = running.get(event.place) ?? new Map<string, Resources>();
    running.set(event.place, runs);
    if (event.kind === EventKind.RunEnded) runs.delete(runKeyOf(event));
    if (event.kind !== EventKind.RunStarted) continue;
    runs.set(runKeyOf(event), parseRunStart(event).resources);
    let used = NO_RESOURCES;
    for (const resources of runs.values()) used = addResources(used, resources);
    const capacity = record.capacities.get(event.place) ?? NO_RESOURCES;
    if (isWithin(used, capacity)) continue;
    const over = subtractResources(used, capacity);
    report(
      `${event.place} runs ${runs.size} tasks, beyond its capacity by ${formatResources(over)}`,
    );
  }
  return violations;
}

/** Checks that no task runs twice and that every expected task gets done. */
export function checkRuns(record: RunRecord): Violation[] {
  const { workers, platform, expectedTasks: expected } = record;
  const check = checkTasks({ workers, platform, expected });
  return check.violations.map((detail) => ({
    invariant: detail.startsWith("not done")
      ? Invariant.ResumeOnce
      : Invariant.OnePlace,
    detail,
  }));
}

/** Checks that no run starts beyond the checkpoint that the last run saved. */
export function checkResumes(record: RunRecord): Violation[] {
  const violations: Violation[] = [];
  const checkpoints = new Map<string, number>();
  for (const event of record.workers) {
    const { kind, subject, detail, epoch } = event;
    if (kind === EventKind.RunEnded) {
      const [, checkpoint = ""] = detail.split(" ");
      checkpoints.set(subject, Number(checkpoint));
    }
    if (kind !== EventKind.RunStarted) continue;
    const from = Number(parseRunStart(event).checkpoint || "0");
    const lastCheckpoint = checkpoints.get(subject) ?? 0;
    // Starting beyond the saved checkpoint would skip work that was never done.
    if (from <= lastCheckpoint) continue;
    violations.push({
      invariant: Invariant.ResumeOnce,
      detail: `${subject} epoch ${epoch} resumed at ${from}, beyond the saved checkpoint ${lastCheckpoint}`,
    });
  }
  return violations;
}

function parseRunStart({ detail }: HistoryEvent): {
  readonly checkpoint: string;
  readonly resources: Resources;
} {
  return JSON.parse(detail);
}

function runKeyOf({ subject, epoch }: HistoryEvent): string {
  return `${subject}@${epoch}`;
}

function formatResources({
  cpuMilli,
  memoryMb,
  accelerators,
}: Resources): string {
  return `${cpuMilli} mcores, ${memoryMb} MB, ${accelerators} accelerators`;
}
