import {
  chunkKeyOf,
  parseTaskName,
  type Task,
  type TaskRow,
  TaskState,
  WorkerPhase,
  type WorkerRow,
  workerKey,
} from "@laburnumtrack/core/rows";
import type { RunReport } from "@laburnumtrack/core/worker";
import type { Draft, Edit } from "./row_editor";

/** The edit that publishes the addresses of started replicas to gateways. */
export function createEndpointEdit(
  started: readonly RunReport[],
  failureDomain: string,
): Edit {
  const keys = new Set(started.map(({ task }) => chunkKeyOf(task)));
  return {
    keys: [...keys],
    apply: (draft) => {
      let isChanged = false;
      for (const report of started) {
        if (setEndpoint(draft, report, failureDomain)) isChanged = true;
      }
      return isChanged;
    },
  };
}

/**
 * The edit that ends the runs of a worker on which all of them have certainly
 * stopped, and marks the worker as lost or records its new instance.
 */
export function createWorkerResetEdit(
  worker: string,
  runEndEdit: Edit,
  options: {
    /** Applies only to this generation: a later keeper may start runs. */
    readonly generation: number;
    /** Instance that answers now; empty when the worker is lost. */
    readonly instance: string;
  },
): Edit {
  const key = workerKey(worker);
  const { generation, instance } = options;
  return {
    keys: [...new Set([key, ...runEndEdit.keys])],
    apply: (draft) => {
      if (draft.read<WorkerRow>(key)?.generation !== generation) return false;
      runEndEdit.apply(draft);
      const row = draft.read<WorkerRow>(key);
      if (row === undefined) return false;
      const phase = instance === "" ? WorkerPhase.Lost : row.phase;
      draft.write(key, { ...row, phase, instance, former: [] });
      return true;
    },
  };
}

/** The edit that lets tasks be placed on a worker that answers its keeper. */
export function createLiveEdit(
  worker: string,
  options: { readonly keeper: string; readonly instance: string },
): Edit {
  const key = workerKey(worker);
  const { keeper, instance } = options;
  return {
    keys: [key],
    apply: (draft) => {
      const row = draft.read<WorkerRow>(key);
      if (row === undefined || row.keeper !== keeper) return false;
      const wasLost = row.phase === WorkerPhase.Lost;
      const phase = wasLost ? WorkerPhase.Live : row.phase;
      draft.write(key, { ...row, phase, instance, former: [] });
      return true;
    },
  };
}

function setEndpoint(
  draft: Draft,
  report: RunReport,
  failureDomain: string,
): boolean {
  const key = chunkKeyOf(report.task);
  const chunk = draft.read<TaskRow>(key);
  if (chunk === undefined) return false;
  const { index } = parseTaskName(report.task);
  let isChanged = false;
  const tasks = chunk.tasks.map((task): Task => {
    const isThisRun =
      task.index === index &&
      task.epoch === report.epoch &&
      task.state === TaskState.Placed;
    if (!isThisRun) return task;
    isChanged = true;
    return { ...task, endpoint: { address: report.endpoint, failureDomain } };
  });
  if (isChanged) draft.write(key, { ...chunk, tasks });
  return isChanged;
}
