import {
  chunkKeyOf,
  parseTaskName,
  recordEvent,
  type Task,
  TaskEventKind,
  type TaskRow,
  TaskState,
  type WorkerRow,
  workerKey,
} from "@laburnumtrack/core/rows";
import {
  Action,
  type Assignment,
  type RunReport,
  RunState,
} from "@laburnumtrack/core/worker";
import { WorkloadKind } from "@laburnumtrack/core/workload";
import { replaceTask } from "./placement_edits";
import type { Draft, Edit } from "./row_editor";

/** The end of one run of a task. */
export interface RunEnd {
  readonly assignment: Assignment;
  readonly state: RunState.Done | RunState.Failed | RunState.Stopped;
  /** Last complete checkpoint that is known; empty when there is none. */
  readonly checkpoint: string;
  /**
   * How long a batch task waits before it is placed again, in ms: its worker
   * may come back and report that the run was done.
   */
  readonly graceMs: number;
}

const INITIAL_BACKOFF_MS = 1000;
const MAX_BACKOFF_MS = 60_000;
// A task records the workers of this many of its last failed runs.
const FAILED_ON_LIMIT = 16;

/**
 * The edit that ends runs on a worker. One transaction removes the assignments,
 * records the checkpoints and lets the tasks be placed again.
 */
export function createRunEndEdit(
  worker: string,
  ends: readonly RunEnd[],
  wallMs: number,
): Edit {
  const chunks = new Set(
    ends.map(({ assignment }) => chunkKeyOf(assignment.task)),
  );
  const key = workerKey(worker);
  return {
    keys: [key, ...chunks],
    apply: (draft) => {
      let isApplied = false;
      for (const end of ends) {
        if (endRun(draft, worker, { end, wallMs })) isApplied = true;
      }
      return isApplied;
    },
  };
}

/**
 * The edit that applies reports of runs that were ended as lost while their
 * worker was out of reach. Reports of tasks that were placed again have no
 * effect.
 */
export function createLateReportEdit(
  reports: readonly RunReport[],
  wallMs: number,
): Edit {
  const keys = new Set(reports.map(({ task }) => chunkKeyOf(task)));
  return {
    keys: [...keys],
    apply: (draft) => {
      let isApplied = false;
      for (const report of reports) {
        if (applyLateReport(draft, report, wallMs)) isApplied = true;
      }
      return isApplied;
    },
  };
}

function applyLateReport(
  draft: Draft,
  report: RunReport,
  wallMs: number,
): boolean {
  const key = chunkKeyOf(report.task);
  const chunk = draft.read<TaskRow>(key);
  const { index } = parseTaskName(report.task);
  const task = chunk?.tasks.find((other) => other.index === index);
  if (chunk === undefined || task === undefined) return false;
  if (!isLateReport(task, report)) return false;
  const { checkpoint } = report;
  const resumable: Task = {
    ...task,
    checkpoint: checkpoint === "" ? task.checkpoint : checkpoint,
    notBeforeMs: 0,
  };
  const done = {
    kind: TaskEventKind.Done,
    atMs: wallMs,
    worker: "",
    cause: "",
  };
  const next =
    report.state === RunState.Done
      ? recordEvent({ ...resumable, state: TaskState.Done }, done)
      : resumable;
  draft.write(key, { ...chunk, tasks: replaceTask(chunk, next) });
  return true;
}

/**
 * Whether a report changes a task that has waited since the reported run ended:
 * the run was done, or stopped with another checkpoint than is known.
 */
export function isLateReport(task: Task, report: RunReport): boolean {
  if (task.state !== TaskState.Waiting || task.epoch !== report.epoch) {
    return false;
  }
  if (report.state === RunState.Done) return true;
  const isNewer =
    report.checkpoint !== "" && report.checkpoint !== task.checkpoint;
  return report.state === RunState.Stopped && isNewer;
}

/** Ends one run in a draft; false when it had already ended. */
function endRun(
  draft: Draft,
  worker: string,
  { end, wallMs }: { readonly end: RunEnd; readonly wallMs: number },
): boolean {
  const { assignment } = end;
  const key = workerKey(worker);
  const row = draft.read<WorkerRow>(key);
  if (row === undefined) return false;
  const current = row.assignments.find((other) => isSameRun(other, assignment));
  if (current === undefined) return false;
  const assignments = row.assignments.filter((other) => other !== current);
  draft.write(key, { ...row, assignments });
  const chunkKey = chunkKeyOf(assignment.task);
  const chunk = draft.read<TaskRow>(chunkKey);
  if (chunk === undefined) return true;
  const { index } = parseTaskName(assignment.task);
  const tasks = chunk.tasks.map((task) => {
    const isThisRun =
      task.index === index &&
      task.epoch === assignment.epoch &&
      task.state === TaskState.Placed;
    // The action is taken from the current row: the task may have been
    // cancelled after the report.
    return isThisRun
      ? endTask(task, { ...end, assignment: current }, wallMs)
      : task;
  });
  draft.write(chunkKey, { ...chunk, tasks });
  return true;
}

function endTask(task: Task, end: RunEnd, wallMs: number): Task {
  const { assignment, state } = end;
  const ended: Task = {
    ...task,
    worker: "",
    endpoint: null,
    isLeaving: false,
    checkpoint: end.checkpoint === "" ? task.checkpoint : end.checkpoint,
  };
  const record = (kind: TaskEventKind, changed: Partial<Task>): Task =>
    recordEvent(
      { ...ended, ...changed },
      { kind, atMs: wallMs, worker: task.worker, cause: assignment.cause },
    );
  const isJob = assignment.kind === WorkloadKind.Job;
  if (state === RunState.Done && isJob) {
    return record(TaskEventKind.Done, { state: TaskState.Done });
  }
  if (assignment.action === Action.Stop) {
    return record(TaskEventKind.Cancelled, { state: TaskState.Cancelled });
  }
  if (state === RunState.Failed || state === RunState.Done) {
    const failures = task.failures + 1;
    const failedOn = [...task.failedOn, task.worker].slice(-FAILED_ON_LIMIT);
    const notBeforeMs = wallMs + backoffMs(failures);
    return record(TaskEventKind.Failed, {
      state: TaskState.Waiting,
      failures,
      failedOn,
      notBeforeMs,
    });
  }
  const isEvicted = assignment.action === Action.Evict;
  return record(isEvicted ? TaskEventKind.Evicted : TaskEventKind.Lost, {
    state: TaskState.Waiting,
    evictions: task.evictions + (isEvicted ? 1 : 0),
    notBeforeMs: isJob && end.graceMs > 0 ? wallMs + end.graceMs : 0,
  });
}

function backoffMs(failures: number): number {
  const exponential = INITIAL_BACKOFF_MS * 2 ** Math.min(10, failures - 1);
  return Math.min(MAX_BACKOFF_MS, exponential);
}

function isSameRun(a: Assignment, b: Assignment): boolean {
  return a.task === b.task && a.epoch === b.epoch;
}
