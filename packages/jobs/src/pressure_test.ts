import assert from "node:assert/strict";
import { test } from "node:test";
import { JobBoard } from "./job_board";
import { PressureModel } from "./pressure_model";
import { planRelief, Relief } from "./pressure_relief";
import { RidgeRegression } from "./ridge_regression";
import type { Attempt } from "./task";
import { createStep, createWorkerInfo } from "./test_samples";
import type { WorkerRecord } from "./worker_record";

const TARGET_MS = 150;
/** Tail of a serving task without any load, in ms. */
const BEST_MS = 25;
const LOAD = 0.45;
const REPORT_MS = 400;
const FILLER_SHARE = 2000 / 16_000;

/** Pressure of fillers' images on the serving image, as it really is. */
const PRESSURES = { heavy: 4, light: 0.1 };

test("pressure: a regression finds slopes that appear one after the other", () => {
  const regression = new RidgeRegression(0.7, 0.5);
  for (let sample = 0; sample < 400; sample += 1) {
    const a = (sample % 4) / 10;
    const b = sample > 100 ? (sample % 3) / 10 : 0;
    const features = [{ name: "a", value: a }];
    if (b > 0) features.push({ name: "b", value: b });
    regression.add(features, 0.3 + 2 * a + 0.1 * b);
  }
  regression.solve();
  assert.ok(Math.abs(regression.slopeOf("a") - 2) < 0.1);
  assert.ok(Math.abs(regression.slopeOf("b") - 0.1) < 0.1);
  assert.ok(Math.abs(regression.base - 0.3) < 0.05);
  assert.equal(regression.slopeOf("c"), 0.7);
});

test("pressure: images that press are told from those that do not", () => {
  const model = new PressureModel();
  learn(model);
  assert.ok(model.pressureOf("heavy", "serving") > 2);
  assert.ok(model.pressureOf("light", "serving") < 0.7);
  const stage = createStage([]);
  const { worker } = stage;
  report(stage);
  model.observe(worker, 0);
  const heavy = createStep({ image: "heavy", isFiller: true, ...RESOURCES });
  const light = createStep({ image: "light", isFiller: true, ...RESOURCES });
  assert.ok(model.harmOf(heavy, worker, 0) > 0.3);
  assert.ok(model.harmOf(light, worker, 0) < 0.05);
});

test("pressure: a few seconds beside one task tell the images apart", () => {
  const model = new PressureModel();
  learn(model, 12);
  const heavy = model.pressureOf("heavy", "serving");
  assert.ok(heavy > 1.5);
  assert.ok(model.pressureOf("light", "serving") < heavy / 3);
});

test("pressure: harm goes on growing where all targets are missed", () => {
  const model = new PressureModel();
  learn(model);
  const { worker, serving } = createStage(["heavy", "heavy"]);
  serving.percent = 100;
  const heavy = createStep({ image: "heavy", isFiller: true, ...RESOURCES });
  assert.ok(model.utilizationOf(serving) > 1);
  assert.ok(model.harmOf(heavy, worker, 0) > 0.5);
});

test("pressure: what was learnt is taken over by the next leader", () => {
  const former = new PressureModel();
  learn(former);
  const next = new PressureModel();
  next.import(JSON.parse(JSON.stringify(former.export())));
  assert.ok(next.pressureOf("heavy", "serving") > 2);
  assert.ok(next.pressureOf("light", "serving") < 0.7);
});

const RELIEF_CASES: readonly {
  readonly name: string;
  readonly fillers: readonly ("heavy" | "light")[];
  /** Measured tail over its target. */
  readonly ratio: number;
  /** The same in the report before; else as now. */
  readonly formerRatio?: number;
  /** The tail is over its target for this long. */
  readonly overMs?: number;
  /** The fillers stand still for this long; undefined: they work. */
  readonly pausedMs?: number;
  /** Time for which the fillers are at work there; else 5 s. */
  readonly sinceMs?: number;
  /** Time of a restore from a checkpoint; else 600 ms. */
  readonly restoreMs?: number;
  readonly orders: readonly string[];
}[] = [
  { name: "all is well", fillers: ["heavy"], ratio: 0.7, orders: [] },
  {
    name: "the one that presses most yields",
    fillers: ["light", "heavy"],
    ratio: 1.2,
    orders: ["heavy pause"],
  },
  {
    name: "where a restore costs little the filler moves at once",
    fillers: ["light", "heavy"],
    ratio: 1.2,
    restoreMs: 100,
    orders: ["heavy move"],
  },
  {
    name: "a filler that has just come pauses, whatever a restore costs",
    fillers: ["light", "heavy"],
    ratio: 1.2,
    restoreMs: 100,
    sinceMs: 500,
    orders: ["heavy pause"],
  },
  {
    name: "all yield when the tail stays over its target",
    fillers: ["light", "heavy"],
    ratio: 3,
    overMs: 2000,
    orders: ["light pause", "heavy pause"],
  },
  {
    name: "fillers yield before a tail that rises quickly is over its target",
    fillers: ["light", "heavy"],
    ratio: 0.8,
    formerRatio: 0.3,
    orders: ["heavy pause"],
  },
  {
    name: "nothing more yields while a tail falls back under its target",
    fillers: ["light", "heavy"],
    ratio: 2,
    formerRatio: 5,
    orders: [],
  },
  {
    name: "a filler goes on when there is room again",
    fillers: ["light"],
    ratio: 0.3,
    pausedMs: 500,
    orders: ["light release"],
  },
  {
    name: "a filler stays paused while the tail is near its target",
    fillers: ["light"],
    ratio: 0.8,
    pausedMs: 500,
    orders: [],
  },
  {
    name: "a filler that stands still for long is moved",
    fillers: ["heavy"],
    ratio: 0.8,
    pausedMs: 2000,
    orders: ["heavy move"],
  },
];

