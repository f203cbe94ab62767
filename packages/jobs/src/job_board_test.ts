import assert from "node:assert/strict";
import { test } from "node:test";
import type { Job, Step } from "./job";
import { JobBoard, type StopRequest } from "./job_board";
import { createJobRecord, stateOf } from "./job_record";
import { JobPhase } from "./job_state";
import { listStalled } from "./stalled_runs";
import type { JobRecord, Task } from "./task";
import {
  type EndedRun,
  RunEnd,
  type RunningRun,
  type WorkerReport,
} from "./task_worker";
import { createQueue, createStep, createWorkerInfo } from "./test_samples";

const QUEUE = createQueue();
const COMPLETE_MS = 3000;
const NAME = { jobId: "a", occurrence: 0, step: 0, index: 0 };
const RUN = { run: 1, workedMs: 0, nowMs: 0 };
const TIMES = { bornMs: 1, nowMs: 0 };

interface Fixture {
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
  readonly act: (fixture: Fixture) => void;
}[] = [
  {
    name: "an inherited run that the worker does not list never started",
    act: ({ board, add, report }) => {
      const record = add([{}]);
      board.adoptRun(workerOf(board), NAME, RUN);
      assert.equal(taskOf(record).attempts.length, 1);
      report({});
      assert.equal(taskOf(record).attempts.length, 0);
    },
  },
  {
    name: "an inherited run that the worker lists goes on",
    act: ({ board, add, report, stops }) => {
      const record = add([{}]);
      board.adoptRun(workerOf(board), NAME, RUN);
      report({ running: [running(1)] });
      report({});
      assert.equal(taskOf(record).attempts.length, 1);
      assert.equal(stops.length, 0);
    },
  },
  {
    name: "an inherited run is kept while the worker has more ends to report",
    act: ({ board, add, report }) => {
      const record = add([{}]);
      board.adoptRun(workerOf(board), NAME, RUN);
      report({ hasMore: true });
      assert.equal(taskOf(record).attempts.length, 1);
    },
  },
  {
    name: "an inherited run of a finished job or an unknown task is left out",
    act: ({ board, add }) => {
      const record = add([{}]);
      board.adoptRun(workerOf(board), { ...NAME, index: 7 }, RUN);
      board.adoptRun(workerOf(board), { ...NAME, jobId: "b" }, RUN);
      board.cancelJob(record.job.id, 0);
      board.adoptRun(workerOf(board), NAME, RUN);
      assert.equal(workerOf(board).attempts.size, 0);
    },
  },
  {
    name: "an end that is reported twice counts once",
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
    name: "a failure that a former leader stored does not count again",
    act: ({ board, add, start, report }) => {
      const first = add([{}]);
      start(first);
      report({ ended: [ended(1, RunEnd.Failed)] });
      const state = stateOf(first);
      board.dropJob(first.job.id);
      const again = board.addJob(first.job, 1, {
        queue: QUEUE,
        state,
        nowMs: 0,
        wallMs: 0,
      });
      board.onLost(workerOf(board));
      report({ ended: [ended(1, RunEnd.Failed)] });
      assert.equal(again.phase, JobPhase.Running);
    },
  },
  {
    name: "a job fails when a task reaches its limit of failed runs",
    act: ({ add, start, report }) => {
      const record = add([{}]);
      start(record);
      report({ ended: [ended(1, RunEnd.Failed, 1)] });
      report({ ended: [ended(2, RunEnd.Failed, 2)] });
      assert.equal(record.phase, JobPhase.Failed);
    },
  },
  {
    name: "the end of a run of an unknown job is deferred until the job is known",
    act: ({ board, add, report }) => {
      report({ ended: [ended(1, RunEnd.Done)] }, { nowMs: 100 });
      assert.equal(workerOf(board).processedEndNumber, 0);
      const record = add([{}]);
      report({}, { nowMs: 200 });
      assert.equal(record.phase, JobPhase.Completed);
      assert.equal(workerOf(board).processedEndNumber, 1);
    },
  },
  {
    name: "the deferred end of a run applies as soon as its job is known",
    act: ({ add, report }) => {
      report({ ended: [ended(1, RunEnd.Done)] }, { nowMs: 100 });
      assert.equal(add([{}]).phase, JobPhase.Completed);
    },
  },
  {
    name: "a reported run of an unknown job is active as soon as its job is known",
    act: ({ add, report }) => {
      report({ running: [running(1)] }, { nowMs: 100 });
      const record = add([{}]);
      assert.equal(taskOf(record).attempts.length, 1);
      assert.equal(record.phase, JobPhase.Running);
    },
  },
  {
    name: "a run that is no longer reported does not occupy its task",
    act: ({ add, report }) => {
      report({ running: [running(1)] }, { nowMs: 100 });
      report({}, { nowMs: 200 });
      assert.equal(taskOf(add([{}])).attempts.length, 0);
    },
  },
  {
    name: "a run of an unknown job ends with the incarnation of its worker",
    act: ({ add, report }) => {
      report({ running: [running(1)] }, { nowMs: 100 });
      report({ bornMs: 2 }, { nowMs: 200 });
      assert.equal(taskOf(add([{}])).attempts.length, 0);
    },
  },
  {
    name: "a deferred end does not delay the ends after it",
    act: ({ add, report }) => {
      const record = add([{}]);
      const other = { ...ended(1, RunEnd.Done), task: taskNameIn("other") };
      report({ ended: [other, ended(2, RunEnd.Done)] }, { nowMs: 100 });
      assert.equal(record.phase, JobPhase.Completed);
    },
  },
  {
    name: "an end of an unknown job is dropped once all jobs are known",
    act: ({ board, report }) => {
      report({ ended: [ended(1, RunEnd.Done)] }, { nowMs: COMPLETE_MS });
      assert.equal(workerOf(board).processedEndNumber, 1);
    },
  },
  {
    name: "runs of a former incarnation of the worker are gone",
    act: ({ add, start, report }) => {
      const record = add([{}]);
      report({});
      start(record);
      report({ bornMs: 2 });
      assert.equal(taskOf(record).attempts.length, 0);
    },
  },
  {
    name: "an unconfirmed start may reach a new incarnation of the worker",
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
    name: "a reported run without an attempt gets one",
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
    name: "a run of a finished job is stopped",
    act: ({ board, add, report, stops }) => {
      const record = add([{}]);
      board.cancelJob(record.job.id, 0);
      report({ running: [running(1)] });
      assert.equal(stops.length, 1);
    },
  },
  {
    // Guards against tasks that run twice: a run of a former incarnation's start
    // beside the run that took its place went on until its end.
    name: "a run that begins beside a later one of its task is stopped",
    act: ({ board, add, report, stops }) => {
      const record = add([{}]);
      startElsewhere(board, record, 2);
      report({ running: [{ ...running(1), percent: 0 }] });
      assert.deepEqual(
        stops.map(({ worker, run }) => [worker.id, run]),
        [["w", 1]],
      );
    },
  },
  {
    name: "of two runs of a task, the one that has done more goes on",
    act: ({ board, add, report, stops }) => {
      const record = add([{}]);
      startElsewhere(board, record, 2);
      report({ running: [{ ...running(1), percent: 40 }] });
      report({ running: [{ ...running(1), percent: 41 }] });
      assert.deepEqual(new Set(stops.map(({ run }) => run)), new Set([2]));
    },
  },
  {
    name: "of two runs of a member of a gang, the later one goes on",
    act: ({ board, add, report, stops }) => {
      const record = add([{ isGang: true }]);
      startElsewhere(board, record, 2);
      report({ running: [{ ...running(1), percent: 40 }] });
      assert.deepEqual(new Set(stops.map(({ run }) => run)), new Set([1]));
    },
  },
  {
    name: "copies of a task are not stopped because of each other",
    act: ({ board, add, report, stops }) => {
      const record = add([{ isSpeculative: true }]);
      startElsewhere(board, record, 2);
      report({ running: [running(1)] });
      assert.equal(stops.length, 0);
    },
  },
  {
    // Guards against tasks that run twice: what the former incarnation answered
    // does not keep a new one from carrying out a start.
    name: "a stop that a former incarnation answered is repeated",
    act: ({ board, add, start, report, stops }) => {
      const record = add([{}]);
      report({});
      start(record);
      board.lateStarts.add("w", { task: NAME, run: 1 }, TIMES);
      const [attempt] = taskOf(record).attempts;
      assert.ok(attempt);
      board.stop(attempt, "test");
      board.onStopped(workerOf(board), NAME, 1, 30);
      report({ bornMs: 2 }, { sentMs: 40, nowMs: 50 });
      assert.equal(taskOf(record).attempts.length, 1);
      assert.equal(workerOf(board).hasLateStarts, true);
      assert.ok(stops.length > 1);
      board.onStopped(workerOf(board), NAME, 1, 60);
      report({ bornMs: 2 }, { sentMs: 70, nowMs: 80 });
      assert.equal(taskOf(record).attempts.length, 0);
      assert.equal(workerOf(board).hasLateStarts, false);
    },
  },
  {
    // Guards against tasks that run twice: a task started elsewhere before the new
    // incarnation of its worker refused a start that was still under way.
    name: "a task waits for a restarted worker that may still carry out its start",
    act: ({ board, add, start, report, stops }) => {
      const record = add([{}]);
      report({});
      start(record);
      board.lateStarts.add("w", { task: NAME, run: 1 }, TIMES);
      report({ bornMs: 2 }, { sentMs: 40, nowMs: 50 });
      assert.equal(taskOf(record).attempts.length, 1);
      assert.ok(stops.length > 0);
      board.onStopped(workerOf(board), NAME, 1, 60);
      report({ bornMs: 2 }, { sentMs: 70, nowMs: 80 });
      assert.equal(taskOf(record).attempts.length, 0);
    },
  },
  {
    name: "a run missing in reports is stopped before its task starts again",
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
    name: "a run is not taken for missing while its worker has more ends to report",
    act: ({ add, start, report, stops }) => {
      const record = add([{}]);
      start(record);
      for (const sentMs of [5000, 5100, 5200, 5300]) {
        report({ hasMore: true }, { sentMs, nowMs: sentMs });
      }
      assert.equal(stops.length, 0);
      assert.equal(taskOf(record).attempts.length, 1);
      report({ ended: [ended(1, RunEnd.Done)] }, { sentMs: 5400 });
      assert.equal(record.phase, JobPhase.Completed);
    },
  },
  {
    name: "a stopped run is kept while its worker has more ends to report",
    act: ({ board, add, start, report }) => {
      const record = add([{}]);
      report({});
      start(record);
      const [attempt] = taskOf(record).attempts;
      assert.ok(attempt);
      board.stop(attempt, "test");
      attempt.stoppedMs = 50;
      report({ hasMore: true }, { sentMs: 100 });
      assert.equal(taskOf(record).attempts.length, 1);
      report({}, { sentMs: 200 });
      assert.equal(taskOf(record).attempts.length, 0);
    },
  },
  {
    name: "a run that more ends may tell of does not count as stalled",
    act: ({ board, add, start, report }) => {
      const record = add([{}]);
      report({});
      start(record);
      report({ hasMore: true }, { sentMs: 5000, nowMs: 5000 });
      assert.deepEqual(listStalled(workerOf(board), 5000), []);
    },
  },
  {
    name: "a run of an unknown job may have ended while there are more ends",
    act: ({ board, add, report }) => {
      report({ running: [running(1)] }, { nowMs: 100 });
      report({ hasMore: true }, { nowMs: 200 });
      assert.equal(workerOf(board).unknownRuns.length, 1);
      assert.equal(taskOf(add([{}])).attempts.length, 1);
      report({ ended: [ended(1, RunEnd.Done)] }, { nowMs: 300 });
      assert.equal(board.jobs.get("a")?.phase, JobPhase.Completed);
    },
  },
  {
    name: "a run of an unknown job that has ended is not kept as running",
    act: ({ board, report }) => {
      report({ running: [running(1)] }, { nowMs: 100 });
      const ends = [ended(1, RunEnd.Done)];
      report({ ended: ends, hasMore: true }, { nowMs: 200 });
      assert.equal(workerOf(board).unknownRuns.length, 0);
    },
  },
  {
    name: "the other runs of a gang that is done are stopped",
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
    name: "a long-running task is never done",
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
  test(`job board: ${name}`, () => act(createFixture()));
}

// Guards against a second run: without a later worker at the address, the one
// that does not answer there may run on elsewhere.
for (const { bornMs, isRegistered, address, attempts } of [
  { bornMs: 2, isRegistered: true, address: "10.0.0.1:1", attempts: 0 },
  { bornMs: 1, isRegistered: true, address: "10.0.0.1:1", attempts: 1 },
  { bornMs: 2, isRegistered: false, address: "10.0.0.1:1", attempts: 1 },
  { bornMs: 2, isRegistered: true, address: "10.0.0.2:1", attempts: 1 },
]) {
  test(`job board: another instance answers, and a worker born at ${bornMs}, registered: ${isRegistered}, is at ${address}`, () => {
    const { board, add, start, report } = createFixture();
    const record = add([{}]);
    report({});
    start(record);
    const other = board.addWorker(createWorkerInfo("x", { address, bornMs }));
    other.isRegistered = isRegistered;
    const worker = workerOf(board);
    board.onOtherInstance(worker, 0);
    assert.equal(taskOf(record).attempts.length, attempts);
    assert.equal(worker.isReplaced, attempts === 0);
    assert.equal(taskOf(record).losses.length, 1 - attempts);
  });
}

test("job board: the stored placement of a task is restored", () => {
  const job = createJob("a", [{ count: 3, isLongRunning: true }]);
  const options = { revision: 1, queue: QUEUE, runFloor: 0 };
  const record = createJobRecord(job, { ...options, state: undefined });
  const [, task] = record.occurrences[0]?.[0]?.tasks ?? [];
  assert.ok(task);
  task.placement = { workerId: "w", epoch: 3 };
  const state = JSON.parse(JSON.stringify(stateOf(record)));
  state.steps[0].placements.push([0, "w"], null, [7, "w", 3], [2, 4, 3]);
  const again = createJobRecord(job, { ...options, state });
  const placements = again.occurrences[0]?.[0]?.tasks.map(
    ({ placement }) => placement,
  );
  assert.deepEqual(placements, [undefined, task.placement, undefined]);
});

test("job board: stored progress is restored unchanged", () => {
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

// Guards against tasks that run again under a leader of an earlier release, which
// reads single indices only.
test("job board: the tasks of a usual step that are done are stored one by one", () => {
  const job = createJob("a", [{ count: 36 }, { after: [0] }]);
  const options = { revision: 1, queue: QUEUE, runFloor: 0, state: undefined };
  const record = createJobRecord(job, options);
  const [first] = record.occurrences[0] ?? [];
  assert.ok(first);
  first.doneCount = 36;
  const indices = Array.from({ length: 36 }, (_, index) => index);
  assert.deepEqual(stateOf(record).steps[0]?.done, indices);
});

function createFixture(): Fixture {
  const stops: StopRequest[] = [];
  const board = new JobBoard(
    {
      onChanged: () => {},
      onStop: (stop) => stops.push(stop),
      onEnd: () => {},
    },
    { runFloor: 0, allJobsKnownMs: COMPLETE_MS },
  );
  const worker = board.addWorker(createWorkerInfo("w"));
  return {
    board,
    stops,
    add: (steps, id = "a") =>
      board.addJob(createJob(id, steps), 1, {
        queue: QUEUE,
        nowMs: 0,
        wallMs: 0,
      }),
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

/** Starts a run of the first task of a job on another worker. */
function startElsewhere(board: JobBoard, record: JobRecord, run: number) {
  const other = board.addWorker(createWorkerInfo("other"));
  board.onStarted(board.onSent(taskOf(record), run, other, 0), 0);
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

function taskNameIn(jobId: string) {
  return { jobId, occurrence: 0, step: 0, index: 0 };
}

function ended(number: number, end: RunEnd, run = 1): EndedRun {
  return { number, task: taskNameIn("a"), run, end, checkpoint: "" };
}

function running(run: number): RunningRun {
  return {
    task: taskNameIn("a"),
    run,
    checkpoint: "",
    percent: 1,
    measurement: 0,
  };
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
