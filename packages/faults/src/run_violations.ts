import type { RunRecord } from "@laburnumtrack/standins/task_fleet_standin";

/**
 * Lists tasks that ran twice at once, or again after their end had been
 * acknowledged.
 */
export function findRunViolations(
  history: readonly RunRecord[],
  acknowledged: ReadonlySet<RunRecord>,
): string[] {
  return [...groupByTask(history).values()].flatMap((records) =>
    findTaskViolations(records, acknowledged),
  );
}

/** Lists long-running tasks that had no run for longer than `limitMs`. */
export function findLongGaps(
  history: readonly RunRecord[],
  nowMs: number,
  limitMs: number,
): string[] {
  const gaps: string[] = [];
  for (const [task, records] of groupByTask(history)) {
    for (const [index, { endMs }] of records.entries()) {
      if (endMs === undefined) continue;
      const nextMs = records[index + 1]?.startMs ?? nowMs;
      const gapMs = Math.round(nextMs - endMs);
      if (gapMs > limitMs) gaps.push(`${task} had no run for ${gapMs} ms`);
    }
  }
  return gaps;
}

function groupByTask(history: readonly RunRecord[]): Map<string, RunRecord[]> {
  const byTask = new Map<string, RunRecord[]>();
  for (const record of history) {
    const records = byTask.get(record.task);
    if (records === undefined) byTask.set(record.task, [record]);
    else records.push(record);
  }
  return byTask;
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
