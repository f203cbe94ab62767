import assert from "node:assert/strict";
import { test } from "node:test";
import type { Job, Step } from "./job";
import { JobBoard, type StopRequest } from "./job_board";
import { createJobRecord, stateOf } from "./job_record";
import { JobPhase } from "./job_state";
import type { Queue } from "./queue_config";
import type { JobRecord, Task } from "./task";
import {
  type EndedRun,
  RunEnd,
  type RunningRun,
  type WorkerReport,
} from "./task_worker";
import { createStep, createWorkerInfo } from "./test_samples";

const QUEUE: Queue = {
  name: "q",
  host: "h",
  pathPrefix: "/q/",
  pool: "pool",
  priority: 0,
  attemptLimit: 2,
  stretch: 2,
  targetMs: 1000,
  advice: undefined,
};
const COMPLETE_MS = 3000;

interface Stage {
  readonly board: JobBoard;
  readonly stops: StopRequest[];
  readonly add: (steps: Partial<Step>[], id?: string) => JobRecord;
  readonly start: (record: JobRecord, step?: number, index?: number) => void;
  readonly report: (
    change: Partial<WorkerReport>,
    times?: { sentMs?: number; nowMs?: number },
  ) => void;
}

const CASES: readonly {
  readonly name: string;
  readonly act: (stage: Stage) => void;
}[] = [
  {
    name: "an end is taken in once, however often it is reported",
    act: ({ add, start, report }) => {
      const record = add([{ count: 2 }]);
      start(record);
      report({ ended: [ended(1, RunEnd.Failed)] });
      report({ ended: [ended(1, RunEnd.Failed)] });
      assert.equal(taskOf(record).failedRuns.size, 1);
      assert.equal(record.phase, JobPhase.Running);
    },
  },
  {
    name: "a failure that a former leader stored does not count twice",
    act: ({ board, add, start, report }) => {
      const first = add([{}]);
      start(first);
      report({ ended: [ended(1, RunEnd.Failed)] });
      const state = stateOf(first);
      board.dropJob(first.job.id);
      const again = board.addJob(first.job, 1, { queue: QUEUE, state });
      board.onLost(workerOf(board));
      report({ ended: [ended(1, RunEnd.Failed)] });
      assert.equal(again.phase, JobPhase.Running);
    },
  },
  {
    name: "a job fails when a task has failed as often as it may",
    act: ({ add, start, report }) => {
      const record = add([{}]);
      start(record);
      report({ ended: [ended(1, RunEnd.Failed, 1)] });
      report({ ended: [ended(2, RunEnd.Failed, 2)] });
      assert.equal(record.phase, JobPhase.Failed);
    },
  },
  {
    name: "the end of an unknown job waits for its job",
    act: ({ board, add, report }) => {
      report({ ended: [ended(1, RunEnd.Done)] }, { nowMs: 100 });
      assert.equal(workerOf(board).knownEnd, 0);
      const record = add([{}]);
      report({}, { nowMs: 200 });
      assert.equal(record.phase, JobPhase.Completed);
      assert.equal(workerOf(board).knownEnd, 1);
    },
  },
  {
    name: "ends after that of an unknown job are taken in at once",
    act: ({ add, report }) => {
      const record = add([{}]);
      const other = { ...ended(1, RunEnd.Done), task: nameIn("other") };
      report({ ended: [other, ended(2, RunEnd.Done)] }, { nowMs: 100 });
      assert.equal(record.phase, JobPhase.Completed);
    },
  },
  {
    name: "later the end of an unknown job may be forgotten",
    act: ({ board, report }) => {
      report({ ended: [ended(1, RunEnd.Done)] }, { nowMs: COMPLETE_MS });
      assert.equal(workerOf(board).knownEnd, 1);
    },
  },
  {
    name: "another life of the worker runs nothing of the former",
    act: ({ add, start, report }) => {
      const record = add([{}]);
      report({});
      start(record);
      report({ bornMs: 2 });
      assert.equal(taskOf(record).attempts.length, 0);
    },
  },
  {
    name: "a start on its way when another life answers may run there",
    act: ({ board, add, report }) => {
      const record = add([{}]);
      report({}, { sentMs: 0 });
      board.onSent(taskOf(record), 1, workerOf(board), 15);
      report({ bornMs: 2 }, { sentMs: 18 });
      assert.equal(taskOf(record).attempts.length, 1);
      report({ bornMs: 2, running: [running(1)] }, { sentMs: 40 });
      assert.equal(taskOf(record).attempts.length, 1);
    },
  },
  {
    name: "a run that is reported is adopted",
    act: ({ board, add, report }) => {
      const record = add([{}]);
      report({ running: [running(7)] });
      assert.equal(taskOf(record).attempts.length, 1);
      assert.equal(taskOf(record).lastRun, 7);
      assert.equal(workerOf(board).cpuMilli, 1000);
      assert.equal(record.phase, JobPhase.Running);
    },
  },
  {
    name: "a run of a job that is over is stopped",
    act: ({ board, add, report, stops }) => {
      const record = add([{}]);
      board.cancelJob(record.job.id, 0);
      report({ running: [running(1)] });
      assert.equal(stops.length, 1);
    },
  },
  {
    name: "a run that is not listed is stopped before its task starts again",
    act: ({ add, start, report, stops }) => {
      const record = add([{}]);
      start(record);
      report({}, { sentMs: 5000 });
      report({}, { sentMs: 5100 });
      assert.equal(stops.length, 1);
      const [attempt] = taskOf(record).attempts;
      assert.ok(attempt);
      attempt.stoppedMs = 5200;
      report({}, { sentMs: 5150 });
      assert.equal(taskOf(record).attempts.length, 1);
      report({}, { sentMs: 5300 });
      assert.equal(taskOf(record).attempts.length, 0);
    },
  },
  {
    name: "the other copies of a task that is done are stopped",
    act: ({ add, start, report, stops }) => {
      const record = add([{ count: 2, isGang: true }]);
      start(record, 0, 0);
      start(record, 0, 1);
      report({ ended: [ended(1, RunEnd.Done)], running: [] });
      assert.equal(record.phase, JobPhase.Completed);
      const stopped = new Set(stops.map(({ task }) => task.index));
      assert.deepEqual([...stopped], [1]);
    },
  },
  {
    name: "a task that lasts is never done",
    act: ({ add, start, report }) => {
      const record = add([{ isLongRunning: true }]);
      start(record);
      report({ ended: [ended(1, RunEnd.Done)] });
      assert.equal(record.phase, JobPhase.Running);
      assert.equal(taskOf(record).attempts.length, 0);
    },
  },
];

