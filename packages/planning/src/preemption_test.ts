import assert from "node:assert/strict";
import { test } from "node:test";
import { LossEvidence } from "@laburnumtrack/jobs/crash_losses";
import { InterferenceModel } from "@laburnumtrack/jobs/interference_model";
import type { Step } from "@laburnumtrack/jobs/job";
import type { Attempt, StepRun } from "@laburnumtrack/jobs/task";
import { RunEnd } from "@laburnumtrack/jobs/task_worker";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import { NO_FEATURES, type RoundPlan, RoundPlanner } from "./round_planner";
import { coresOf, TestBoard } from "./test_boards";

const NOW_MS = 10_000;
const RESTORE_MS = 100;
const URGENT = { name: "urgent", priority: 0, stretch: 1.5, targetMs: 302 };
const LAZY = { name: "lazy", priority: 2, stretch: 3, targetMs: 2000 };

/** What fills the workers before the urgent step comes. */
const FULL: Partial<Step> = {
  resources: coresOf(7),
  estimateMs: 5000,
  isCheckpointing: true,
};

interface Case {
  readonly name: string;
  /** Runs of the less urgent queue: 2 on each of the workers, of 16 cores. */
  readonly workers: number;
  /** Workers full of runs that never stop; 10 for each other by default. */
  readonly ballast?: number;
  readonly filling?: Partial<Step>;
  readonly fillingPriority?: number;
  readonly urgent?: Partial<Step>;
  readonly urgentPriority?: number;
  readonly prepare?: (world: World) => void;
  /** Progress of the filling runs in percent, in order of their tasks. */
  readonly percents?: readonly number[];
  /** Ms ago at which the urgent job was submitted; 100 by default. */
  readonly agoMs?: number;
  /** Tasks of the less urgent step that are stopped. */
  readonly stopped: readonly number[];
  /** Number of tasks for which room is held. */
  readonly held: number;
}

const CASES: readonly Case[] = [
  {
    name: "a task that finds no room gets that of a less urgent run",
    workers: 1,
    stopped: [0],
    held: 1,
  },
  {
    name: "all tasks of a step get room in one round",
    workers: 10,
    urgent: { count: 4 },
    stopped: [0, 1, 2, 3],
    held: 4,
  },
  {
    name: "nothing is stopped when not all tasks of the step would get room",
    workers: 2,
    urgent: { count: 5 },
    stopped: [],
    held: 0,
  },
  {
    name: "the run that has come least far is stopped",
    workers: 1,
    percents: [40, 10],
    stopped: [1],
    held: 1,
  },
  {
    name: "as many runs are stopped as it takes",
    workers: 1,
    urgent: { resources: coresOf(12) },
    stopped: [0, 1],
    held: 1,
  },
  {
    name: "runs without checkpoints stay",
    workers: 1,
    filling: { isCheckpointing: false },
    stopped: [],
    held: 0,
  },
  {
    name: "long-running tasks stay",
    workers: 1,
    filling: { isLongRunning: true },
    stopped: [],
    held: 0,
  },
  {
    name: "gangs stay",
    workers: 1,
    filling: { isGang: true },
    stopped: [],
    held: 0,
  },
  {
    name: "runs of the same priority stay",
    workers: 1,
    fillingPriority: 0,
    stopped: [],
    held: 0,
  },
  {
    name: "runs of a more urgent queue stay",
    workers: 1,
    urgentPriority: 3,
    stopped: [],
    held: 0,
  },
  {
    name: "a queue without a usable priority preempts nothing",
    workers: 1,
    urgentPriority: Number.NaN,
    stopped: [],
    held: 0,
  },
  {
    name: "a run that ends by itself in time is waited for",
    workers: 1,
    percents: [0, 96],
    stopped: [],
    held: 1,
  },
  {
    name: "a step with enough time waits for a run that ends by itself",
    workers: 1,
    urgent: { estimateMs: 4000 },
    percents: [0, 88],
    stopped: [],
    held: 1,
  },
  {
    name: "a step whose job is late anyway stops nothing",
    workers: 1,
    agoMs: 1000,
    stopped: [],
    held: 0,
  },
  {
    name: "a step that is larger than any worker stops nothing",
    workers: 2,
    urgent: { resources: coresOf(17) },
    stopped: [],
    held: 0,
  },
  {
    name: "a step that needs a label stops only runs on workers with it",
    workers: 1,
    urgent: { requiredLabel: "ssd" },
    stopped: [],
    held: 0,
  },
  {
    name: "a pool without victims stays as it is",
    workers: 1,
    prepare: ({ runs, planner }) => {
      for (const run of runs) planner.rules.onStopped(run, NOW_MS - 1000);
    },
    stopped: [],
    held: 0,
  },
  {
    name: "room is not made where the task has failed before",
    workers: 2,
    prepare: ({ urgent }) => urgent.tasks[0]?.failedOn.add("w0"),
    stopped: [2],
    held: 1,
  },
  {
    name: "at most 10% of a pool's cores are stopped in a second",
    workers: 10,
    ballast: 0,
    urgent: { count: 6 },
    stopped: [],
    held: 0,
  },
  {
    name: "several tasks a worker keep the limit of the step",
    workers: 2,
    urgent: { count: 2, perWorkerLimit: 1, resources: coresOf(2) },
    prepare: ({ runs }) => {
      for (const run of runs) run.worker.info = withCores(run.worker, 14);
    },
    stopped: [0, 2],
    held: 2,
  },
];

