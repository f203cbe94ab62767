import assert from "node:assert/strict";
import { test } from "node:test";
import type { Step } from "@laburnumtrack/jobs/job";
import { type Attempt, AttemptPhase } from "@laburnumtrack/jobs/task";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import { coresOf, TestBoard } from "./test_boards";
import { Timeline } from "./timeline";

const { POSITIVE_INFINITY: NEVER } = Number;

interface Case {
  readonly name: string;
  readonly step: Partial<Step>;
  readonly nowMs: number;
  readonly prepare?: (attempt: Attempt) => void;
  /** Reported progress: time in ms and percent. */
  readonly reports?: readonly (readonly [atMs: number, percent: number])[];
  readonly expectedMs: number;
  readonly latestMs: number;
}

const CASES: readonly Case[] = [
  {
    name: "by its estimate",
    step: { estimateMs: 1000 },
    nowMs: 400,
    expectedMs: 1000,
    latestMs: 1500,
  },
  {
    name: "by its estimate and one report",
    step: { estimateMs: 1000 },
    nowMs: 400,
    reports: [[300, 50]],
    expectedMs: 800,
    latestMs: 1050,
  },
  {
    name: "by its measured speed, whatever the estimate",
    step: { estimateMs: 1000 },
    nowMs: 1000,
    reports: [
      [200, 10],
      [1000, 50],
    ],
    expectedMs: 2000,
    latestMs: 2150,
  },
  {
    name: "never known without estimate and progress",
    step: { estimateMs: 0 },
    nowMs: 400,
    expectedMs: NEVER,
    latestMs: NEVER,
  },
  {
    name: "past its estimate it ends late",
    step: { estimateMs: 1000 },
    nowMs: 3000,
    expectedMs: 3300,
    latestMs: 4300,
  },
  {
    name: "a long-running task never ends",
    step: { isLongRunning: true },
    nowMs: 400,
    expectedMs: NEVER,
    latestMs: NEVER,
  },
  {
    name: "a paused run never ends",
    step: { estimateMs: 1000 },
    nowMs: 400,
    prepare: (attempt) => {
      attempt.pacePercent = 0;
    },
    expectedMs: NEVER,
    latestMs: NEVER,
  },
  {
    name: "a run that is being stopped ends soon",
    step: { estimateMs: 9000 },
    nowMs: 400,
    prepare: (attempt) => {
      attempt.phase = AttemptPhase.Stopping;
    },
    expectedMs: 650,
    latestMs: 650,
  },
];

for (const given of CASES) {
  // Guards against decisions on room that becomes free at another time.
  test(`timeline: end of a run: ${given.name}`, () => {
    const { attempt, worker, timeline } = createSituation(given.step);
    given.prepare?.(attempt);
    for (const [atMs, percent] of given.reports ?? []) {
      report(attempt, percent, atMs);
      timeline.onReport(worker, atMs);
    }
    const end = timeline.expectedEnd(attempt, given.nowMs);
    assert.deepEqual(
      [Math.round(end.expectedMs), Math.round(end.latestMs)],
      [given.expectedMs, given.latestMs],
    );
  });
}

// Guards against estimates of a queue that are always wrong by the same factor.
test("timeline: runs whose image takes twice the estimate are expected later", () => {
  const { worker, timeline, world } = createSituation({ estimateMs: 1000 });
  const stepRun = world.addJob({ id: "b", step: { count: 60 } });
  for (let index = 0; index < 60; index += 1) {
    const run = world.start(stepRun, index, world.addWorker(`x${index}`, 1));
    for (const [atMs, percent] of [
      [100, 5],
      [1100, 55],
    ] as const) {
      report(run, percent, atMs);
      timeline.onReport(run.worker, atMs);
    }
  }
  assert.ok(timeline.durationMs(stepRun) > 1700, "learnt");
  assert.ok(Math.abs(timeline.speeds.speedOf(worker, 1100) - 1) < 0.01);
});

// Guards against a slow worker that counts as slow for ever.
test("timeline: a worker whose runs are slow counts as slow until that fades", () => {
  const { worker, timeline, world } = createSituation({});
  const stepRun = world.addJob({ id: "b", step: { count: 20 } });
  for (let index = 0; index < 20; index += 1) {
    const run = world.start(stepRun, index, worker);
    for (const [atMs, percent] of [
      [100, 5],
      [1100, 35],
    ] as const) {
      report(run, percent, atMs);
      timeline.onReport(worker, atMs);
    }
  }
  assert.ok(timeline.speeds.speedOf(worker, 1100) < 0.6, "slow");
  assert.ok(timeline.speeds.speedOf(worker, 121_100) > 0.98, "forgotten");
});

// Guards against uncertain ends that are counted on.
test("timeline: the profile of a worker lists late ends of runs", () => {
  const { worker, timeline, world } = createSituation({ estimateMs: 1000 });
  const other = world.addJob({ id: "b", step: { resources: coresOf(4) } });
  world.start(other, 0, worker, 500);
  const lasting = world.addJob({ id: "c", step: { isLongRunning: true } });
  world.start(lasting, 0, worker);
  assert.deepEqual(timeline.profileOf(worker, 600, 5000), [
    { fromMs: 600, freeMilli: 10_000 },
    { fromMs: 1500, freeMilli: 11_000 },
    { fromMs: 2000, freeMilli: 15_000 },
  ]);
  assert.equal(timeline.profileOf(worker, 600, 1000).length, 2);
});

function report(attempt: Attempt, percent: number, atMs: number): void {
  attempt.percent = percent;
  attempt.progressMs = atMs;
}

function createSituation(step: Partial<Step>): {
  readonly attempt: Attempt;
  readonly worker: WorkerRecord;
  readonly timeline: Timeline;
  readonly world: TestBoard;
} {
  const world = new TestBoard();
  const worker = world.addWorker("w", 16);
  const stepRun = world.addJob({ id: "a", step });
  const attempt = world.start(stepRun, 0, worker);
  return { attempt, worker, timeline: new Timeline(), world };
}
