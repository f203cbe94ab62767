import assert from "node:assert/strict";
import { test } from "node:test";
import type { Job } from "@laburnumtrack/jobs/job";
import { JobBoard } from "@laburnumtrack/jobs/job_board";
import {
  encodeOpenJobRow,
  encodeRefusedJobRow,
  jobKey,
} from "@laburnumtrack/jobs/job_rows";
import { createStep } from "@laburnumtrack/jobs/test_samples";
import { createJournal } from "@laburnumtrack/process/journal";
import { Metrics } from "@laburnumtrack/process/metrics";
import { FeedTableStandin } from "@laburnumtrack/standins/feed_table_standin";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { JobHistory } from "./job_history";
import { JobIntake } from "./job_intake";
import { RowCloser } from "./row_closer";

const JOB: Job = {
  id: "00000000000000aa",
  queue: "q",
  spec: "",
  steps: [createStep()],
  repeat: undefined,
  submittedMs: 0,
};

const RETENTION_MS = 120_000;

function createIntake() {
  const clock = new VirtualClock();
  const table = new FeedTableStandin(clock);
  const closed: string[] = [];
  const board = new JobBoard(
    {
      onChanged: () => {},
      onStop: () => {},
      onEnd: () => {},
      onLoss: () => {},
    },
    { runFloor: 0, allJobsKnownMs: 0 },
  );
  board.onClosed = (id) => closed.push(id);
  const history = new JobHistory({
    clock,
    table,
    metrics: new Metrics(),
    retentionMs: RETENTION_MS,
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
  const read = async () => {
    const loaded = intake.follower.load();
    await clock.run(clock.nowMs() + 100);
    assert.ok(await loaded);
  };
  return { clock, table, board, closed, history, read };
}

// Guards against a tombstone that counts as the closed row of a job: runs of the
// job that replaces it could be stopped as runs of a job that is over.
test("job intake, tombstones: a tombstone is no job, and the job that replaces it is added", async () => {
  const { table, board, closed, read } = createIntake();
  const key = jobKey(JOB.id);
  const refusal = { atMs: 0, submissions: ["earlier"] };
  table.writeAsOperator(key, encodeRefusedJobRow(refusal));
  await read();
  assert.deepEqual([...board.jobs.keys()], []);
  assert.deepEqual(closed, []);
  table.writeAsOperator(key, encodeOpenJobRow(JOB));
  await read();
  assert.deepEqual([...board.jobs.keys()], [JOB.id]);
});

// Guards against tombstones that stay forever and lengthen each failover.
test("job intake, tombstones: a tombstone that nobody replaces is removed after the retention period", async () => {
  const { clock, table, history, read } = createIntake();
  const key = jobKey(JOB.id);
  const refusal = { atMs: 0, submissions: ["earlier"] };
  table.writeAsOperator(key, encodeRefusedJobRow(refusal));
  await read();
  const over = new AbortController();
  const running = history.run(over.signal);
  await clock.run(RETENTION_MS);
  assert.equal((await readRows(table, clock, key)).length, 1);
  await clock.run(2 * RETENTION_MS);
  assert.equal((await readRows(table, clock, key)).length, 0);
  over.abort();
  await clock.run(3 * RETENTION_MS);
  await running;
});

async function readRows(
  table: FeedTableStandin,
  clock: VirtualClock,
  key: string,
) {
  const reading = table.get([key]);
  await clock.run(clock.nowMs() + 100);
  return (await reading).unwrap();
}