for (const given of CASES) {
  // Guards against urgent steps that wait in a full pool, and against stops that
  // help nobody.
  test(`preemption: ${given.name}`, () => {
    const world = createWorld(given);
    given.prepare?.(world);
    const plan = world.plan(NOW_MS);
    assert.deepEqual(
      plan.preempting
        .flatMap(({ victims }) => victims)
        .map(({ task }) => task.index)
        .sort((a, b) => a - b),
      given.stopped,
    );
    assert.equal(world.planner.holds.size, given.held);
    assert.equal(plan.starts.length, 0);
  });
}

// Guards against a start on a worker that still has the stopped run (LIMIT).
test("preemption: the step starts once the end of the stopped run is reported", () => {
  const world = createWorld({ workers: 1 });
  world.stopAll(world.plan(NOW_MS));
  const [victim] = world.runs;
  assert.ok(victim);
  for (const atMs of [50, 400, 700]) {
    assert.deepEqual(world.plan(NOW_MS + atMs).starts, [], `after ${atMs} ms`);
  }
  world.end(victim, RunEnd.Stopped, NOW_MS + 750);
  const { starts } = world.plan(NOW_MS + 760);
  assert.deepEqual(
    starts.map(({ task }) => task.stepRun === world.urgent),
    [true],
  );
  assert.ok(victim.worker.cpuMilli <= 16_000, "capacity is kept");
});

// Guards against a start that is not isolated, although it may crash its worker.
test("preemption: a task that may crash its worker does not start in held room", () => {
  const world = createWorld({ workers: 1 });
  world.stopAll(world.plan(NOW_MS));
  const [victim] = world.runs;
  const [task] = world.urgent.tasks;
  assert.ok(victim && task);
  const machine = { workerId: "x", address: "x:1", bornMs: 1 };
  const evidence = LossEvidence.Restarted;
  for (const run of [1, 2]) {
    task.losses.push({ ...machine, run, evidence, isLate: false });
  }
  world.end(victim, RunEnd.Stopped, NOW_MS + 200);
  assert.deepEqual(
    world.planner.holds.startReady(world.board.board, {
      nowMs: NOW_MS + 210,
      wallMs: NOW_MS + 210,
      limit: 9,
      isUsable: () => true,
      areRunsKnown: () => true,
    }),
    [],
  );
});

// Guards against room that is made for an urgent step and taken by other work.
test("preemption: the room stays open to the urgent step only", () => {
  const world = createWorld({ workers: 1 });
  const small = { resources: coresOf(1), count: 4 };
  world.board.addJob({ id: "small", step: small, queue: LAZY });
  world.stopAll(world.plan(NOW_MS));
  assert.equal(world.plan(NOW_MS + 50).starts.length, 0);
  const [victim] = world.runs;
  assert.ok(victim);
  world.end(victim, RunEnd.Stopped, NOW_MS + 200);
  const starts = world.plan(NOW_MS + 210).starts;
  assert.equal(starts[0]?.task.stepRun, world.urgent);
  assert.deepEqual(starts.length, 2, "one small task fits beside it");
});

