import assert from "node:assert/strict";
import { test } from "node:test";
import { InterferenceModel } from "@laburnumtrack/jobs/interference_model";
import type { Step } from "@laburnumtrack/jobs/job";
import type { Attempt, StepRun } from "@laburnumtrack/jobs/task";
import { NO_FEATURES, type RoundPlan, RoundPlanner } from "./round_planner";
import { coresOf, TestBoard, type TestJob } from "./test_boards";

const NOW_MS = 1000;
/** Queue of work that is due later than that of other jobs. */
const LATER = { targetMs: 90_000 };
const LARGE: Partial<Step> = { resources: coresOf(12), estimateMs: 2000 };

interface Case {
  readonly name: string;
  /** Jobs that wait, in order of their submission. */
  readonly jobs: readonly Omit<TestJob, "submittedMs">[];
  readonly running?: Partial<Step>;
  readonly isOff?: boolean;
  readonly prepare?: (steps: readonly StepRun[]) => void;
  /** Expected starts as `job.task worker`. */
  readonly starts?: readonly string[];
  /** Room that is held, as `job.task worker`. */
  readonly held: readonly string[];
}

/** Two workers of 16 cores; runs of 3 cores on w0 and of 1 core more on w1. */
const CASES: readonly Case[] = [
  {
    name: "the step that does not fit gets the room that is free soonest",
    jobs: [{ id: "large", step: LARGE }],
    held: ["large.0 w0"],
  },
  {
    name: "nothing is held without the setting",
    jobs: [{ id: "large", step: LARGE }],
    isOff: true,
    held: [],
  },
  {
    name: "long small work does not take the room bit by bit",
    jobs: [
      { id: "large", step: LARGE },
      { id: "small", step: { resources: coresOf(3), estimateMs: 9000 } },
    ],
    starts: ["small.0 w1"],
    held: ["large.0 w0"],
  },
  {
    name: "small work that ends in time uses the room until then",
    jobs: [
      { id: "large", step: { ...LARGE, count: 2 } },
      {
        id: "small",
        step: { resources: coresOf(3), estimateMs: 100, count: 2 },
        queue: LATER,
      },
    ],
    starts: ["small.0 w0", "small.1 w0"],
    held: ["large.0 w0", "large.1 w1"],
  },
  {
    name: "short work uses the room although longer work of its size may not",
    jobs: [
      { id: "large", step: { ...LARGE, count: 2 } },
      {
        id: "long",
        step: { resources: coresOf(3), estimateMs: 9000 },
        queue: LATER,
      },
      {
        id: "short",
        step: { resources: coresOf(3), estimateMs: 100 },
        queue: { ...LATER, targetMs: 190_000 },
      },
    ],
    starts: ["short.0 w0"],
    held: ["large.0 w0", "large.1 w1"],
  },
  {
    name: "no room is held where the task has failed before",
    jobs: [{ id: "large", step: LARGE }],
    prepare: ([large]) => large?.tasks[0]?.failedOn.add("w0"),
    held: ["large.0 w1"],
  },
  {
    name: "no room is held on workers without the label of the step",
    jobs: [{ id: "large", step: { ...LARGE, requiredLabel: "ssd" } }],
    held: [],
  },
  {
    name: "small work without an estimate does not use the room",
    jobs: [
      { id: "large", step: { ...LARGE, count: 2 } },
      {
        id: "small",
        step: { resources: coresOf(3), estimateMs: 0 },
        queue: LATER,
      },
    ],
    held: ["large.0 w0", "large.1 w1"],
  },
  {
    name: "only the first step that does not fit has room held",
    jobs: [
      { id: "large", step: LARGE },
      { id: "second", step: LARGE },
    ],
    held: ["large.0 w0"],
  },
  {
    name: "a gang has all its room held",
    jobs: [{ id: "gang", step: { ...LARGE, count: 2, isGang: true } }],
    held: ["gang.0 w0", "gang.1 w1"],
  },
  {
    name: "a gang that will not fit has no room held",
    jobs: [{ id: "gang", step: { ...LARGE, count: 3, isGang: true } }],
    held: [],
  },
  {
    name: "no room is held where the ends of runs are not known",
    jobs: [{ id: "large", step: LARGE }],
    running: { estimateMs: 0 },
    held: [],
  },
  {
    name: "no room is held for what ends beyond the horizon",
    jobs: [{ id: "large", step: LARGE }],
    running: { estimateMs: 9000 },
    held: [],
  },
  {
    name: "a step that is larger than any worker has no room held",
    jobs: [{ id: "large", step: { resources: coresOf(17) } }],
    held: [],
  },
];

for (const given of CASES) {
  // Guards against large steps that starve behind smaller ones, and against room
  // that is held for nothing.
  test(`lookahead: ${given.name}`, () => {
    const world = createWorld(given);
    const { starts } = plan(world, NOW_MS);
    const described = starts.map(({ task, worker }) => {
      return `${task.stepRun.record.job.id}.${task.index} ${worker.id}`;
    });
    assert.deepEqual(described, given.starts ?? []);
    assert.deepEqual(listHeld(world), given.held);
  });
}