for (const { name, act } of CASES) {
  test(`job board: ${name}`, () => act(createStage()));
}

test("job board: progress is the same after it was stored and read", () => {
  const job = createJob("a", [{ count: 3 }, { after: [0] }]);
  const options = { revision: 1, queue: QUEUE, runFloor: 0 };
  const record = createJobRecord(job, { ...options, state: undefined });
  const [task, other] = record.occurrences[0]?.[0]?.tasks ?? [];
  assert.ok(task && other && record.occurrences[0]?.[0]);
  task.isDone = true;
  record.occurrences[0][0].doneCount = 1;
  other.failedRuns.add(4);
  const state = JSON.parse(JSON.stringify(stateOf(record)));
  const again = createJobRecord(job, { ...options, state });
  assert.deepEqual(stateOf(again), stateOf(record));
  assert.equal(again.occurrences[0]?.[0]?.doneCount, 1);
});

function createStage(): Stage {
  const stops: StopRequest[] = [];
  const board = new JobBoard(
    {
      onChanged: () => {},
      onStop: (stop) => stops.push(stop),
      onEnd: () => {},
    },
    { runFloor: 0, completeMs: COMPLETE_MS },
  );
  const worker = board.addWorker(createWorkerInfo("w"));
  return {
    board,
    stops,
    add: (steps, id = "a") =>
      board.addJob(createJob(id, steps), 1, { queue: QUEUE }),
    start: (record, step = 0, index = 0) => {
      const task = record.occurrences[0]?.[step]?.tasks[index];
      assert.ok(task);
      board.onStarted(board.onSent(task, task.lastRun + 1, worker, 0), 0);
    },
    report: (change, { sentMs = 10, nowMs = 20 } = {}) => {
      const report: WorkerReport = {
        clockMs: 0,
        bornMs: 1,
        running: [],
        ended: [],
        hasMore: false,
        ...change,
      };
      board.onReport(worker, report, { sentMs, nowMs, wallMs: nowMs });
    },
  };
}

function createJob(id: string, steps: Partial<Step>[]): Job {
  return {
    id,
    queue: "q",
    spec: "",
    steps: steps.map(createStep),
    repeat: undefined,
    submittedMs: 0,
  };
}

function nameIn(jobId: string) {
  return { jobId, occurrence: 0, step: 0, index: 0 };
}

function ended(number: number, end: RunEnd, run = 1): EndedRun {
  return { number, task: nameIn("a"), run, end, checkpoint: "" };
}

function running(run: number): RunningRun {
  return { task: nameIn("a"), run, checkpoint: "", percent: 1, figure: 0 };
}

function taskOf(record: JobRecord): Task {
  const task = record.occurrences[0]?.[0]?.tasks[0];
  assert.ok(task);
  return task;
}

function workerOf(board: JobBoard) {
  const worker = board.workers.get("w");
  assert.ok(worker);
  return worker;
}
