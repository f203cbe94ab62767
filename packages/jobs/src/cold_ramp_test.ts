import assert from "node:assert/strict";
import { test } from "node:test";
import { cool, updateColdWorkers } from "./cold_ramp";
import { InterferenceModel } from "./interference_model";
import { JobBoard } from "./job_board";
import type { Pool } from "./queue_config";
import { planStarts } from "./start_planner";
import type { Task } from "./task";
import {
  createJob,
  createQueue,
  createStep,
  createWorkerInfo,
} from "./test_samples";
import type { WorkerRecord } from "./worker_record";

const START_MS = 1_000_000;
const POOL: Pool = {
  name: "pool",
  isGuarded: true,
  isStandby: false,
  coldStartMs: 10_000,
  coldingRate: 0.5,
};
/** Number of tasks on the warm worker of a situation. */
const WARM_TASKS = 8;

const COLDNESS_CASES: readonly {
  readonly name: string;
  readonly bornMs: number;
  readonly coldRemainingMs?: number;
  /** Start by the worker's report, in Unix ms. */
  readonly reportedMs?: number;
  readonly pool?: Partial<Pool>;
  /** Time after the start, in ms. */
  readonly passedMs: number;
  readonly coldness: number;
}[] = [
  {
    name: "a worker that has just started",
    bornMs: START_MS,
    passedMs: 0,
    coldness: 1,
  },
  {
    name: "half of the pool's cold time has passed",
    bornMs: START_MS,
    passedMs: 5000,
    coldness: 0.5,
  },
  {
    name: "the time of its own entry counts",
    bornMs: START_MS,
    coldRemainingMs: 20_000,
    passedMs: 15_000,
    coldness: 0.25,
  },
  {
    name: "the cold time is over",
    bornMs: START_MS,
    passedMs: 11_000,
    coldness: 0,
  },
  {
    name: "its own entry says that it is never cold",
    bornMs: START_MS,
    coldRemainingMs: 0,
    passedMs: 0,
    coldness: 0,
  },
  {
    name: "a restart that only its report tells",
    bornMs: 1,
    reportedMs: START_MS,
    passedMs: 5000,
    coldness: 0.5,
  },
  {
    name: "its clock is ahead",
    bornMs: START_MS + 3000,
    passedMs: 0,
    coldness: 1,
  },
  {
    name: "its start is unknown, and it is first seen now",
    bornMs: 0,
    passedMs: 5000,
    coldness: 1,
  },
  {
    name: "its pool knows no cold time",
    bornMs: START_MS,
    pool: { coldStartMs: undefined },
    passedMs: 0,
    coldness: 0,
  },
];

for (const given of COLDNESS_CASES) {
  const { name, bornMs, coldRemainingMs, passedMs, coldness } = given;
  // Guards against cold workers that are taken for warm, or warm ones that stay
  // unused.
  test(`cold ramp: ${name}`, () => {
    const board = createBoard();
    const info = createWorkerInfo("w", { bornMs, coldRemainingMs });
    const worker = board.addWorker(info);
    worker.bornMs = given.reportedMs ?? 0;
    updateColdWorkers(board, {
      nowMs: passedMs,
      wallMs: START_MS + passedMs,
      pools: [{ ...POOL, ...given.pool }],
    });
    assert.equal(worker.coldness, coldness);
  });
}

const LIMIT_CASES: readonly {
  readonly name: string;
  readonly coldness: number;
  readonly limit: number;
}[] = [
  { name: "at its start", coldness: 1, limit: 5 },
  { name: "halfway", coldness: 0.5, limit: 11 },
  { name: "shortly before it is warm", coldness: 0.125, limit: 15 },
  { name: "once it is warm", coldness: 0, limit: Number.POSITIVE_INFINITY },
];

for (const { name, coldness, limit } of LIMIT_CASES) {
  // Guards against a cold worker that is overloaded by the share of a warm one.
  test(`cold ramp: most tasks of a worker ${name}`, () => {
    const { board, cold } = createSituation();
    const passedMs = 10_000 * (1 - coldness);
    updateColdWorkers(board, timesAfter(passedMs));
    assert.equal(cold.coldTaskLimit, limit);
  });
}

