import assert from "node:assert/strict";
import { test } from "node:test";
import { InterferenceModel } from "@laburnumtrack/jobs/interference_model";
import type { Step } from "@laburnumtrack/jobs/job";
import { AttemptPhase, type StepRun } from "@laburnumtrack/jobs/task";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import { NO_FEATURES, type RoundPlan, RoundPlanner } from "./round_planner";
import { coresOf, TestBoard } from "./test_boards";

const FIRST_REPORT_MS = 100;
const NOW_MS = 600;

interface Case {
  readonly name: string;
  readonly step?: Partial<Step>;
  /** Progress of the first task between the two reports, in percent. */
  readonly slowGain?: number;
  /** Progress of the other tasks between the two reports. */
  readonly otherGain?: number;
  readonly attemptLimit?: number;
  readonly prepare?: (world: World) => void;
  /** Indices of the tasks that get a copy, or move. */
  readonly copies: readonly number[];
  readonly moves?: readonly number[];
}

interface World {
  readonly board: TestBoard;
  readonly planner: RoundPlanner;
  readonly stepRun: StepRun;
  readonly workers: readonly WorkerRecord[];
}

/** Makes the worker of the first task known as slow. */
function makeSlow({ planner, workers: [worker] }: World): void {
  assert.ok(worker);
  for (let count = 0; count < 20; count += 1) {
    planner.timeline.speeds.observe(worker, 0.3, NOW_MS);
  }
}

const CASES: readonly Case[] = [
  { name: "a run that is seven times slower gets a copy", copies: [0] },
  { name: "a run at the usual speed gets none", slowGain: 50, copies: [] },
  { name: "a run at half the speed gets none", slowGain: 25, copies: [] },
  {
    name: "a run that takes 1.7 times as long gets none",
    step: { estimateMs: 10_000 },
    slowGain: 2,
    otherGain: 5,
    copies: [],
  },
  {
    name: "a worker with room that runs the task already gets no copy",
    prepare: ({ board, workers }) => {
      const step = { count: 6, resources: coresOf(12), isLongRunning: true };
      const full = board.addJob({ id: "full", step });
      for (const [index, worker] of workers.entries()) {
        if (index > 0) board.start(full, index, worker);
        else board.start(full, 0, board.addWorker("x", 16));
      }
    },
    copies: [],
  },
  {
    name: "a step that allows no copies gets none",
    step: { isSpeculative: false },
    copies: [],
  },
  {
    name: "a run without any progress gets a copy",
    slowGain: 0,
    copies: [0],
  },
  {
    name: "nothing gains when the other tasks are as late",
    otherGain: 7,
    copies: [],
  },
  {
    name: "two failures must not exceed the attempts of a task",
    attemptLimit: 1,
    copies: [],
  },
  {
    name: "a task that failed once keeps its last attempt",
    prepare: ({ stepRun }) => stepRun.tasks[0]?.failedRuns.add(1),
    copies: [],
  },
  {
    name: "a task that may crash its worker gets none",
    prepare: ({ stepRun: { tasks } }) => {
      tasks[0]?.losses.push({
        run: 1,
        workerId: "x",
        address: "x:1",
        bornMs: 1,
        evidence: "restarted" as never,
        isLate: false,
      });
    },
    copies: [],
  },
  {
    name: "a paused run gets none",
    prepare: ({ stepRun: { tasks } }) => {
      const [attempt] = tasks[0]?.attempts ?? [];
      assert.ok(attempt);
      attempt.pacePercent = 0;
    },
    copies: [],
  },
  {
    name: "a run that is being stopped gets none",
    prepare: ({ stepRun: { tasks } }) => {
      const [attempt] = tasks[0]?.attempts ?? [];
      assert.ok(attempt);
      attempt.phase = AttemptPhase.Stopping;
    },
    copies: [],
  },
  {
    name: "room that others wait for is left to them",
    prepare: ({ board }) => {
      board.addJob({ id: "waits", step: { resources: coresOf(99) } });
    },
    copies: [],
  },
  {
    name: "no worker with room, no copy",
    prepare: ({ board, workers }) => {
      const step = { count: 6, resources: coresOf(12), isLongRunning: true };
      const full = board.addJob({ id: "full", step });
      for (const [index, worker] of workers.entries()) {
        board.start(full, index, worker);
      }
    },
    copies: [],
  },
  {
    name: "a run on a slow worker moves if it saves checkpoints",
    step: { isSpeculative: false, isCheckpointing: true },
    prepare: (world) => {
      makeSlow(world);
      const [task] = world.stepRun.tasks;
      assert.ok(task);
      task.checkpoint = "c";
    },
    copies: [],
    moves: [0],
  },
  {
    name: "a slow run on a usual worker stays: it would be slow elsewhere too",
    step: { isSpeculative: false, isCheckpointing: true },
    copies: [],
  },
];

