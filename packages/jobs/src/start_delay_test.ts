import assert from "node:assert/strict";
import { test } from "node:test";
import { JobBoard } from "./job_board";
import { DelayReason, listStartDelays, listUsablePools } from "./start_delay";
import type { Attempt, Task } from "./task";
import {
  createJob,
  createQueue,
  createStep,
  createWorkerInfo,
} from "./test_samples";
import type { WorkerRecord } from "./worker_record";

interface Situation {
  readonly board: JobBoard;
  readonly task: Task;
  readonly worker: WorkerRecord;
  /** Records a start of the task on the worker. */
  readonly start: () => Attempt;
}

interface Case {
  readonly name: string;
  readonly prepare: (situation: Situation) => void;
  readonly isUsable?: boolean;
  readonly areRunsKnown?: boolean;
  readonly reason: DelayReason | undefined;
}

const NOW_MS = 1000;

const CASES: readonly Case[] = [
  { name: "for room", prepare: () => {}, reason: DelayReason.NoRoom },
  {
    name: "for a worker",
    prepare: () => {},
    isUsable: false,
    reason: DelayReason.NoWorker,
  },
  {
    name: "until runs of former leaders are known",
    prepare: () => {},
    areRunsKnown: false,
    reason: DelayReason.RunsUnknown,
  },
  {
    name: "after a failure",
    prepare: ({ task }) => {
      task.notBeforeMs = NOW_MS + 1;
    },
    reason: DelayReason.Backoff,
  },
  {
    name: "for the lease of a silent worker",
    prepare: ({ start, worker }) => {
      start();
      worker.isSilent = true;
    },
    reason: DelayReason.SilentWorker,
  },
  {
    name: "for the end of a stopped run",
    prepare: ({ start, board }) => board.stop(start(), "test"),
    reason: DelayReason.Stopping,
  },
  {
    name: "not while it runs",
    prepare: ({ start }) => start(),
    reason: undefined,
  },
];

for (const {
  name,
  prepare,
  isUsable = true,
  areRunsKnown = true,
  reason,
} of CASES) {
  test(`delay reason: a task delays ${name}`, () => {
    const listener = { onChanged() {}, onStop() {}, onEnd() {} };
    const board = new JobBoard(listener, { runFloor: 0, allJobsKnownMs: 0 });
    const worker = board.addWorker(createWorkerInfo("w0"));
    const job = createJob("a", [createStep()]);
    const queue = createQueue();
    const record = board.addJob(job, 1, { queue, nowMs: 0, wallMs: 0 });
    const task = record.occurrences[0]?.[0]?.tasks[0];
    assert.ok(task);
    const start = () => board.onSent(task, 1, worker, 0);
    prepare({ board, task, worker, start });
    const options = {
      nowMs: NOW_MS,
      wallMs: NOW_MS,
      isUsable: () => isUsable,
      areRunsKnown: () => areRunsKnown,
    };
    const pools = listUsablePools(board.workers.values(), options);
    const delays = listStartDelays(record, pools, options);
    assert.deepEqual(
      delays.map((delay) => delay.reason),
      reason === undefined ? [] : [reason],
    );
  });
}
