import assert from "node:assert/strict";
import { test } from "node:test";
import { JobBoard } from "@laburnumtrack/jobs/job_board";
import { RunEnd } from "@laburnumtrack/jobs/task_worker";
import {
  createJob,
  createQueue,
  createStep,
  createWorkerInfo,
} from "@laburnumtrack/jobs/test_samples";
import type { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import { createJournal } from "@laburnumtrack/process/journal";
import { Metrics } from "@laburnumtrack/process/metrics";
import { MemoryTable } from "@laburnumtrack/standins/memory_table";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { RunMonitor } from "./run_monitor";

const CASES: readonly {
  readonly name: string;
  readonly coldness: number;
  readonly isUsed: boolean;
}[] = [
  { name: "a warm worker is set aside", coldness: 0, isUsed: false },
  { name: "a cold worker is not", coldness: 0.5, isUsed: true },
];

for (const { name, coldness, isUsed } of CASES) {
  // Guards against workers that are set aside because runs are slow, and fail,
  // right after their start.
  test(`cold runs: after failures of several jobs ${name}`, () => {
    const board = createBoard();
    const monitor = createMonitor(board);
    const worker = board.addWorker(createWorkerInfo("w"));
    worker.coldness = coldness;
    endRuns(board, monitor, worker, RunEnd.Failed);
    assert.equal(monitor.exclusionOf(worker, 0) === undefined, isUsed);
  });
}

for (const coldness of [0, 0.5]) {
  // Guards against a worker that turns cold while it is set aside, and is then
  // probed until it is warm although its runs are done.
  test(`cold runs: a run that is done on a worker with coldness ${coldness} ends its suspicion`, () => {
    const board = createBoard();
    const monitor = createMonitor(board);
    const worker = board.addWorker(createWorkerInfo("w"));
    endRuns(board, monitor, worker, RunEnd.Failed);
    assert.notEqual(monitor.exclusionOf(worker, 0), undefined);
    worker.coldness = coldness;
    endRuns(board, monitor, worker, RunEnd.Done);
    assert.equal(monitor.exclusionOf(worker, 0), undefined);
  });
}

for (const { coldness, observed } of [
  { coldness: 0, observed: 1 },
  { coldness: 0.5, observed: 0 },
]) {
  // Guards against estimates that are learnt from slow starts.
  test(`cold runs: reports of a worker with coldness ${coldness} are learnt from ${observed} times`, () => {
    const board = createBoard();
    const monitor = createMonitor(board);
    const worker = board.addWorker(createWorkerInfo("w"));
    worker.coldness = coldness;
    let calls = 0;
    monitor.model.observe = () => {
      calls += 1;
    };
    monitor.onReport(worker);
    assert.equal(calls, observed);
  });
}

/** Ends runs of several jobs on a worker. */
function endRuns(
  board: JobBoard,
  monitor: RunMonitor,
  worker: WorkerRecord,
  end: RunEnd,
): void {
  for (let job = 0; job < 6; job += 1) {
    const record = board.addJob(createJob(`j${job}`, [createStep()]), 1, {
      queue: createQueue(),
      nowMs: 0,
      wallMs: 0,
    });
    const task = record.occurrences[0]?.[0]?.tasks[0];
    assert.ok(task);
    const name = { jobId: `j${job}`, occurrence: 0, step: 0, index: 0 };
    const ended = { number: job + 1, task: name, run: 1, end, checkpoint: "" };
    monitor.onEnd(task, ended, worker);
  }
}

function createBoard(): JobBoard {
  return new JobBoard(
    { onChanged() {}, onStop() {}, onEnd() {} },
    { runFloor: 0, allJobsKnownMs: 0 },
  );
}

function createMonitor(board: JobBoard): RunMonitor {
  return new RunMonitor({
    clock: new VirtualClock(),
    table: new MemoryTable(),
    journal: createJournal("test", "fatal"),
    metrics: new Metrics(),
    board,
    restoreMs: 100,
    sendPace() {},
  });
}
