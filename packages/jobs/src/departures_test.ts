import assert from "node:assert/strict";
import { test } from "node:test";
import { planDepartures } from "./departures";
import { InterferenceModel } from "./interference_model";
import type { Step } from "./job";
import { JobBoard } from "./job_board";
import { reserveRoom } from "./reservations";
import { planStarts } from "./start_planner";
import { type Attempt, AttemptPhase, type Task } from "./task";
import {
  createJob,
  createQueue,
  createStep,
  createWorkerInfo,
} from "./test_samples";
import type { WorkerRecord } from "./worker_record";

interface Case {
  readonly name: string;
  readonly step: Partial<Step>;
  /** Number of the other workers; each has room for one task. */
  readonly places: number;
  /** Indices of the tasks that are moved. */
  readonly moved: readonly number[];
  /** Changes the situation before the plan. */
  readonly prepare?: (situation: Situation) => void;
  /** Whether the job's tasks may start; true by default. */
  readonly areRunsKnown?: boolean;
}

interface Situation {
  readonly leaving: WorkerRecord;
  readonly others: readonly WorkerRecord[];
  /** Runs of all tasks of the step, on the leaving worker. */
  readonly attempts: readonly Attempt[];
}

const NOW_MS = 10_000;
/** Time for which the leaving worker surely stays, in ms. */
const TIME_LEFT_MS = 2000;
const ALL_CORES = { cpuMilli: 16_000, memoryMb: 1000, accelerators: 0 };
const LONG_RUNNING = { isLongRunning: true, resources: ALL_CORES };
const CHECKPOINTING = { isCheckpointing: true, estimateMs: 8000 };

const CASES: readonly Case[] = [
  {
    name: "a long-running task moves at once",
    step: LONG_RUNNING,
    places: 1,
    moved: [0],
  },
  {
    name: "nothing moves from a worker that stays",
    step: LONG_RUNNING,
    places: 1,
    moved: [],
    prepare: ({ leaving }) => {
      leaving.info = createWorkerInfo(leaving.id);
    },
  },
  {
    name: "nothing moves from a worker that has left the registry",
    step: LONG_RUNNING,
    places: 1,
    moved: [],
    prepare: ({ leaving }) => {
      leaving.isRegistered = false;
    },
  },
  {
    name: "nothing moves from a worker that does not answer",
    step: LONG_RUNNING,
    places: 1,
    moved: [],
    prepare: ({ leaving }) => {
      leaving.isSilent = true;
    },
  },
  {
    name: "a task stays until it may start elsewhere",
    step: LONG_RUNNING,
    places: 1,
    moved: [],
    areRunsKnown: false,
  },
  {
    name: "a long-running task of a gang stays",
    step: { ...LONG_RUNNING, isGang: true },
    places: 1,
    moved: [],
  },
  {
    name: "a task stays while the worker with room for it is gone",
    step: LONG_RUNNING,
    places: 1,
    moved: [],
    prepare: ({ attempts, others: [other] }) => {
      const [first] = attempts;
      assert.ok(first && other);
      reserveRoom(first.task, [], other);
      other.isRegistered = false;
      other.info = createWorkerInfo(other.id, { isDraining: true });
    },
  },
  {
    name: "a task stays while no other worker has room",
    step: LONG_RUNNING,
    places: 0,
    moved: [],
  },
  {
    name: "only as many tasks are on their way as workers have room",
    step: { ...LONG_RUNNING, count: 3 },
    places: 2,
    moved: [0, 1],
  },
  {
    name: "a task on its way keeps the room of its next worker",
    step: { ...LONG_RUNNING, count: 2 },
    places: 1,
    moved: [],
    prepare: ({ attempts, others }) => {
      const [first] = attempts;
      assert.ok(first);
      reserveRoom(first.task, others, others[0]);
      first.worker.remove(first);
      first.task.attempts.length = 0;
    },
  },
  {
    name: "a start that is not confirmed stays",
    step: LONG_RUNNING,
    places: 1,
    moved: [],
    prepare: ({ attempts: [attempt] }) => {
      assert.ok(attempt);
      attempt.phase = AttemptPhase.Starting;
    },
  },
  {
    name: "a task with a checkpoint moves if it cannot end in time",
    step: CHECKPOINTING,
    places: 1,
    moved: [0],
  },
  {
    name: "a task with a checkpoint stays if it will end in time",
    step: CHECKPOINTING,
    places: 1,
    moved: [],
    prepare: ({ attempts: [attempt] }) => {
      assert.ok(attempt);
      attempt.percent = 80;
    },
  },
  {
    name: "a task without checkpoints stays",
    step: { estimateMs: 8000 },
    places: 1,
    moved: [],
  },
  {
    name: "a task of a gang stays",
    step: { ...CHECKPOINTING, isGang: true },
    places: 1,
    moved: [],
  },
];

