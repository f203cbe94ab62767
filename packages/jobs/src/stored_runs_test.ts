import assert from "node:assert/strict";
import { test } from "node:test";
import { JobBoard } from "./job_board";
import { MAX_ROW_BYTES, readRuns } from "./job_rows";
import { jsonBytes } from "./json_bytes";
import { adoptRuns, createRunRows, listSilentRuns } from "./stored_runs";
import { RunEnd } from "./task_worker";
import { createJob, createStep, createWorkerInfo } from "./test_samples";
import type { WorkerRecord } from "./worker_record";

/** Ends are stored as soon as they are known. */
const ALL_STORED = {
  storedEndOf: ({ lastEndNumber }: WorkerRecord) => lastEndNumber,
};
const JOB = createJob("a", [createStep({ count: 1500 })]);
const NAME = { jobId: "b", occurrence: 0, step: 0, index: 0 };

function createBoard(workers: number) {
  const listener = { onChanged() {}, onStop() {}, onEnd() {} };
  const board = new JobBoard(listener, { runFloor: 0, allJobsKnownMs: 0 });
  const record = board.addJob(JOB, 1, { nowMs: 0, wallMs: 0 });
  for (let index = 0; index < workers; index += 1) {
    const worker = board.addWorker(createWorkerInfo(`w${index}`));
    worker.hasReported = true;
    worker.bornMs = 7;
  }
  return { board, tasks: record.occurrences[0]?.[0]?.tasks ?? [] };
}

/** Workers whose runs the next leader would not know completely. */
const INCOMPLETE: readonly {
  readonly name: string;
  readonly prepare: (worker: WorkerRecord) => void;
}[] = [
  {
    name: "has not reported",
    prepare: (worker) => {
      worker.hasReported = false;
    },
  },
  {
    name: "runs a task of an unknown job",
    prepare: (worker) => {
      const run = { run: 1, checkpoint: "", percent: 0, measurement: 0 };
      worker.unknownRuns.push({ task: NAME, ...run });
    },
  },
  {
    name: "has ended a task of an unknown job",
    prepare: (worker) => {
      const run = { number: 1, run: 1, end: RunEnd.Done, checkpoint: "" };
      worker.deferredEnds.push({ task: NAME, ...run });
    },
  },
];

for (const { name, prepare } of INCOMPLETE) {
  // Guards against a task that the next leader starts although it may run.
  test(`stored runs: those of a worker are left out that ${name}`, () => {
    const { board } = createBoard(2);
    const [first, second] = board.workers.values();
    assert.ok(first && second);
    prepare(first);
    first.isSilent = true;
    second.isSilent = true;
    const rows = createRunRows(board.workers.values(), {
      epoch: 1,
      nowMs: 0,
      ...ALL_STORED,
    });
    const stored = rows.map((row) => readRuns({ value: row.value ?? "" }));
    const ids = stored.flatMap((row) => Object.keys(row.unwrap().workers));
    assert.deepEqual(ids, ["w1"]);
    const silent = listSilentRuns(board.workers.values(), {
      ...ALL_STORED,
      maxBytes: MAX_ROW_BYTES,
    });
    assert.deepEqual(Object.keys(silent), ["w1"]);
  });
}

// Guards against a task that is held to crash its worker although it had worked
// for long before the leader changed.
test("stored runs: the next leader knows how long a run had worked", () => {
  const { board, tasks } = createBoard(1);
  const [worker] = board.workers.values();
  const [first, second] = tasks;
  assert.ok(worker && first && second);
  board.onStarted(board.onSent(first, 1, worker, 0), 1000);
  board.onSent(second, 1, worker, 0);
  worker.lastReportMs = 21_000;
  const [row] = createRunRows([worker], {
    epoch: 1,
    nowMs: 21_500,
    ...ALL_STORED,
  });
  const { workers } = readRuns({ value: row?.value ?? "" }).unwrap();
  const next = createBoard(1);
  const [nextWorker] = next.board.workers.values();
  assert.ok(nextWorker);
  nextWorker.hasReported = false;
  adoptRuns(next.board, new Map(Object.entries(workers)), 500);
  const worked = [...nextWorker.attempts].map((one) => one.inheritedWorkMs);
  assert.deepEqual(worked, [20_000, 0]);
  next.board.onLost(nextWorker);
  assert.equal(next.tasks[0]?.losses.length, 0);
  assert.equal(next.tasks[1]?.losses.length, 1);
});

// Guards against runs of a former incarnation, and against a run that counts
// twice, when a worker answers before the stored runs are read.
for (const { bornMs, attempts } of [
  { bornMs: 7, attempts: 2 },
  { bornMs: 8, attempts: 1 },
]) {
  test(`stored runs: those of incarnation 7 are adopted beside an incomplete list of incarnation ${bornMs}`, () => {
    const { board, tasks } = createBoard(1);
    const [worker] = board.workers.values();
    const [first, second] = tasks;
    assert.ok(worker && first && second);
    board.onSent(first, 1, worker, 0);
    board.onSent(second, 1, worker, 0);
    const [row] = createRunRows([worker], {
      epoch: 1,
      nowMs: 0,
      ...ALL_STORED,
    });
    const { workers } = readRuns({ value: row?.value ?? "" }).unwrap();
    const next = createBoard(1);
    const [nextWorker] = next.board.workers.values();
    assert.ok(nextWorker);
    Object.assign(nextWorker, { hasReported: false, bornMs: 0 });
    const task = { jobId: "a", occurrence: 0, step: 0, index: 0 };
    const run = { task, run: 1, checkpoint: "", percent: 0, measurement: 0 };
    const times = { sentMs: 0, nowMs: 0, wallMs: 0 };
    next.board.onReport(
      nextWorker,
      { clockMs: 0, bornMs, running: [run], ended: [], hasMore: true },
      times,
    );
    adoptRuns(next.board, new Map(Object.entries(workers)), 0);
    assert.equal(nextWorker.attempts.size, attempts);
    assert.equal(nextWorker.bornMs, bornMs);
    assert.equal(nextWorker.areRunsKnown, bornMs === 7);
  });
}

