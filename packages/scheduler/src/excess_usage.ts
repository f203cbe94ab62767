import { parseTaskName, type WorkerRow } from "@laburnumtrack/core/rows";
import type { RunReport } from "@laburnumtrack/core/worker";
import type { ExcessUsage } from "./worker_update";

/** Lists the runs that use more processor or memory than they reserved. */
export function listExcessUsages(
  { assignments }: WorkerRow,
  runs: readonly RunReport[],
): ExcessUsage[] {
  const excess: ExcessUsage[] = [];
  for (const { task, epoch, cpuMilli, memoryMb } of runs) {
    const assignment = assignments.find(
      (other) => other.task === task && other.epoch === epoch,
    );
    if (assignment === undefined) continue;
    const { resources } = assignment;
    const isOver =
      cpuMilli > resources.cpuMilli || memoryMb > resources.memoryMb;
    if (!isOver) continue;
    const { workload } = parseTaskName(task);
    excess.push({ workload, cpuMilli, memoryMb });
  }
  return excess;
}
