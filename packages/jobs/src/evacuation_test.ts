import assert from "node:assert/strict";
import { test } from "node:test";
import { planEvacuation } from "./evacuation";
import { StayReason, summarizeEvacuation } from "./evacuation_progress";
import { InterferenceModel } from "./interference_model";
import type { Step } from "./job";
import { JobBoard } from "./job_board";
import { planStarts } from "./start_planner";
import { type Attempt, AttemptPhase, type Task } from "./task";
import {
  createJob,
  createQueue,
  createStep,
  createWorkerInfo,
} from "./test_samples";
import type { WorkerRecord } from "./worker_record";

interface Situation {
  readonly board: JobBoard;
  /** The worker in the evacuated domain. */
  readonly inside: WorkerRecord;
  /** Workers elsewhere, each with room for one task. */
  readonly others: readonly WorkerRecord[];
  /** Runs of all tasks of the step, inside, at full speed. */
  readonly attempts: readonly Attempt[];
}

interface Case {
  readonly name: string;
  readonly step: Partial<Step>;
  /** Number of the other workers; 4 by default. */
  readonly places?: number;
  /** Changes the situation before the plan. */
  readonly prepare?: (situation: Situation) => void;
  /** Indices of the tasks that are moved. */
  readonly moved: readonly number[];
}

const NOW_MS = 10_000;
const ALL_CORES = { cpuMilli: 16_000, memoryMb: 1000, accelerators: 0 };
const LONG_RUNNING = { isLongRunning: true, resources: ALL_CORES, count: 4 };
const CHECKPOINTING = {
  isCheckpointing: true,
  estimateMs: 8000,
  resources: ALL_CORES,
};