for (const given of RELIEF_CASES) {
  test(`pressure relief: ${given.name}`, () => {
    const { fillers: images, ratio, overMs, pausedMs, orders } = given;
    const { restoreMs = 600, sinceMs = 5000 } = given;
    const model = new PressureModel();
    learn(model);
    const nowMs = 100_000;
    const { worker, serving, fillers } = createStage(images);
    for (const filler of fillers) filler.confirmedMs = nowMs - sinceMs;
    serving.figure = ratio * TARGET_MS;
    serving.formerFigure = (given.formerRatio ?? ratio) * TARGET_MS;
    serving.percent = 100;
    if (overMs !== undefined) serving.overSinceMs = nowMs - overMs;
    else if (ratio > 1) serving.overSinceMs = nowMs;
    for (const filler of fillers) {
      if (pausedMs === undefined) continue;
      filler.pausedMs = nowMs - pausedMs;
      filler.pacePercent = 0;
    }
    const planned = planRelief(model, worker, { nowMs, restoreMs }).map(
      ({ filler, relief }) => `${filler.task.stepRun.step.image} ${relief}`,
    );
    assert.deepEqual(planned, orders);
  });
}

test("pressure relief: the next waits until the last has shown", () => {
  const model = new PressureModel();
  learn(model);
  const { worker, serving } = createStage(["heavy", "heavy"]);
  serving.figure = 2 * TARGET_MS;
  serving.percent = 100;
  serving.overSinceMs = 0;
  const restoreMs = 600;
  const [first] = planRelief(model, worker, { nowMs: 1000, restoreMs });
  assert.equal(first?.relief, Relief.Pause);
  const next = planRelief(model, worker, { nowMs: 1100, restoreMs });
  assert.deepEqual(next, []);
});

const RESOURCES = {
  resources: { cpuMilli: 2000, memoryMb: 100, accelerators: 0 },
};

interface Stage {
  readonly worker: WorkerRecord;
  readonly serving: Attempt;
  readonly fillers: readonly Attempt[];
}

function createStage(images: readonly string[]): Stage {
  const board = new JobBoard(
    { onChanged: () => {}, onStop: () => {}, onEnd: () => {} },
    { runFloor: 0, completeMs: 0 },
  );
  const worker = board.addWorker(createWorkerInfo("w"));
  const steps = [
    createStep({ image: "serving", targetMs: TARGET_MS, isLongRunning: true }),
    ...images.map((image) =>
      createStep({
        image,
        isFiller: true,
        isCheckpointing: true,
        ...RESOURCES,
      }),
    ),
  ];
  const record = board.addJob(
    { id: "a", queue: "q", spec: "", steps, repeat: undefined, submittedMs: 0 },
    1,
  );
  const attempts = (record.occurrences[0] ?? []).map((stepRun) => {
    const task = stepRun.tasks[0];
    assert.ok(task);
    const attempt = board.onSent(task, 1, worker, 0);
    board.onStarted(attempt, 0);
    return attempt;
  });
  const [serving, ...fillers] = attempts;
  assert.ok(serving);
  return { worker, serving, fillers };
}

/** Sets the figures that a worker would report, by the fillers at work. */
function report({ serving, fillers }: Stage, load = LOAD): void {
  let utilization = load;
  for (const { task, pacePercent } of fillers) {
    const image = task.stepRun.step.image as keyof typeof PRESSURES;
    utilization += (PRESSURES[image] * FILLER_SHARE * pacePercent) / 100;
  }
  serving.percent = 100;
  serving.formerFigure = serving.figure;
  serving.figure = BEST_MS / Math.max(0.02, 1 - utilization);
}

/** Lets a model see fillers of both images come and go beside a task. */
function learn(model: PressureModel, rounds = 60): void {
  const quiet = createStage([]);
  quiet.serving.percent = 100;
  quiet.serving.figure = BEST_MS;
  model.observe(quiet.worker, 0);
  const mixes = [[], ["light"], ["heavy"], ["light", "heavy"]];
  // The tasks' own loads differ: only what changes beside one tells.
  const stages = [0.2, LOAD].map((load) => ({
    load,
    stage: createStage(["light", "heavy"]),
  }));
  for (let round = 0; round < rounds; round += 1) {
    const mix = mixes[(round >> 1) % mixes.length] ?? [];
    for (const { load, stage } of stages) {
      for (const filler of stage.fillers) {
        const isActive = mix.includes(filler.task.stepRun.step.image);
        filler.pacePercent = isActive ? 100 : 0;
      }
      report(stage, load);
      model.observe(stage.worker, (round + 1) * REPORT_MS);
    }
  }
}
