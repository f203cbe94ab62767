import assert from "node:assert/strict";
import { test } from "node:test";
import {
  chunkKey,
  createTask,
  type Task,
  type TaskRow,
  TaskState,
  WorkerPhase,
  type WorkerRow,
  workerKey,
} from "@laburnumtrack/core/rows";
import { VmPhase } from "@laburnumtrack/core/vm_list";
import { Action, type Assignment, RunState } from "@laburnumtrack/core/worker";
import { Urgency, WorkloadKind } from "@laburnumtrack/core/workload";
import { createActionEdit, createPlacementEdits } from "./placement_edits";
import { Draft, type Edit } from "./row_editor";
import { createLateReportEdit, createRunEndEdit } from "./run_end";

const SIZE = { cpuMilli: 6000, memoryMb: 100, accelerators: 0 };
const CAPACITY = { cpuMilli: 16_000, memoryMb: 60_000, accelerators: 0 };
const WORKER = workerKey("v");
const CHUNK = chunkKey("a", 0);

function assign(task: string, change: Partial<Assignment> = {}): Assignment {
  return {
    task,
    epoch: 1,
    kind: WorkloadKind.Job,
    work: "",
    resources: SIZE,
    action: Action.Run,
    checkpoint: "",
    slots: 0,
    connections: 0,
    cause: "",
    ...change,
  };
}

function createRows(
  assignments: readonly Assignment[],
  task: Partial<Task>,
  worker: Partial<WorkerRow> = {},
): Map<string, string> {
  const row: WorkerRow = {
    vm: {
      id: "v",
      instance: "i",
      address: "v",
      rack: "r",
      failureDomain: "d",
      capacity: CAPACITY,
      phase: VmPhase.Live,
    },
    instance: "i",
    phase: WorkerPhase.Live,
    keeper: "k",
    generation: 1,
    former: [],
    assignments,
    ...worker,
  };
  const tasks = [{ ...createTask(0), ...task }];
  const chunk: TaskRow = { workload: "a", since: 1, chunk: 0, tasks };
  return new Map([
    [WORKER, JSON.stringify(row)],
    [CHUNK, JSON.stringify(chunk)],
  ]);
}

function applyEdit(edit: Edit | undefined, rows: Map<string, string>) {
  assert.ok(edit !== undefined);
  const draft = new Draft(rows);
  const isApplied = edit.apply(draft);
  const worker = draft.read<WorkerRow>(WORKER);
  const [task] = draft.read<TaskRow>(CHUNK)?.tasks ?? [];
  return { isApplied, assignments: worker?.assignments ?? [], task };
}

const JOB = {
  kind: WorkloadKind.Job as const,
  name: "a",
  team: "t",
  work: "",
  resources: SIZE,
  tasks: 1,
  declaredRunS: 1,
  urgency: Urgency.Normal,
  retries: 1,
  startAfterMs: 0,
  finishByMs: 0,
};

const PLACEMENT_CASES: readonly {
  readonly name: string;
  readonly held: readonly Assignment[];
  readonly task?: Partial<Task>;
  readonly worker?: Partial<WorkerRow>;
  readonly isApplied: boolean;
}[] = [
  {
    name: "the worker has enough free resources",
    held: [assign("b/0")],
    isApplied: true,
  },
  {
    name: "another task was placed on the worker since planning",
    held: [assign("b/0"), assign("b/1")],
    isApplied: false,
  },
  {
    name: "the task was placed by another scheduler",
    held: [],
    task: { state: TaskState.Placed, epoch: 1, worker: "w" },
    isApplied: false,
  },
  {
    name: "the task has run since planning and waits again",
    held: [],
    task: { epoch: 3 },
    isApplied: false,
  },
  {
    name: "the worker was lost",
    held: [],
    worker: { phase: WorkerPhase.Lost },
    isApplied: false,
  },
  {
    name: "the worker is leaving",
    held: [],
    worker: { phase: WorkerPhase.Leaving },
    isApplied: false,
  },
];

for (const { name, held, task, worker, isApplied } of PLACEMENT_CASES) {
  test(`placement edit: ${name}`, () => {
    const rows = createRows(held, task ?? {}, worker);
    const planned = { chunk: CHUNK, task: createTask(0) };
    const [edit] = createPlacementEdits(
      [
        {
          ...planned,
          chunk: {
            key: CHUNK,
            revision: 1,
            hasWaiting: true,
            row: { workload: "a", since: 1, chunk: 0, tasks: [planned.task] },
          },
          workload: JOB,
          resources: SIZE,
          worker: "v",
        },
      ],
      0,
    );
    const result = applyEdit(edit, rows);
    assert.equal(result.isApplied, isApplied);
    assert.equal(result.assignments.length, held.length + Number(isApplied));
    if (isApplied) assert.equal(result.task?.epoch, 1);
  });
}

