import {
  isWithin,
  subtractResources,
  sumResources,
} from "@laburnumtrack/core/resources";
import {
  chunkKeyOf,
  recordEvent,
  type Task,
  TaskEventKind,
  type TaskRow,
  TaskState,
  taskName,
  WorkerPhase,
  type WorkerRow,
  workerKey,
} from "@laburnumtrack/core/rows";
import { Action, type Assignment } from "@laburnumtrack/core/worker";
import { WorkloadKind } from "@laburnumtrack/core/workload";
import type { Eviction, Placement } from "@laburnumtrack/policy/placement_plan";
import type { Draft, Edit } from "./row_editor";

/** Edits that assign tasks to workers, one for each placement. */
export function createPlacementEdits(
  placements: readonly Placement[],
  wallMs: number,
): Edit[] {
  return placements.map((placement) => {
    const name = taskName(placement.workload.name, placement.task.index);
    return {
      keys: [workerKey(placement.worker), chunkKeyOf(name)],
      apply: (draft) => placeTask(draft, placement, wallMs),
    };
  });
}

/** Edits that order workers to checkpoint and stop running tasks. */
export function createEvictionEdits(evictions: readonly Eviction[]): Edit[] {
  return evictions.map(({ assignment, worker, cause }) => {
    const { task } = assignment;
    return createActionEdit(worker, { task, action: Action.Evict, cause });
  });
}

/** The edit that changes the action of one assignment. */
export function createActionEdit(
  worker: string,
  change: { task: string; action: Action; cause: string },
): Edit {
  const key = workerKey(worker);
  return {
    keys: [key],
    apply: (draft) => setAction(draft, key, change),
  };
}

/**
 * Sets the action of an assignment in a draft. `Evict` and `Stop` are not
 * replaced by weaker actions. Returns whether the draft has changed.
 */
export function setAction(
  draft: Draft,
  key: string,
  change: { task: string; action: Action; cause: string },
): boolean {
  const row = draft.read<WorkerRow>(key);
  if (row === undefined) return false;
  let isChanged = false;
  const assignments = row.assignments.map((assignment) => {
    if (assignment.task !== change.task) return assignment;
    if (rankOf(assignment.action) > rankOf(change.action)) return assignment;
    if (assignment.action === change.action) return assignment;
    isChanged = true;
    return { ...assignment, action: change.action, cause: change.cause };
  });
  if (isChanged) draft.write(key, { ...row, assignments });
  return isChanged;
}

/** Assigns a task if task and worker are still as the plan assumed them. */
function placeTask(
  draft: Draft,
  placement: Placement,
  wallMs: number,
): boolean {
  const { workload, task, resources } = placement;
  const key = workerKey(placement.worker);
  const row = draft.read<WorkerRow>(key);
  if (row === undefined || row.phase !== WorkerPhase.Live) return false;
  const used = sumResources(row.assignments);
  // This check alone guarantees that no VM is overcommitted.
  if (!isWithin(resources, subtractResources(row.vm.capacity, used))) {
    return false;
  }
  const name = taskName(workload.name, task.index);
  const chunkKey = chunkKeyOf(name);
  const chunk = draft.read<TaskRow>(chunkKey);
  const current = chunk?.tasks.find(({ index }) => index === task.index);
  if (chunk === undefined || current?.state !== TaskState.Waiting) return false;
  if (current.epoch !== task.epoch) return false;
  const placed = recordEvent(
    {
      ...current,
      state: TaskState.Placed,
      epoch: current.epoch + 1,
      worker: placement.worker,
    },
    {
      kind: TaskEventKind.Placed,
      atMs: wallMs,
      worker: placement.worker,
      cause: "",
    },
  );
  draft.write(chunkKey, { ...chunk, tasks: replaceTask(chunk, placed) });
  const assignment = createAssignment(placement, placed);
  draft.write(key, {
    ...row,
    assignments: [...row.assignments, assignment],
  });
  return true;
}

function createAssignment(
  { workload, resources }: Placement,
  task: Task,
): Assignment {
  const isService = workload.kind === WorkloadKind.Service;
  return {
    task: taskName(workload.name, task.index),
    epoch: task.epoch,
    kind: workload.kind,
    work: workload.work,
    resources,
    action: Action.Run,
    checkpoint: task.checkpoint,
    slots: isService ? workload.slots : 0,
    connections: isService ? workload.connections : 0,
    cause: "",
  };
}

/** Returns the chunk's tasks with `task` in the place of its predecessor. */
export function replaceTask(chunk: TaskRow, task: Task): Task[] {
  return chunk.tasks.map((other) =>
    other.index === task.index ? task : other,
  );
}

function rankOf(action: Action): number {
  const ranks = [Action.Run, Action.Throttle, Action.Evict, Action.Stop];
  // Run and Throttle rank equal and may replace each other; Evict may only be
  // replaced by Stop.
  return Math.max(1, ranks.indexOf(action));
}
