import assert from "node:assert/strict";
import { test } from "node:test";
import type { Job } from "./job";
import { createJobRecord, findTask, stateOf } from "./job_record";
import { JobPhase, type JobState } from "./job_state";
import { expandDue, listOccurrences, listStepRuns } from "./occurrences";
import type { JobRecord, StepRun } from "./task";
import { createJob, createStep } from "./test_samples";

const INTERVAL_MS = 2000;
/** Steps of 36 tasks: the largest that a deployment takes has four of them. */
const LARGE_STEP = { count: 36 };

function repeatJob(count: number, steps: Job["steps"]): Job {
  const repeat = { count, startMs: 0, intervalMs: INTERVAL_MS };
  return { ...createJob("a", steps), repeat };
}

function createRecord(job: Job, state?: JobState): JobRecord {
  const options = { revision: 1, queue: undefined, runFloor: 0 };
  return createJobRecord(job, { ...options, state });
}

function countTasks(record: JobRecord): number {
  return listStepRuns(record)
    .filter(({ hasTasks }) => hasTasks)
    .reduce((sum, { tasks }) => sum + tasks.length, 0);
}

function finish(record: JobRecord, occurrence: number): void {
  for (const stepRun of record.occurrences[occurrence] ?? []) {
    finishStep(stepRun);
  }
}

function finishStep(stepRun: StepRun): void {
  for (const task of stepRun.tasks) task.isDone = true;
  stepRun.doneCount = stepRun.step.count;
  stepRun.record.openSteps -= 1;
}

// Guards against a leader that runs out of memory because of one job with a long
// schedule: of 43,200 occurrences only those that are due are expanded.
test("occurrences: a schedule of 43,200 is expanded as it becomes due", () => {
  const steps = [
    createStep({ count: 6 }),
    createStep({ count: 6, after: [0] }),
  ];
  const record = createRecord(repeatJob(43_200, steps));
  assert.equal(record.openSteps, 2 * 43_200);
  for (let occurrence = 0; occurrence < 2000; occurrence += 1) {
    expandDue(record, occurrence * INTERVAL_MS);
    assert.deepEqual(
      listOccurrences(record).map(([first]) => first?.occurrence),
      [occurrence],
    );
    finish(record, occurrence);
  }
  expandDue(record, 0);
  assert.equal(record.openSteps, 2 * (43_200 - 2000));
  assert.deepEqual(stateOf(record).doneOccurrences, [[0, 1999]]);
});

// Guards against the same while no worker has room: all occurrences are due.
test("occurrences: of 43,200 that are due at once only some are expanded", () => {
  const steps = [
    createStep({ count: 6 }),
    createStep({ count: 6, after: [0] }),
  ];
  const record = createRecord(repeatJob(43_200, steps));
  expandDue(record, 43_200 * INTERVAL_MS);
  assert.equal(listOccurrences(record).length, 83);
  finish(record, 40);
  expandDue(record, 43_200 * INTERVAL_MS);
  assert.equal(record.occurrences[40], undefined);
  assert.equal(record.occurrences[83]?.length, 2);
});

// Guards against 200 of the largest jobs that fill the leader's memory: tasks
// are created for steps that are ready, and released once these are done.
test("occurrences: 200 large jobs hold the tasks of their ready steps", () => {
  const steps = [0, 1, 2, 3].map((number) =>
    createStep({ ...LARGE_STEP, after: number > 0 ? [number - 1] : [] }),
  );
  const before = process.memoryUsage().heapUsed;
  const records = Array.from({ length: 200 }, () =>
    createRecord(repeatJob(8, steps)),
  );
  for (const record of records) {
    expandDue(record, 8 * INTERVAL_MS);
    for (const [first] of listOccurrences(record)) assert.ok(first?.tasks);
    assert.equal(countTasks(record), 6 * LARGE_STEP.count);
  }
  const usedMb = (process.memoryUsage().heapUsed - before) / 1e6;
  assert.ok(usedMb < 40, `${usedMb} MB`);
  for (const record of records) {
    const [first] = listStepRuns(record);
    assert.ok(first);
    finishStep(first);
    expandDue(record, 8 * INTERVAL_MS);
    assert.equal(first.hasTasks, false);
  }
});

// Guards against a second run of a task whose occurrence was released: a late
// report of it still finds a task that is done.
test("occurrences: tasks of a released occurrence are found, and are done", () => {
  const record = createRecord(repeatJob(3, [createStep({ count: 2 })]));
  expandDue(record, 0);
  finish(record, 0);
  expandDue(record, INTERVAL_MS);
  assert.equal(record.occurrences[0], undefined);
  const task = findTask(record, { occurrence: 0, step: 0, index: 1 });
  assert.equal(task?.isDone, true);
  assert.equal(record.openSteps, 2);
  expandDue(record, INTERVAL_MS);
  assert.equal(record.occurrences[0], undefined);
});

const ODD_PLACES = [
  { occurrence: 3, step: 0, index: 0 },
  { occurrence: -1, step: 0, index: 0 },
  { occurrence: 0.5, step: 0, index: 0 },
  { occurrence: 1e9, step: 0, index: 0 },
  { occurrence: 0, step: 1, index: 0 },
  { occurrence: 0, step: 0, index: 2 },
  { occurrence: 0, step: 0, index: -1 },
];

// Guards against reports of odd tasks that expand what the job does not have.
test("occurrences: a job has no task outside its steps and occurrences", () => {
  const record = createRecord(repeatJob(3, [createStep({ count: 2 })]));
  for (const place of ODD_PLACES) {
    assert.equal(findTask(record, place), undefined);
  }
  assert.equal(listOccurrences(record).length, 1);
});

// Guards against occurrences that run again after a takeover.
test("occurrences: stored progress is restored, also that of earlier releases", () => {
  const job = repeatJob(10, [createStep({ count: 4 }), createStep()]);
  const record = createRecord(job);
  expandDue(record, 5 * INTERVAL_MS);
  for (const occurrence of [0, 1, 2, 4]) finish(record, occurrence);
  const [open] = record.occurrences[3] ?? [];
  assert.ok(open?.tasks[1]);
  open.tasks[1].isDone = true;
  open.doneCount = 1;
  expandDue(record, 5 * INTERVAL_MS);
  const state = JSON.parse(JSON.stringify(stateOf(record)));
  assert.deepEqual(state.doneOccurrences, [[0, 2], 4]);
  const again = createRecord(job, state);
  assert.equal(again.openSteps, record.openSteps);
  expandDue(again, 5 * INTERVAL_MS);
  assert.deepEqual(stateOf(again), stateOf(record));
  const former = createRecord(job, {
    phase: JobPhase.Running,
    queue: "q",
    sinceMs: 0,
    steps: [
      { occurrence: 0, step: 0, done: [0, 1, 2, 3], failures: [] },
      { occurrence: 0, step: 1, done: [0], failures: [] },
      { occurrence: 2, step: 0, done: [3], failures: [[1, [7]]] },
    ],
  });
  assert.equal(former.openSteps, 18);
  expandDue(former, 5 * INTERVAL_MS);
  assert.equal(former.occurrences[0], undefined);
  assert.equal(former.occurrences[2]?.[0]?.doneCount, 1);
});
