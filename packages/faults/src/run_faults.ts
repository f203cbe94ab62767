import type { RunRecord } from "@laburnumtrack/standins/task_fleet_standin";

/** What broke a promise: two runs at a time, or a run after the last. */
export function findRunFaults(
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
    findTaskFaults(records, acknowledged),
  );
}

function findTaskFaults(
  records: readonly RunRecord[],
  acknowledged: ReadonlySet<RunRecord>,
): string[] {
  const faults: string[] = [];
  for (const [place, record] of records.entries()) {
    for (const later of records.slice(place + 1)) {
      const { task } = record;
      const endMs = record.endMs ?? Number.POSITIVE_INFINITY;
      if (later.startMs < endMs) faults.push(`${task} ran twice at a time`);
      if (acknowledged.has(record))
        faults.push(`${task} ran again after it was done`);
    }
  }
  return faults;
}