test("stored runs: a worker is left out while ends on it are not stored", () => {
  const { board } = createBoard(1);
  const [worker] = board.workers.values();
  assert.ok(worker);
  worker.isSilent = true;
  worker.lastEndNumber = 3;
  const list = (storedEnd: number) => {
    const storedEndOf = () => storedEnd;
    const ends = { storedEndOf, maxBytes: MAX_ROW_BYTES };
    return Object.keys(listSilentRuns(board.workers.values(), ends));
  };
  assert.deepEqual(list(2), []);
  assert.deepEqual(list(3), ["w0"]);
});

// Guards against a release that the table rejects because a row is too large.
test("stored runs: rows are limited in size and hold all runs", () => {
  const { board, tasks } = createBoard(300);
  const workers = [...board.workers.values()];
  for (const [index, task] of tasks.entries()) {
    const worker = workers[index % workers.length];
    assert.ok(worker);
    board.onSent(task, 5, worker, 0);
  }
  const rows = createRunRows(workers, { epoch: 4, nowMs: 0, ...ALL_STORED });
  const other = createBoard(300);
  for (const { value } of rows) {
    assert.ok((value ?? "").length < 48_000);
    const { epoch, workers: stored } = readRuns({
      value: value ?? "",
    }).unwrap();
    assert.equal(epoch, 4);
    for (const worker of other.board.workers.values()) {
      worker.hasReported = false;
    }
    adoptRuns(other.board, new Map(Object.entries(stored)), 0);
  }
  assert.equal(rows.length, 3);
  const adopted = other.tasks.filter(({ attempts }) => attempts.length === 1);
  assert.equal(adopted.length, tasks.length);
  assert.ok([...other.board.workers.values()].every((one) => one.areRunsKnown));
});

const LONG_ID_CASES: readonly {
  readonly name: string;
  readonly workers: number;
  readonly idLength: number;
  readonly runsEach: number;
  /** Number of workers whose runs are stored at a release. */
  readonly stored: number;
}[] = [
  { name: "long ids", workers: 300, idLength: 190, runsEach: 1, stored: 300 },
  {
    name: "ids of more than one byte for each character",
    workers: 300,
    idLength: 66,
    runsEach: 2,
    stored: 300,
  },
  {
    name: "more runs than fit into a row",
    workers: 2,
    idLength: 20,
    runsEach: 2500,
    stored: 0,
  },
];

for (const each of LONG_ID_CASES) {
  const { name, workers: count, idLength, runsEach, stored } = each;
  // Guards against rows that the table rejects, although they have few entries.
  test(`stored runs: rows are limited in bytes with ${name}`, () => {
    const listener = { onChanged() {}, onStop() {}, onEnd() {} };
    const board = new JobBoard(listener, { runFloor: 0, allJobsKnownMs: 0 });
    const steps = [createStep({ count: count * runsEach })];
    const job = createJob("0123456789abcdef", steps);
    const record = board.addJob(job, 1, { nowMs: 0, wallMs: 0 });
    const tasks = record.occurrences[0]?.[0]?.tasks ?? [];
    for (let index = 0; index < count; index += 1) {
      const id = `w${index}`.padEnd(idLength, "…");
      const worker = board.addWorker(createWorkerInfo(id));
      Object.assign(worker, { hasReported: true, isSilent: true });
      for (const task of tasks.splice(0, runsEach)) {
        board.onSent(task, 1_000_000, worker, 0);
      }
    }
    const workers = [...board.workers.values()];
    const rows = createRunRows(workers, { epoch: 1, nowMs: 0, ...ALL_STORED });
    let found = 0;
    for (const { value } of rows) {
      assert.ok(Buffer.byteLength(value ?? "") <= MAX_ROW_BYTES);
      const row = readRuns({ value: value ?? "" }).unwrap();
      found += Object.keys(row.workers).length;
    }
    assert.equal(found, stored);
    const maxBytes = 10_000;
    const silent = listSilentRuns(workers, { ...ALL_STORED, maxBytes });
    assert.ok(jsonBytes(silent) <= maxBytes);
  });
}

// Guards against a leadership row that the table rejects because it is too large.
test("stored runs: the leadership row lists a limited number of workers", () => {
  const { board } = createBoard(710);
  for (const worker of board.workers.values()) worker.isSilent = true;
  const silent = listSilentRuns(board.workers.values(), {
    ...ALL_STORED,
    maxBytes: MAX_ROW_BYTES,
  });
  assert.equal(Object.keys(silent).length, 200);
});

// Guards against a wait for a worker that has left empty.
test("stored runs: an emptied worker is evacuated also once it has left the registry", () => {
  const { board } = createBoard(1);
  const [worker] = board.workers.values();
  assert.ok(worker);
  assert.equal(worker.isEvacuated, false);
  worker.isRegistered = false;
  assert.equal(worker.isEvacuated, true);
});
