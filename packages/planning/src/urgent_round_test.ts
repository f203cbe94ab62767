import assert from "node:assert/strict";
import { test } from "node:test";
import { InterferenceModel } from "@laburnumtrack/jobs/interference_model";
import { mostUrgentPriority } from "@laburnumtrack/jobs/queue_config";
import { createQueue } from "@laburnumtrack/jobs/test_samples";
import { NO_FEATURES, RoundPlanner } from "./round_planner";
import { coresOf, TestBoard } from "./test_boards";

const PRIORITY_CASES: readonly {
  readonly name: string;
  readonly priorities: readonly number[];
  readonly expected: number | undefined;
}[] = [
  { name: "no queue", priorities: [], expected: undefined },
  { name: "one priority", priorities: [2, 2], expected: undefined },
  { name: "several priorities", priorities: [2, 0, 1], expected: 0 },
  { name: "a negative priority", priorities: [0, -1], expected: -1 },
];

for (const { name, priorities, expected } of PRIORITY_CASES) {
  // Guards against urgent rounds where nothing is more urgent than the rest.
  test(`urgent rounds: most urgent priority of ${name}`, () => {
    const queues = priorities.map((priority) => createQueue({ priority }));
    const config = { version: 1, queues, pools: [] };
    assert.equal(mostUrgentPriority(config), expected);
  });
}

const ROUND_CASES: readonly {
  readonly name: string;
  readonly cores: number;
  readonly isPreempting: boolean;
  /** Ids of the jobs that start. */
  readonly started: readonly string[];
}[] = [
  {
    // Guards against urgent jobs that wait until all waiting jobs are planned.
    name: "only jobs of the most urgent queues start",
    cores: 16,
    isPreempting: false,
    started: ["urgent"],
  },
  {
    name: "the same with preemption",
    cores: 16,
    isPreempting: true,
    started: ["urgent"],
  },
  {
    // Guards against stops that no round over all jobs has weighed.
    name: "without free room nothing starts or stops",
    cores: 8,
    isPreempting: true,
    started: [],
  },
];

for (const { name, cores, isPreempting, started } of ROUND_CASES) {
  test(`urgent rounds: ${name}`, () => {
    const board = new TestBoard();
    const worker = board.addWorker("w", cores);
    const less = { priority: 2 };
    const running = { resources: coresOf(8), isCheckpointing: true, count: 1 };
    const first = board.addJob({ id: "running", step: running, queue: less });
    board.start(first, 0, worker);
    const waiting = { resources: coresOf(1), count: 1 };
    board.addJob({ id: "waiting", step: waiting, queue: less });
    const step = { resources: coresOf(8), count: 1 };
    board.addJob({ id: "urgent", step });
    const planner = new RoundPlanner({
      board: board.board,
      features: { ...NO_FEATURES, isPreempting },
      restoreMs: 100,
      origin: { startMs: 0, revision: 0 },
    });
    const options = {
      nowMs: 10_000,
      wallMs: 0,
      limit: 100,
      model: new InterferenceModel(),
      isUsable: () => true,
      areRunsKnown: () => true,
    };
    const starts = planner.planUrgent(options, 0);
    assert.deepEqual(
      starts.map(({ task }) => task.stepRun.record.job.id),
      started,
    );
    assert.deepEqual(board.stops, []);
    assert.equal(planner.holds.size, 0);
  });
}
