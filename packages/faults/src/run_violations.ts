import type { RunRecord } from "@laburnumtrack/standins/task_fleet_standin";

/**
 * Lists tasks that ran twice at once, or again after their end had been
 * acknowledged.
 */
export function findRunViolations(
  history: readonly RunRecord[],
  acknowledged: ReadonlySet<RunRecord>,
): string[] {
  const byTask = new Map<string, RunRecord[]>();
  for (const record of history) {
    const records = byTask.get(record.task);
    if (records === undefined) byTask.set(record.task, [record]);
    else records.push(record);
  }
  return [...byTask.values()].flatMap((records) =>
    findTaskViolations(records, acknowledged),
  );
}

function findTaskViolations(
  records: readonly RunRecord[],
  acknowledged: ReadonlySet<RunRecord>,
): string[] {
  const violations: string[] = [];
  for (const [index, record] of records.entries()) {
    for (const later of records.slice(index + 1)) {
      const { task } = record;
      const endMs = record.endMs ?? Number.POSITIVE_INFINITY;
      if (later.startMs < endMs) violations.push(`${task} ran twice at a time`);
      if (acknowledged.has(record))
        violations.push(`${task} ran again after it was done`);
    }
  }
  return violations;
}