// Guards against victims that never end, or restart behind all other work.
test("preemption: a stopped task resumes from its checkpoint before its queue", () => {
  const world = createWorld({ workers: 1 });
  const waiting = { ...FULL, resources: coresOf(7) };
  const early = { id: "early", step: waiting, queue: LAZY };
  world.board.addJob({ ...early, submittedMs: NOW_MS - 9000 });
  world.stopAll(world.plan(NOW_MS));
  const [victim, other] = world.runs;
  assert.ok(victim && other);
  world.end(victim, RunEnd.Stopped, NOW_MS + 200, "at 10%");
  world.plan(NOW_MS + 210);
  world.end(other, RunEnd.Done, NOW_MS + 300);
  const { starts } = world.plan(NOW_MS + 310);
  assert.deepEqual(
    starts.map(({ task }) => [task === victim.task, task.checkpoint]),
    [[true, "at 10%"]],
  );
});

// Guards against room that stays reserved after a stop that was lost.
test("preemption: room is released when a stop takes too long", () => {
  const world = createWorld({ workers: 1 });
  world.stopAll(world.plan(NOW_MS));
  assert.equal(world.planner.holds.size, 1);
  world.plan(NOW_MS + 1499);
  assert.equal(world.planner.holds.size, 1);
  // The job is late by then and gets no other room.
  world.plan(NOW_MS + 1500);
  assert.equal(world.planner.holds.size, 0);
  assert.deepEqual(
    [...world.runs].map(({ worker }) => worker.cpuMilli),
    [14_000, 14_000],
  );
});

// Guards against room that stays reserved for a job that is gone.
test("preemption: room is released when the urgent job is cancelled", () => {
  const world = createWorld({ workers: 1 });
  world.stopAll(world.plan(NOW_MS));
  world.board.board.cancelJob("urgent", NOW_MS);
  world.plan(NOW_MS + 50);
  assert.equal(world.planner.holds.size, 0);
  assert.equal(world.runs[0]?.worker.reservations.size, 0);
});

// Guards against a run that is stopped although its end is on the way.
test("preemption: a victim that ends meanwhile leaves its room to the step", () => {
  const world = createWorld({ workers: 1 });
  world.stopAll(world.plan(NOW_MS));
  const [victim] = world.runs;
  assert.ok(victim);
  world.end(victim, RunEnd.Done, NOW_MS + 20);
  const { starts, preempting } = world.plan(NOW_MS + 30);
  assert.equal(starts[0]?.task.stepRun, world.urgent);
  assert.deepEqual(preempting, []);
  assert.equal(victim.task.isDone, true);
});

// Guards against held room on a worker that is about to leave.
test("preemption: room on a worker that starts to drain is released", () => {
  const world = createWorld({ workers: 1 });
  world.stopAll(world.plan(NOW_MS));
  const worker = world.runs[0]?.worker;
  assert.ok(worker);
  worker.info = { ...worker.info, isDraining: true };
  world.plan(NOW_MS + 50);
  assert.equal(world.planner.holds.size, 0);
});

// Guards against orders that a new leader repeats, as it knows no planned state.
test("preemption: a new leader finds stopped victims in the reports and starts the step", () => {
  const world = createWorld({ workers: 1 });
  const [victim] = world.runs;
  assert.ok(victim);
  world.planner = createPlanner(world.board, NOW_MS - 100);
  const first = world.plan(NOW_MS);
  assert.deepEqual(
    first.preempting,
    [],
    "runs of a former leader stay for 5 s",
  );
  world.end(victim, RunEnd.Stopped, NOW_MS + 200, "c");
  const { starts } = world.plan(NOW_MS + 210);
  assert.equal(starts[0]?.task.stepRun, world.urgent);
  assert.equal(victim.task.attempts.length, 0);
});

// Guards against the same run being preempted for each of many urgent jobs.
test("preemption: a burst of urgent jobs stops at most 10% of the cores a second", () => {
  const world = createWorld({ workers: 40, ballast: 0 });
  let stopped = 0;
  for (let round = 0; round < 40; round += 1) {
    const atMs = NOW_MS + round * 50;
    world.board.addJob({
      id: `u${round}`,
      step: { count: 2, resources: coresOf(7.5), estimateMs: 800 },
      queue: URGENT,
      submittedMs: atMs,
    });
    const plan = world.plan(atMs);
    world.stopAll(plan);
    stopped += plan.preempting.flatMap(({ victims }) => victims).length;
  }
  // 40 workers of 16 cores: 64 cores at once and 128 in 2 s, by 7 cores each.
  assert.ok(stopped >= 18 && stopped <= 27, `${stopped} runs are stopped`);
});