const CASES: readonly Case[] = [
  {
    name: "long-running tasks move within the limit of their step",
    step: { ...LONG_RUNNING, disruptionLimit: 2 },
    moved: [0, 1],
  },
  {
    name: "without a limit, a quarter of the long-running tasks moves",
    step: { ...LONG_RUNNING, count: 8 },
    places: 8,
    moved: [0, 1],
  },
  {
    name: "a task that is away already counts towards the limit",
    step: { ...LONG_RUNNING, disruptionLimit: 1 },
    prepare: ({ attempts: [, second] }) => {
      assert.ok(second);
      second.worker.remove(second);
      second.task.attempts.length = 0;
    },
    moved: [],
  },
  {
    name: "a task that is being stopped counts towards the limit",
    step: { ...LONG_RUNNING, disruptionLimit: 1 },
    prepare: ({ attempts: [, second] }) => {
      assert.ok(second);
      second.phase = AttemptPhase.Stopping;
    },
    moved: [],
  },
  {
    name: "a moved task counts until its new run reports full speed",
    step: { ...LONG_RUNNING, disruptionLimit: 1 },
    prepare: ({ board, others: [other], attempts: [first] }) => {
      assert.ok(first && other);
      first.worker.remove(first);
      first.task.attempts.length = 0;
      const next = board.onSent(first.task, 2, other, 0);
      board.onStarted(next, 0);
      next.percent = 99;
      next.wasAtFullSpeed = false;
    },
    moved: [],
  },
  {
    name: "a moved task counts no more at full speed",
    step: { ...LONG_RUNNING, disruptionLimit: 1 },
    prepare: ({ board, others: [other], attempts: [first] }) => {
      assert.ok(first && other);
      first.worker.remove(first);
      first.task.attempts.length = 0;
      const next = board.onSent(first.task, 2, other, 0);
      board.onStarted(next, 0);
      next.percent = 100;
      next.wasAtFullSpeed = true;
    },
    moved: [1],
  },
  {
    name: "a task that is slowed after it was at full speed is not away",
    step: { ...LONG_RUNNING, disruptionLimit: 1 },
    prepare: ({ attempts: [, second] }) => {
      assert.ok(second);
      second.percent = 80;
    },
    moved: [0],
  },
  {
    name: "of tasks inside, the one that is not at full speed moves first",
    step: { ...LONG_RUNNING, disruptionLimit: 1 },
    prepare: ({ attempts: [, , third] }) => {
      assert.ok(third);
      third.wasAtFullSpeed = false;
    },
    moved: [2],
  },
  {
    name: "no more tasks are stopped than there is room elsewhere",
    step: { ...LONG_RUNNING, disruptionLimit: 4 },
    places: 1,
    moved: [0],
  },
  {
    name: "everything stays while there is no room elsewhere",
    step: { ...LONG_RUNNING, disruptionLimit: 4 },
    places: 0,
    moved: [],
  },
  {
    name: "everything stays while all domains are evacuated",
    step: { ...LONG_RUNNING, disruptionLimit: 4 },
    prepare: ({ others }) => {
      for (const other of others) other.isInEvacuation = true;
    },
    moved: [],
  },
  {
    name: "a long-running task of a gang stays",
    step: { ...LONG_RUNNING, disruptionLimit: 4, isGang: true },
    moved: [],
  },
  {
    name: "a gang that saves checkpoints stays",
    step: { ...CHECKPOINTING, isGang: true },
    moved: [],
  },
  {
    name: "a run that saves checkpoints moves",
    step: CHECKPOINTING,
    moved: [0],
  },
  {
    name: "a run of unknown duration that saves checkpoints moves",
    step: { ...CHECKPOINTING, estimateMs: 0 },
    moved: [0],
  },
  {
    name: "a run that soon ends stays",
    step: CHECKPOINTING,
    prepare: ({ attempts: [attempt] }) => {
      assert.ok(attempt);
      attempt.percent = 70;
    },
    moved: [],
  },
  {
    name: "a run without checkpoints stays",
    step: { ...CHECKPOINTING, isCheckpointing: false },
    moved: [],
  },
  {
    name: "a run that saves checkpoints stays while more urgent tasks wait",
    step: CHECKPOINTING,
    prepare: ({ board }) => {
      addJob(board, "urgent", createStep(), 0);
    },
    moved: [],
  },
  {
    name: "a run that saves checkpoints moves while only a job waits that may fit nowhere",
    step: CHECKPOINTING,
    prepare: ({ board }) => {
      const [task] = addJob(board, "urgent", createStep(), 0);
      assert.ok(task);
      task.stepRun.idleSinceMs = NOW_MS - 11_000;
    },
    moved: [0],
  },
  {
    name: "only so many runs with checkpoints are on their way",
    step: {
      ...CHECKPOINTING,
      count: 70,
      resources: { cpuMilli: 100, memoryMb: 1, accelerators: 0 },
    },
    moved: Array.from({ length: 64 }, (_, index) => index),
  },
  {
    name: "a run that saves checkpoints moves while less urgent tasks wait",
    step: CHECKPOINTING,
    prepare: ({ board }) => {
      addJob(board, "relaxed", createStep(), 2);
    },
    moved: [0],
  },
  {
    name: "a long-running task moves while more urgent tasks wait",
    step: { ...LONG_RUNNING, disruptionLimit: 1 },
    prepare: ({ board }) => {
      addJob(board, "urgent", createStep(), 0);
    },
    moved: [0],
  },
  {
    name: "a task with another copy at work stays",
    step: { ...CHECKPOINTING, isSpeculative: true },
    prepare: ({ board, others: [other], attempts: [attempt] }) => {
      assert.ok(attempt && other);
      board.onStarted(board.onSent(attempt.task, 2, other, 0), 0);
    },
    moved: [],
  },
  {
    name: "nothing moves from a worker that does not answer",
    step: CHECKPOINTING,
    prepare: ({ inside }) => {
      inside.isSilent = true;
    },
    moved: [],
  },
  {
    name: "nothing moves once the evacuation is lifted",
    step: CHECKPOINTING,
    prepare: ({ inside }) => {
      inside.isInEvacuation = false;
    },
    moved: [],
  },
];

for (const { name, step, places = 4, prepare, moved } of CASES) {
  // Guards against an evacuation that itself takes services down, or that stops
  // work which then finds no room.
  test(`evacuation: ${name}`, () => {
    const situation = createSituation(createStep(step), places);
    prepare?.(situation);
    const moves = planEvacuation(situation.board, createOptions());
    const indices = moves.map(({ task }) => task.index).sort((a, b) => a - b);
    assert.deepEqual(indices, moved);
  });
}

// Guards against a task that is stopped for the evacuation and then finds its
// room taken by others.
test("evacuation: the room of a stopped task is kept until it starts there", () => {
  const step = createStep({ ...LONG_RUNNING, count: 1, disruptionLimit: 1 });
  const { board, attempts, others } = createSituation(step, 1);
  const [attempt] = attempts;
  assert.ok(attempt);
  const options = createOptions();
  assert.equal(planEvacuation(board, options).length, 1);
  board.stop(attempt, "its failure domain is evacuated");
  addJob(board, "b", createStep({ count: 4 }), 0);
  assert.deepEqual(planEvacuation(board, options), []);
  assert.deepEqual(planStarts(board, options), []);
  board.onRefused(attempt, 0);
  const [start] = planStarts(board, options);
  assert.equal(start?.task, attempt.task);
  assert.equal(start?.worker, others[0]);
});