for (const given of CASES) {
  // Guards against steps that wait for one slow run, and against copies that
  // cost room or attempts and help nobody.
  test(`stragglers: ${given.name}`, () => {
    const world = createWorld(given);
    const { copies, moves } = plan(world, NOW_MS).stragglers;
    const indexOf = ({ task }: { task: { index: number } }) => task.index;
    assert.deepEqual(copies.map(indexOf), given.copies);
    assert.deepEqual(moves.map(indexOf), given.moves ?? []);
  });
}

// Guards against a second run on the same worker, which knows a task once.
test("stragglers: a copy has the next run number and another worker", () => {
  const world = createWorld({});
  const { starts, stragglers } = plan(world, NOW_MS);
  const [copy] = stragglers.copies;
  assert.ok(copy);
  assert.deepEqual(starts, [copy]);
  assert.equal(copy.run, 2);
  assert.notEqual(copy.worker, world.workers[0]);
  assert.equal(copy.phase, AttemptPhase.Starting);
});

// Guards against a third run of a task.
test("stragglers: a task has two runs at most", () => {
  const world = createWorld({ attemptLimit: 9 });
  assert.equal(plan(world, NOW_MS).stragglers.copies.length, 1);
  for (const atMs of [800, 1000, 1200]) {
    assert.equal(plan(world, atMs).stragglers.copies.length, 0);
  }
});

// Guards against work that is lost when a copy reports an earlier checkpoint.
test("stragglers: the checkpoint of the run that has come furthest is kept", () => {
  const world = createWorld({});
  const [copy] = plan(world, NOW_MS).stragglers.copies;
  assert.ok(copy);
  const { task } = copy;
  const [first] = task.attempts;
  assert.ok(first);
  first.percent = 40;
  task.checkpoint = "at 40%";
  reportRun(world, copy, 10);
  assert.equal(task.checkpoint, "at 40%");
  reportRun(world, copy, 60);
  assert.equal(task.checkpoint, "at 60%");
});

// Guards against work for a worker that makes every task slow.
test("stragglers: a worker that is known to be slow gets new tasks last", () => {
  const world = createWorld({ slowGain: 50 });
  makeSlow(world);
  world.board.addJob({ id: "b", step: { count: 31, resources: coresOf(2) } });
  const { starts } = plan(world, NOW_MS);
  assert.equal(starts.length, 31);
  assert.ok(starts.every(({ worker }) => worker !== world.workers[0]));
});

function reportRun(
  { board }: World,
  { task, run, worker }: RoundPlan["starts"][number],
  percent: number,
): void {
  const { record } = task.stepRun;
  const name = { occurrence: 0, step: 0, index: task.index };
  const running = [
    {
      task: { jobId: record.job.id, ...name },
      run,
      checkpoint: `at ${percent}%`,
      percent,
      measurement: 0,
    },
  ];
  board.board.onReport(
    worker,
    { clockMs: 0, bornMs: 1, running, ended: [], hasMore: false },
    { sentMs: 0, nowMs: NOW_MS, wallMs: NOW_MS },
  );
}

function plan({ planner }: World, nowMs: number): RoundPlan {
  return planner.plan({
    nowMs,
    wallMs: nowMs,
    limit: 100,
    model: new InterferenceModel(),
    isUsable: () => true,
    areRunsKnown: () => true,
  });
}

/** Four tasks on a worker each, two other workers, and two reports of each. */
function createWorld(given: Partial<Case>): World {
  const { slowGain = 7, otherGain = 50, attemptLimit = 2, prepare } = given;
  const board = new TestBoard();
  const workers = Array.from({ length: 6 }, (_, index) =>
    board.addWorker(`w${index}`, 16),
  );
  const stepRun = board.addJob({
    id: "a",
    step: {
      count: 4,
      isSpeculative: true,
      resources: coresOf(5),
      ...given.step,
    },
    queue: { attemptLimit },
  });
  const planner = new RoundPlanner({
    board: board.board,
    features: { ...NO_FEATURES, isCopying: true },
    restoreMs: 100,
    origin: { startMs: -10_000, revision: 0 },
  });
  const world = { board, planner, stepRun, workers };
  for (const { index } of stepRun.tasks) {
    const worker = workers[index];
    assert.ok(worker);
    const run = board.start(stepRun, index, worker);
    const gain = index === 0 ? slowGain : otherGain;
    for (const [atMs, percent] of [
      [FIRST_REPORT_MS, 3],
      [NOW_MS, 3 + gain],
    ] as const) {
      if (percent !== run.percent) run.progressMs = atMs;
      run.percent = percent;
      worker.lastReportMs = atMs;
      planner.onReport(worker, atMs);
    }
  }
  prepare?.(world);
  return world;
}