interface World {
  readonly board: TestBoard;
  readonly urgent: StepRun;
  readonly runs: readonly Attempt[];
  planner: RoundPlanner;
  plan(nowMs: number): RoundPlan;
  stopAll(plan: RoundPlan): void;
  end(attempt: Attempt, end: RunEnd, atMs: number, checkpoint?: string): void;
}

type Situation = Pick<Case, "workers"> & Partial<Case>;

function createWorld(given: Situation): World {
  const { workers, percents = [], agoMs = 100, urgentPriority = 0 } = given;
  const { ballast = 10 * workers } = given;
  const board = new TestBoard();
  const filling = board.addJob({
    id: "filling",
    step: { ...FULL, count: 2 * workers, ...given.filling },
    queue: { ...LAZY, priority: given.fillingPriority ?? 2 },
    submittedMs: NOW_MS - 1000,
  });
  const runs = filling.tasks.map(({ index }) => {
    const id = `w${Math.floor(index / 2)}`;
    const worker = board.board.workers.get(id) ?? board.addWorker(id, 16);
    const run = board.start(filling, index, worker, NOW_MS - 100);
    run.percent = percents[index] ?? 0;
    run.progressMs = NOW_MS;
    return run;
  });
  const lasting = { isLongRunning: true, resources: coresOf(16) };
  const full = board.addJob({
    id: "full",
    step: { ...lasting, count: ballast },
    queue: LAZY,
  });
  for (const { index } of full.tasks) {
    board.start(full, index, board.addWorker(`b${index}`, 16));
  }
  const urgent = board.addJob({
    id: "urgent",
    step: { resources: coresOf(7.5), estimateMs: 800, ...given.urgent },
    queue: { ...URGENT, priority: urgentPriority },
    submittedMs: NOW_MS - agoMs,
  });
  const world: World = {
    board,
    urgent,
    runs,
    planner: createPlanner(board, 0),
    plan: (nowMs) =>
      world.planner.plan({
        nowMs,
        wallMs: nowMs,
        limit: 100,
        model: new InterferenceModel(),
        isUsable: ({ info }) => !info.isDraining,
        areRunsKnown: () => true,
      }),
    stopAll: ({ preempting }) => {
      for (const { victims } of preempting) {
        for (const victim of victims) board.board.stop(victim, "preempted");
      }
    },
    end: (attempt, end, atMs, checkpoint = "") => {
      endRun(board, attempt, { end, atMs, checkpoint });
    },
  };
  return world;
}

function createPlanner(board: TestBoard, startMs: number): RoundPlanner {
  return new RoundPlanner({
    board: board.board,
    features: { ...NO_FEATURES, isPreempting: true },
    restoreMs: RESTORE_MS,
    origin: { startMs, revision: Number.POSITIVE_INFINITY },
  });
}

/** Reports the end of a run; the other runs of its worker go on. */
function endRun(
  { board }: TestBoard,
  { task, run, worker }: Attempt,
  { end, atMs, checkpoint }: { end: RunEnd; atMs: number; checkpoint: string },
): void {
  const { stepRun, index } = task;
  const name = {
    jobId: stepRun.record.job.id,
    occurrence: stepRun.occurrence,
    step: stepRun.number,
    index,
  };
  const number = worker.lastEndNumber + 1;
  board.onReport(
    worker,
    {
      clockMs: atMs,
      bornMs: 1,
      running: [],
      ended: [{ number, task: name, run, end, checkpoint }],
      hasMore: false,
    },
    // Requested before the runs began, so that it says nothing of the others.
    { sentMs: 0, nowMs: atMs, wallMs: atMs },
  );
}

function withCores(worker: WorkerRecord, cores: number): WorkerRecord["info"] {
  const { capacity } = worker.info;
  return { ...worker.info, capacity: { ...capacity, cpuMilli: cores * 1000 } };
}