for (const given of CASES) {
  const { name, step, places, moved, prepare, areRunsKnown = true } = given;
  // Guards against tasks that end with a worker whose leaving was announced.
  test(`departures: ${name}`, () => {
    const { board, leaving } = createBoard();
    leaving.leavesAtMs = NOW_MS + TIME_LEFT_MS;
    const others = Array.from({ length: places }, (_, index) =>
      board.addWorker(createWorkerInfo(`w${index}`)),
    );
    const attempts = startAll(board, "a", createStep(step), leaving);
    prepare?.({ leaving, others, attempts });
    const moves = planDepartures(board, {
      ...createOptions(),
      areRunsKnown: () => areRunsKnown,
    });
    assert.deepEqual(
      moves.map(({ task }) => task.index),
      moved,
    );
  });
}

// Guards against long-running tasks that stay on a leaving worker, as shorter
// tasks take all the room that becomes free.
test("departures: room is held back for a long-running task until it is enough", () => {
  const { board, leaving } = createBoard();
  const other = board.addWorker(createWorkerInfo("w0"));
  const quarter = { ...ALL_CORES, cpuMilli: 4000 };
  const short = createStep({ count: 5, resources: quarter });
  const half = { ...ALL_CORES, cpuMilli: 8000 };
  startAll(
    board,
    "a",
    createStep({ ...LONG_RUNNING, resources: half }),
    leaving,
  );
  const options = createOptions();
  addJob(board, "b", short);
  const shorts = planStarts(board, options);
  assert.equal(shorts.length, 4);
  assert.deepEqual(planDepartures(board, options), []);
  const moved = shorts.slice(0, 2).map((attempt, index) => {
    other.remove(attempt);
    attempt.task.attempts.length = 0;
    attempt.task.isDone = true;
    assert.deepEqual(planStarts(board, options), [], `after ${index}`);
    return planDepartures(board, options).length;
  });
  assert.deepEqual(moved, [0, 1]);
});

// Guards against a task that is stopped and finds its room taken.
test("departures: room stays reserved while its worker takes no new tasks for a moment", () => {
  const { board, leaving } = createBoard();
  board.addWorker(createWorkerInfo("w0"));
  const half = { ...ALL_CORES, cpuMilli: 8000 };
  const step = createStep({ ...LONG_RUNNING, resources: half });
  const [attempt] = startAll(board, "a", step, leaving);
  assert.ok(attempt);
  addJob(board, "b", createStep({ count: 4, resources: half }));
  const options = createOptions();
  assert.equal(planDepartures(board, options).length, 1);
  board.stop(attempt, "its worker is leaving");
  planDepartures(board, { ...options, isUsable: () => false });
  const shorter = planStarts(board, options);
  board.onRefused(attempt, 0);
  const moved = planStarts(board, options);
  assert.deepEqual([shorter.length, moved.length], [1, 1]);
});

// Guards against a filler that is stopped although no worker may take it.
test("departures: a long-running filler stays while it would slow serving tasks", () => {
  const { board, leaving } = createBoard();
  const other = board.addWorker(createWorkerInfo("w0"));
  const serving = createStep({ ...LONG_RUNNING, targetMs: 100, image: "i" });
  const [served] = startAll(board, "s", serving, other);
  assert.ok(served);
  served.percent = 100;
  served.measurement = 500;
  served.overSinceMs = 0;
  const filler = { isLongRunning: true, isFiller: true, image: "x" };
  startAll(board, "f", createStep(filler), leaving);
  const moves = planDepartures(board, createOptions());
  assert.deepEqual(moves, []);
});

/** Planning options under which only the leaving worker takes no new tasks. */
function createOptions() {
  return {
    nowMs: NOW_MS,
    wallMs: NOW_MS,
    limit: 100,
    model: new InterferenceModel(),
    isUsable: ({ info }: WorkerRecord) => !info.isDraining,
    areRunsKnown: () => true,
  };
}

/** A board with one worker, which is leaving. */
function createBoard(): { board: JobBoard; leaving: WorkerRecord } {
  const listener = { onChanged() {}, onStop() {}, onEnd() {} };
  const board = new JobBoard(listener, { runFloor: 0, allJobsKnownMs: 0 });
  const info = createWorkerInfo("leaving", { isDraining: true });
  return { board, leaving: board.addWorker(info) };
}

/** Adds a job with the step, all of whose tasks run on the worker. */
function startAll(
  board: JobBoard,
  id: string,
  step: Step,
  worker: WorkerRecord,
): Attempt[] {
  return addJob(board, id, step).map((task) => {
    const attempt = board.onSent(task, 1, worker, 0);
    board.onStarted(attempt, 0);
    return attempt;
  });
}

function addJob(board: JobBoard, id: string, step: Step): Task[] {
  const job = createJob(id, [step]);
  const queue = createQueue();
  const record = board.addJob(job, 1, { queue, nowMs: 0, wallMs: 0 });
  return record.occurrences[0]?.[0]?.tasks ?? [];
}