// Guards against a pool whose workers all start at once and that takes no work.
test("cold ramp: without warm workers cold ones have no limit", () => {
  const { board, warm, cold } = createSituation();
  warm.isInEvacuation = true;
  updateColdWorkers(board, timesAfter(0));
  assert.equal(cold.coldTaskLimit, Number.POSITIVE_INFINITY);
});

// Guards against a wave of waiting tasks that a worker gets right after its
// start, and against a job that waits although there is room.
test("cold ramp: a job gets no more than the limit, and after a while any room", () => {
  const { board, cold, warm } = createSituation();
  updateColdWorkers(board, timesAfter(0));
  const tasks = addTasks(board, "b", 24);
  const starts = planStarts(board, options(0));
  const onCold = starts.filter(({ worker }) => worker === cold);
  assert.equal(starts.length - onCold.length, 16 - WARM_TASKS);
  assert.equal(onCold.length, 5);
  assert.equal(warm.attempts.size, 16);
  const [late] = addTasks(board, "c", 1);
  assert.ok(late && tasks.length === 24);
  assert.deepEqual(planStarts(board, options(900)), []);
  const [first] = planStarts(board, options(2000));
  assert.equal(first?.task, late);
  assert.equal(first?.worker, cold);
});

// Guards against tasks that run slowly although a warm worker has room.
test("cold ramp: a task goes to a warm worker first", () => {
  const { board, warm } = createSituation();
  updateColdWorkers(board, timesAfter(0));
  addTasks(board, "b", 1);
  const [start] = planStarts(board, options(0));
  assert.equal(start?.worker, warm);
});

// Guards against an idle domain that gets all its load back at once.
test("cold ramp: a worker cools while it has no new work", () => {
  const { board, warm } = createSituation();
  cool(warm, POOL, { nowMs: 1000, idleMs: 8000 });
  updateColdWorkers(board, timesAfter(3000));
  assert.equal(warm.coldness, 0.5);
  cool(warm, POOL, { nowMs: 20_000, idleMs: 600_000 });
  updateColdWorkers(board, timesAfter(25_000));
  assert.equal(warm.coldness, 0.5);
  updateColdWorkers(board, timesAfter(30_000));
  assert.equal(warm.coldness, 0);
});

function timesAfter(ms: number) {
  return { nowMs: ms, wallMs: START_MS + ms, pools: [POOL] };
}

function options(nowMs: number) {
  return {
    nowMs,
    wallMs: START_MS + nowMs,
    limit: 100,
    model: new InterferenceModel(),
    isUsable: () => true,
    areRunsKnown: () => true,
  };
}

function createBoard(): JobBoard {
  const listener = { onChanged() {}, onStop() {}, onEnd() {} };
  return new JobBoard(listener, { runFloor: 0, allJobsKnownMs: 0 });
}

/** A warm worker with tasks, and one that starts now. */
function createSituation(): {
  readonly board: JobBoard;
  readonly warm: WorkerRecord;
  readonly cold: WorkerRecord;
} {
  const board = createBoard();
  const warm = board.addWorker(createWorkerInfo("warm", { bornMs: 1 }));
  const cold = board.addWorker(createWorkerInfo("cold", { bornMs: START_MS }));
  for (const worker of [warm, cold]) worker.hasReported = true;
  for (const task of addTasks(board, "a", WARM_TASKS)) {
    board.onStarted(board.onSent(task, 1, warm, 0), 0);
  }
  return { board, warm, cold };
}

function addTasks(board: JobBoard, id: string, count: number): Task[] {
  const job = createJob(id, [createStep({ count })]);
  const queue = createQueue();
  const record = board.addJob(job, 1, { queue, nowMs: 0, wallMs: 0 });
  return record.occurrences[0]?.[0]?.tasks ?? [];
}