// Guards against reservations that are lost before the room is free.
test("lookahead: the step starts when its room is free, not the smaller ones", () => {
  const world = createWorld({ jobs: [{ id: "large", step: LARGE }] });
  plan(world, NOW_MS);
  const small = { resources: coresOf(3), estimateMs: 9000, count: 9 };
  world.board.addJob({ id: "small", step: small, submittedMs: 500 });
  const first = plan(world, NOW_MS + 10).starts;
  assert.ok(first.every(({ worker }) => worker.id === "w1"));
  for (const attempt of world.runs.filter(({ worker }) => worker.id === "w0")) {
    attempt.worker.remove(attempt);
    attempt.task.attempts.length = 0;
    attempt.task.isDone = true;
  }
  const [start] = plan(world, NOW_MS + 500).starts;
  assert.equal(start?.task.stepRun, world.steps[0]);
  assert.equal(start?.worker.id, "w0");
});

// Guards against a reservation that is wrong and holds room for ever.
test("lookahead: room that does not become free in time is released for a while", () => {
  const world = createWorld({ jobs: [{ id: "large", step: LARGE }] });
  plan(world, NOW_MS);
  assert.equal(world.planner.holds.size, 1);
  // The runs should have ended by 2,000 ms at the latest, plus half the wait.
  plan(world, 2499);
  assert.equal(world.planner.holds.size, 1);
  plan(world, 2500);
  assert.equal(world.planner.holds.size, 0);
  plan(world, 3400);
  assert.equal(world.planner.holds.size, 0);
  plan(world, 3500);
  assert.equal(world.planner.holds.size, 1);
});

// Guards against an urgent step that waits behind the reservation of another.
test("lookahead: a more urgent step gets its own reservation", () => {
  const queue = { priority: 1 };
  const world = createWorld({ jobs: [{ id: "large", step: LARGE, queue }] });
  plan(world, NOW_MS);
  world.board.addJob({ id: "urgent", step: LARGE, queue: { priority: 0 } });
  world.board.addJob({ id: "last", step: LARGE, queue: { priority: 0 } });
  plan(world, NOW_MS + 10);
  assert.deepEqual(listHeld(world), ["large.0 w0", "urgent.0 w1"]);
});

// Guards against a gang that starts in part, or whose room is given away.
test("lookahead: a gang starts together once all its room is free", () => {
  const step = { ...LARGE, count: 2, isGang: true };
  const world = createWorld({ jobs: [{ id: "gang", step }] });
  plan(world, NOW_MS);
  const endOn = (id: string) => {
    for (const attempt of world.runs) {
      if (attempt.worker.id !== id) continue;
      attempt.worker.remove(attempt);
      attempt.task.attempts.length = 0;
      attempt.task.isDone = true;
    }
  };
  endOn("w0");
  const small = { resources: coresOf(6), estimateMs: 9000, count: 3 };
  world.board.addJob({ id: "small", step: small, submittedMs: 900 });
  assert.deepEqual(plan(world, NOW_MS + 100).starts, []);
  endOn("w1");
  const { starts } = plan(world, NOW_MS + 200);
  assert.deepEqual(
    starts.map(({ task }) => task.stepRun.record.job.id),
    ["gang", "gang"],
  );
});

interface World {
  readonly board: TestBoard;
  readonly planner: RoundPlanner;
  readonly runs: readonly Attempt[];
  readonly steps: readonly StepRun[];
}

function createWorld(given: Pick<Case, "jobs"> & Partial<Case>): World {
  const board = new TestBoard();
  const workers = [board.addWorker("w0", 16), board.addWorker("w1", 16)];
  const runs = workers.flatMap((worker, index) => {
    const step = {
      count: 3,
      resources: coresOf(index === 0 ? 3 : 4),
      // The runs on the second worker end later.
      estimateMs: index === 0 ? 1000 : 1200,
      ...given.running,
    };
    const running = board.addJob({ id: `running${index}`, step });
    return running.tasks.map((task) =>
      board.start(running, task.index, worker, 500),
    );
  });
  const steps = given.jobs.map((job, index) =>
    board.addJob({ ...job, submittedMs: 100 + index }),
  );
  given.prepare?.(steps);
  const planner = new RoundPlanner({
    board: board.board,
    features: { ...NO_FEATURES, isLookingAhead: given.isOff !== true },
    restoreMs: 100,
    origin: { startMs: 0, revision: 0 },
  });
  return { board, planner, runs, steps };
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

function listHeld({ board, planner }: World): string[] {
  const held: string[] = [];
  for (const worker of board.board.workers.values()) {
    for (const task of worker.reservations) {
      if (!planner.holds.isHeld(task)) continue;
      const { id } = task.stepRun.record.job;
      held.push(`${id}.${task.index} ${worker.id}`);
    }
  }
  return held.sort();
}