// Guards against room that stays held back in a domain that is evacuated next.
test("evacuation: room in a domain that is evacuated meanwhile is given up", () => {
  const step = createStep({ ...LONG_RUNNING, count: 1, disruptionLimit: 1 });
  const { board, attempts, others } = createSituation(step, 2);
  const [attempt] = attempts;
  assert.ok(attempt);
  assert.equal(planEvacuation(board, createOptions()).length, 1);
  const { reservedOn } = attempt.task;
  assert.ok(reservedOn);
  reservedOn.isInEvacuation = true;
  assert.equal(planEvacuation(board, createOptions()).length, 1);
  assert.notEqual(attempt.task.reservedOn, reservedOn);
  assert.equal(reservedOn.reservations.size, 0);
  assert.ok(others.includes(reservedOn));
});

const STAY_CASES: readonly {
  readonly name: string;
  readonly step: Partial<Step>;
  readonly prepare?: (situation: Situation) => void;
  readonly reasons: Partial<Record<StayReason, number>>;
}[] = [
  {
    name: "tasks wait for those that are away",
    step: { ...LONG_RUNNING, disruptionLimit: 1 },
    prepare: ({ attempts: [first] }) => {
      assert.ok(first);
      first.phase = AttemptPhase.Stopping;
    },
    reasons: { [StayReason.Stopping]: 1, [StayReason.DisruptionLimit]: 3 },
  },
  {
    name: "no room elsewhere",
    step: { ...LONG_RUNNING, disruptionLimit: 1 },
    reasons: { [StayReason.NoRoom]: 4 },
  },
  {
    name: "a gang",
    step: { ...CHECKPOINTING, count: 2, isGang: true },
    reasons: { [StayReason.Gang]: 2 },
  },
  {
    name: "runs without checkpoints",
    step: { count: 2 },
    reasons: { [StayReason.EndsByItself]: 2 },
  },
  {
    name: "runs with checkpoints and no room",
    step: CHECKPOINTING,
    reasons: { [StayReason.NoRoom]: 1 },
  },
  {
    name: "more urgent tasks wait",
    step: CHECKPOINTING,
    prepare: ({ board }) => {
      addJob(board, "urgent", createStep(), 0);
    },
    reasons: { [StayReason.MoreUrgent]: 1 },
  },
  {
    name: "a worker does not answer",
    step: CHECKPOINTING,
    prepare: ({ inside }) => {
      inside.isSilent = true;
    },
    reasons: { [StayReason.SilentWorker]: 1 },
  },
  {
    name: "a start is not confirmed",
    step: CHECKPOINTING,
    prepare: ({ attempts: [attempt] }) => {
      assert.ok(attempt);
      attempt.phase = AttemptPhase.Starting;
    },
    reasons: { [StayReason.Starting]: 1 },
  },
];

for (const { name, step, prepare, reasons } of STAY_CASES) {
  // Guards against an evacuation that takes long, and nobody can tell why.
  test(`evacuation progress: ${name}`, () => {
    const situation = createSituation(createStep(step), 0);
    prepare?.(situation);
    const { board, attempts } = situation;
    const progress = summarizeEvacuation(board, "d", createOptions());
    assert.deepEqual(progress, {
      workers: 1,
      runs: attempts.length,
      longRunning: step.isLongRunning ? attempts.length : 0,
      reasons,
    });
    const { runs } = summarizeEvacuation(board, "unknown", createOptions());
    assert.equal(runs, 0);
  });
}

function createOptions() {
  return {
    nowMs: NOW_MS,
    wallMs: NOW_MS,
    limit: 100,
    model: new InterferenceModel(),
    isUsable: ({ isInEvacuation }: WorkerRecord) => !isInEvacuation,
    areRunsKnown: () => true,
  };
}

function createSituation(step: Step, places: number): Situation {
  const listener = { onChanged() {}, onStop() {}, onEnd() {} };
  const board = new JobBoard(listener, { runFloor: 0, allJobsKnownMs: 0 });
  const large = { cpuMilli: 640_000, memoryMb: 64_000, accelerators: 0 };
  const inside = board.addWorker(
    createWorkerInfo("inside", { capacity: large }),
  );
  inside.isInEvacuation = true;
  const others = Array.from({ length: places }, (_, index) =>
    board.addWorker(createWorkerInfo(`w${index}`)),
  );
  const attempts = addJob(board, "a", step, 1).map((task) => {
    const attempt = board.onSent(task, 1, inside, 0);
    board.onStarted(attempt, 0);
    attempt.percent = step.isLongRunning ? 100 : 10;
    attempt.wasAtFullSpeed = step.isLongRunning;
    return attempt;
  });
  return { board, inside, others, attempts };
}

function addJob(
  board: JobBoard,
  id: string,
  step: Step,
  priority: number,
): Task[] {
  const job = createJob(id, [step]);
  const queue = createQueue({ priority });
  const record = board.addJob(job, 1, { queue, nowMs: 0, wallMs: 0 });
  return record.occurrences[0]?.[0]?.tasks ?? [];
}
