import assert from "node:assert/strict";
import { test } from "node:test";
import type { Write } from "@laburnumtrack/core/table";
import { JobBoard } from "@laburnumtrack/jobs/job_board";
import {
  encodeClosedJobRow,
  encodeOpenJobRow,
  endedKey,
  jobKey,
  RowPrefix,
} from "@laburnumtrack/jobs/job_rows";
import { JobPhase, type JobState } from "@laburnumtrack/jobs/job_state";
import { encodeState } from "@laburnumtrack/jobs/state_rows";
import { createJob, createStep } from "@laburnumtrack/jobs/test_samples";
import { createJournal } from "@laburnumtrack/process/journal";
import { Metrics } from "@laburnumtrack/process/metrics";
import { FeedTableStandin } from "@laburnumtrack/standins/feed_table_standin";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { JobHistory } from "./job_history";
import { JobIntake } from "./job_intake";
import { RowCloser } from "./row_closer";

const ID = "00000000000000aa";
const TASKS = 6000;
const JOB = createJob(ID, [createStep({ count: TASKS })]);
/** Every second task is done, and the others have failed. */
const STATE: JobState = {
  phase: JobPhase.Running,
  queue: "q",
  sinceMs: 0,
  steps: [
    {
      occurrence: 0,
      step: 0,
      done: everySecond(0),
      failures: everySecond(1).map((index) => [index, [1, 2]] as const),
    },
  ],
};
const WRITES = encodeState(ID, STATE, 0).writes;
const OPEN: Write = { key: jobKey(ID), value: encodeOpenJobRow(JOB) };
const CANCELLED: Write = {
  key: jobKey(ID),
  value: encodeClosedJobRow({ isCancelled: true, closedMs: 0 }),
};

// Guards against tasks that are done and run again after a takeover.
test("job intake: a state of several rows is restored", async () => {
  const { board } = await load([OPEN, ...WRITES]);
  const record = board.jobs.get(ID);
  assert.equal(record?.occurrences[0]?.[0]?.doneCount, TASKS / 2);
  const failed = record?.occurrences[0]?.[0]?.tasks.filter(
    ({ hasFailed }) => hasFailed,
  );
  assert.equal(failed?.length, TASKS / 2);
});

// Guards against the same when a row is missing: the job must not be started.
test("job intake: a job is not started when a row of its state is missing", async () => {
  assert.ok(WRITES.length > 2);
  const { board } = await load([OPEN, ...WRITES.slice(0, -1)]);
  assert.equal(board.jobs.size, 0);
});

// Guards against rows that stay for ever: the job was cancelled, and the leader
// ended before it stored that.
test("job intake: all rows of a cancelled job's state are removed", async () => {
  const { history, clock } = await load([CANCELLED, ...WRITES]);
  await clock.run(clock.nowMs() + 2000);
  const removed = history
    .listWrites(1)
    .filter(({ key, value }) => key.startsWith("states/") && value === null);
  assert.deepEqual(
    removed.map(({ key }) => key),
    WRITES.map(({ key }) => key),
  );
});

function everySecond(first: number): number[] {
  return Array.from({ length: TASKS / 2 }, (_, index) => first + 2 * index);
}

// Guards against a finished job that is answered as unknown: its row seemed to be
// removed, and so its outcome was.
test("job intake: a job that finishes while all rows are read again keeps its outcome", async () => {
  const { board, history, intake, table, clock } = await load([OPEN]);
  const record = board.jobs.get(ID);
  assert.ok(record);
  const readPages = table.readPages.bind(table);
  table.readPages = async (prefix, onPage) => {
    const read = await readPages(prefix, onPage);
    record.phase = JobPhase.Completed;
    intake.onFinalStored(record);
    return read;
  };
  const reading = intake.follower.load();
  await clock.run(clock.nowMs() + 1000);
  assert.ok(await reading);
  history.onRowClosed(ID, { revision: 100 });
  await clock.run(clock.nowMs() + 2000);
  const outcome = history.listWrites(1).find(({ key }) => key === endedKey(ID));
  assert.ok(outcome?.value, "the outcome is stored");
});

async function load(writes: readonly Write[]) {
  const clock = new VirtualClock();
  const table = new FeedTableStandin(clock);
  const board = new JobBoard(
    { onChanged: () => {}, onStop: () => {}, onEnd: () => {} },
    { runFloor: 0, allJobsKnownMs: 0 },
  );
  const history = new JobHistory({
    clock,
    table,
    metrics: new Metrics(),
    retentionMs: 120_000,
    isOnBoard: (id) => board.jobs.has(id),
  });
  const intake = new JobIntake({
    clock,
    table,
    journal: createJournal("test", "fatal"),
    metrics: new Metrics(),
    board,
    closer: new RowCloser({ clock, table }),
    history,
    config: () => ({ version: 1, queues: [], pools: [] }),
    minRevision: 0,
    onBoardChanged: () => {},
  });
  const loading = (async () => {
    await table.commit({ checks: [], writes });
    assert.ok(await intake.loadStates());
    assert.ok(await intake.follower.load());
    assert.equal((await table.scan(RowPrefix.Jobs)).unwrap().length, 1);
  })();
  await clock.run(clock.nowMs() + 1000);
  await loading;
  return { board, history, intake, table, clock };
}
