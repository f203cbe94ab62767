import {
  chunkKeyOf,
  createTask,
  type FinishedRow,
  KeyPrefix,
  parseTaskName,
  recordEvent,
  type Task,
  TaskEventKind,
  type TaskRow,
  TaskState,
  taskName,
  workerKey,
} from "@laburnumtrack/core/rows";
import { Action, type Assignment } from "@laburnumtrack/core/worker";
import { WorkloadKind } from "@laburnumtrack/core/workload";
import type { ChunkView } from "@laburnumtrack/policy/cluster_view";
import { replaceTask, setAction } from "./placement_edits";
import type { Draft, Edit } from "./row_editor";

/** The edit that creates the missing tasks of one chunk of a workload. */
export function createChunkEdit(
  key: string,
  options: {
    readonly name: string;
    readonly chunk: number;
    readonly firstIndex: number;
    readonly taskCount: number;
    readonly kind: WorkloadKind;
    readonly version: number;
  },
): Edit {
  const { name, chunk, firstIndex, taskCount, kind, version } = options;
  const finishedKey = KeyPrefix.Finished + name;
  return {
    keys: [key, finishedKey],
    apply: (draft) => {
      // A finished job is not run again.
      if (draft.read<FinishedRow>(finishedKey) !== undefined) return false;
      const known = draft.read<TaskRow>(key);
      const tasks: Task[] = [...(known?.tasks ?? [])];
      for (let offset = 0; offset < taskCount; offset += 1) {
        const task = tasks[offset];
        if (task === undefined) tasks.push(createTask(firstIndex + offset));
        else if (
          kind === WorkloadKind.Service &&
          task.state === TaskState.Cancelled
        ) {
          // The epoch keeps growing: workers have seen the earlier ones.
          tasks[offset] = { ...createTask(task.index), epoch: task.epoch };
        }
      }
      const row: TaskRow = {
        workload: name,
        since: known?.since ?? version,
        chunk,
        tasks,
      };
      draft.write(key, row);
      return true;
    },
  };
}

/**
 * Cancels a task in a draft and returns the new task. A running task is ordered
 * to stop and becomes cancelled when its run has ended.
 */
export function cancelTask(
  draft: Draft,
  workload: string,
  { task, atMs }: { readonly task: Task; readonly atMs: number },
): Task {
  if (task.state === TaskState.Waiting) {
    return recordEvent(
      { ...task, state: TaskState.Cancelled },
      { kind: TaskEventKind.Cancelled, atMs, worker: "", cause: "" },
    );
  }
  if (task.state !== TaskState.Placed) return task;
  const name = taskName(workload, task.index);
  const change = { task: name, action: Action.Stop, cause: "" };
  const isOrdered = setAction(draft, workerKey(task.worker), change);
  return isOrdered || !task.isLeaving ? { ...task, isLeaving: true } : task;
}

/** The edit that marks a replica so that gateways send it no new requests. */
export function createLeavingEdit(assignment: Assignment): Edit {
  const key = chunkKeyOf(assignment.task);
  const { index } = parseTaskName(assignment.task);
  return {
    keys: [key],
    apply: (draft) => {
      const chunk = draft.read<TaskRow>(key);
      const task = chunk?.tasks.find((other) => other.index === index);
      if (chunk === undefined || task?.epoch !== assignment.epoch) return false;
      if (task.isLeaving) return false;
      const marked = { ...task, isLeaving: true };
      draft.write(key, { ...chunk, tasks: replaceTask(chunk, marked) });
      return true;
    },
  };
}

/** The edit that deletes a chunk if all of its tasks have ended for good. */
export function createChunkRemovalEdit({ key }: ChunkView): Edit {
  return {
    keys: [key],
    apply: (draft) => {
      const row = draft.read<TaskRow>(key);
      if (row === undefined || !row.tasks.every(isTerminal)) return false;
      draft.remove(key);
      return true;
    },
  };
}

/** The edit that marks waiting tasks without retries left as failed. */
export function createFailEdit(
  { key }: ChunkView,
  exhausted: readonly Task[],
): Edit {
  const epochs = new Map(exhausted.map(({ index, epoch }) => [index, epoch]));
  return {
    keys: [key],
    apply: (draft) => {
      const row = draft.read<TaskRow>(key);
      if (row === undefined) return false;
      const tasks = row.tasks.map((task) =>
        task.state === TaskState.Waiting &&
        epochs.get(task.index) === task.epoch
          ? { ...task, state: TaskState.Failed }
          : task,
      );
      draft.write(key, { ...row, tasks });
      return true;
    },
  };
}

/** The edit that replaces the tasks of a completed job by a finished row. */
export function createFinishEdit(
  workload: string,
  chunks: readonly ChunkView[],
  endedAtMs: number,
): Edit {
  const finishedKey = KeyPrefix.Finished + workload;
  const keys = chunks.map(({ key }) => key);
  return {
    keys: [finishedKey, ...keys],
    apply: (draft) => {
      const tasks = keys.flatMap(
        (key) => draft.read<TaskRow>(key)?.tasks ?? [],
      );
      if (tasks.length === 0 || !tasks.every(isTerminal)) return false;
      const count = (state: TaskState) =>
        tasks.filter((task) => task.state === state).length;
      const row: FinishedRow = {
        workload,
        done: count(TaskState.Done),
        failed: count(TaskState.Failed),
        cancelled: count(TaskState.Cancelled),
        endedAtMs,
      };
      draft.write(finishedKey, row);
      for (const key of keys) draft.remove(key);
      return true;
    },
  };
}

/** Whether a task has ended and will not run again. */
export function isTerminal({ state }: Task): boolean {
  return (
    state === TaskState.Done ||
    state === TaskState.Failed ||
    state === TaskState.Cancelled
  );
}