const PLACED = { state: TaskState.Placed, epoch: 1, worker: "v" };

const RUN_END_CASES: readonly {
  readonly name: string;
  readonly held: Assignment;
  readonly state: RunState.Done | RunState.Failed | RunState.Stopped;
  readonly task?: Partial<Task>;
  readonly ended: Partial<Task>;
}[] = [
  {
    name: "done",
    held: assign("a/0"),
    state: RunState.Done,
    ended: { state: TaskState.Done, worker: "" },
  },
  {
    name: "evicted: resumes from its checkpoint",
    held: assign("a/0", { action: Action.Evict, cause: "s" }),
    state: RunState.Stopped,
    ended: { state: TaskState.Waiting, checkpoint: "c", evictions: 1 },
  },
  {
    name: "done before the eviction reached it",
    held: assign("a/0", { action: Action.Evict, cause: "s" }),
    state: RunState.Done,
    ended: { state: TaskState.Done, evictions: 0 },
  },
  {
    name: "cancelled",
    held: assign("a/0", { action: Action.Stop }),
    state: RunState.Stopped,
    ended: { state: TaskState.Cancelled },
  },
  {
    name: "failed: waits for its backoff and records the worker",
    held: assign("a/0"),
    state: RunState.Failed,
    ended: { state: TaskState.Waiting, failures: 1, failedOn: ["v"] },
  },
  {
    name: "lost",
    held: assign("a/0"),
    state: RunState.Stopped,
    ended: { state: TaskState.Waiting, failures: 0, evictions: 0 },
  },
];

for (const { name, held, state, task, ended } of RUN_END_CASES) {
  test(`run end: ${name}`, () => {
    const rows = createRows([held], { ...PLACED, ...task });
    const end = { assignment: held, state, checkpoint: "c", graceMs: 0 };
    const edit = createRunEndEdit("v", [end], 1000);
    const result = applyEdit(edit, rows);
    assert.ok(result.isApplied);
    assert.deepEqual(result.assignments, []);
    for (const [key, value] of Object.entries(ended)) {
      assert.deepEqual(result.task?.[key as keyof Task], value, key);
    }
  });
}

test("run end: the end of a run of an older epoch changes nothing", () => {
  const held = assign("a/0", { epoch: 2 });
  const rows = createRows([held], { ...PLACED, epoch: 2 });
  const old = assign("a/0", { epoch: 1 });
  const state = RunState.Stopped as const;
  const end = { assignment: old, state, checkpoint: "late", graceMs: 0 };
  const result = applyEdit(createRunEndEdit("v", [end], 0), rows);
  assert.equal(result.isApplied, false);
  assert.equal(result.task?.checkpoint, "");
});

const LATE_REPORT_CASES: readonly {
  readonly name: string;
  readonly task: Partial<Task>;
  readonly isApplied: boolean;
}[] = [
  { name: "the task still waits", task: { epoch: 1 }, isApplied: true },
  {
    name: "the task was placed again",
    task: { ...PLACED, epoch: 2 },
    isApplied: false,
  },
  {
    name: "the task has run again and waits",
    task: { epoch: 2 },
    isApplied: false,
  },
  {
    name: "the task was cancelled",
    task: { epoch: 1, state: TaskState.Cancelled },
    isApplied: false,
  },
];

for (const { name, task, isApplied } of LATE_REPORT_CASES) {
  test(`late report of a run that was done: ${name}`, () => {
    const report = {
      task: "a/0",
      epoch: 1,
      state: RunState.Done,
      endpoint: "",
      checkpoint: "",
      cpuMilli: 0,
      memoryMb: 0,
      latencyMs: 0,
    };
    const edit = createLateReportEdit([report], 0);
    const result = applyEdit(edit, createRows([], task));
    assert.equal(result.isApplied, isApplied);
    assert.equal(result.task?.state === TaskState.Done, isApplied);
  });
}

test("action: Stop is not replaced by Throttle", () => {
  const held = assign("a/0", { action: Action.Stop });
  const change = { task: "a/0", action: Action.Throttle, cause: "s" };
  const edit = createActionEdit("v", change);
  const result = applyEdit(edit, createRows([held], PLACED));
  assert.equal(result.isApplied, false);
  assert.equal(result.assignments[0]?.action, Action.Stop);
});
