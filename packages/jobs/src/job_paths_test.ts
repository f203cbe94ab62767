import assert from "node:assert/strict";
import { test } from "node:test";
import { InterferenceModel } from "./interference_model";
import { criticalPathMs, remainingPathMs } from "./job";
import { JobBoard } from "./job_board";
import { type PlanOptions, planStarts } from "./start_planner";
import {
  createJob,
  createQueue,
  createStep,
  createWorkerInfo,
} from "./test_samples";

const ESTIMATE_MS = 10;
const ROUNDS = 3;
/**
 * Times that a planning round may look at the dependencies of a step: it checks
 * whether the step is ready. One more look per job is needed for its paths.
 */
const READS_PER_ROUND = 2;

const PLAN: PlanOptions = {
  nowMs: 0,
  wallMs: 0,
  limit: 2000,
  model: new InterferenceModel(),
  isUsable: () => true,
  areRunsKnown: () => true,
};
const NOTHING = { cpuMilli: 0, memoryMb: 0, accelerators: 0 };

interface Shape {
  readonly name: string;
  /** The steps that each step depends on. */
  readonly after: readonly (readonly number[])[];
  /** Steps in the longest chain. */
  readonly longest: number;
}

const SHAPES: readonly Shape[] = [
  { name: "12 stages of 4 steps", after: createStages(12, 4), longest: 12 },
  { name: "4 stages of 12 steps", after: createStages(4, 12), longest: 4 },
  { name: "500 stages of 2 steps", after: createStages(500, 2), longest: 500 },
  { name: "2 stages of 500 steps", after: createStages(2, 500), longest: 2 },
  {
    name: "a chain of 1,000 steps",
    after: createStages(1000, 1),
    longest: 1000,
  },
  {
    name: "200 steps that each follow all steps before",
    after: Array.from({ length: 200 }, (_, number) => listNumbers(0, number)),
    longest: 200,
  },
  {
    name: "1,000 steps that each follow the three before",
    after: Array.from({ length: 1000 }, (_, number) =>
      listNumbers(Math.max(0, number - 3), number),
    ),
    longest: 1000,
  },
];

for (const { name, after, longest } of SHAPES) {
  // Guards against leaders that hang: ranking a job visited every path through
  // its steps, of which there are exponentially many.
  test(`job paths: planning looks at each step once a round for ${name}`, () => {
    const limit = after.length * (ROUNDS * READS_PER_ROUND + 1);
    let reads = 0;
    const steps = after.map((numbers) =>
      Object.defineProperty(
        createStep({ estimateMs: ESTIMATE_MS, resources: NOTHING }),
        "after",
        {
          get: () => {
            reads += 1;
            assert.ok(
              reads <= limit,
              `dependencies are read over ${limit} times`,
            );
            return numbers;
          },
        },
      ),
    );
    const board = createBoard();
    const large = createJob("large", steps);
    for (const job of [large, createJob("small", [createStep()])]) {
      board.addJob(job, 1, { queue: createQueue(), nowMs: 0, wallMs: 0 });
    }
    const started = new Set<string>();
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const { task } of planStarts(board, PLAN)) {
        started.add(task.stepRun.record.job.id);
      }
    }
    assert.deepEqual(started, new Set(["large", "small"]));
    assert.equal(criticalPathMs(large), longest * ESTIMATE_MS);
  });
}

test("job paths: the longest chain after a step counts", () => {
  const after = [[], [0], [0], [1, 2], []];
  const estimates = [1, 20, 300, 4000, 50_000];
  const job = createJob(
    "a",
    after.map((numbers, index) =>
      createStep({ after: numbers, estimateMs: estimates[index] ?? 0 }),
    ),
  );
  const lengths = job.steps.map((_, number) => remainingPathMs(job, number));
  assert.deepEqual(lengths, [4301, 4020, 4300, 4000, 50_000]);
  assert.equal(criticalPathMs(job), 50_000);
  assert.equal(remainingPathMs(job, 5), 0);
});

/** The dependencies of stages in which each step follows the stage before. */
function createStages(stages: number, width: number): number[][] {
  return Array.from({ length: stages * width }, (_, number) => {
    const first = number - (number % width);
    return listNumbers(Math.max(0, first - width), first);
  });
}

/** The numbers from `from` to below `to`. */
function listNumbers(from: number, to: number): number[] {
  return Array.from({ length: to - from }, (_, index) => from + index);
}

/** A board with one idle worker. */
function createBoard(): JobBoard {
  const board = new JobBoard(
    { onChanged: () => {}, onStop: () => {}, onEnd: () => {} },
    { runFloor: 0, allJobsKnownMs: 0 },
  );
  board.addWorker(createWorkerInfo("w"));
  return board;
}
