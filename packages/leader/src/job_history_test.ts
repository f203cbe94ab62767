import assert from "node:assert/strict";
import { test } from "node:test";
import { endedKey, jobKey, RowPrefix } from "@laburnumtrack/jobs/job_rows";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import { Metrics } from "@laburnumtrack/process/metrics";
import { FeedTableStandin } from "@laburnumtrack/standins/feed_table_standin";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { JobHistory, MAX_MOVES_PER_COMMIT } from "./job_history";

const RETENTION_MS = 120_000;
/** Most job rows that may be removed per second. */
const MAX_REMOVALS_PER_S = 80;
const CLOSED_ROW = JSON.stringify({ isCancelled: false });

function createHistory(clock: VirtualClock, table: FeedTableStandin) {
  return new JobHistory({
    clock,
    table,
    metrics: new Metrics(),
    retentionMs: RETENTION_MS,
    isOnBoard: () => false,
  });
}

function idOf(index: number): string {
  return index.toString(16).padStart(16, "0");
}

// Guards against a sweep that takes the table's writes from submissions, and
// against commits that exceed the table's limit of entries.
test("job history: many jobs that are past the retention period are removed at a bounded rate", async () => {
  const clock = new VirtualClock();
  const table = new FeedTableStandin(clock);
  const history = createHistory(clock, table);
  const count = 400;
  for (let index = 0; index < count; index += 1) {
    table.writeAsOperator(jobKey(idOf(index)), CLOSED_ROW);
    history.onFinalState(idOf(index), {
      phase: JobPhase.Completed,
      sinceMs: clock.wallMs() - 10 * RETENTION_MS,
      revision: 1,
    });
    history.onRowClosed(idOf(index), { revision: index + 1 });
  }
  const abort = new AbortController();
  const running = history.run(abort.signal);
  const countRows = async () => {
    const read = table.scan(RowPrefix.Jobs);
    await clock.run(clock.nowMs() + 10);
    return (await read).unwrap().length;
  };
  let left = count;
  for (let second = 0; second < 40 && left > 0; second += 1) {
    for (let commit = 0; commit < 10; commit += 1) {
      const writes = history.listWrites(MAX_MOVES_PER_COMMIT);
      assert.ok(writes.length <= 2 * MAX_MOVES_PER_COMMIT);
      history.onWritten(writes);
      await clock.run(clock.nowMs() + 100);
    }
    const now = await countRows();
    assert.ok(left - now <= MAX_REMOVALS_PER_S + 1, `${left - now} removed`);
    left = now;
  }
  assert.equal(left, 0);
  assert.equal(history.size, 0);
  abort.abort();
  await clock.run(clock.nowMs() + 1000);
  await running;
});

// Guards against a new leader that runs out of memory because of the finished
// jobs of an earlier release, which were never removed.
test("job history: finished jobs of former leaders beyond the bound are found later", async () => {
  const clock = new VirtualClock();
  const table = new FeedTableStandin(clock);
  const history = createHistory(clock, table);
  for (let index = 0; index < 30_000; index += 1) {
    history.onRowClosed(idOf(index), { revision: 1 });
  }
  assert.equal(history.size, 20_000);
  const left = idOf(30_000);
  table.writeAsOperator(jobKey(left), CLOSED_ROW);
  for (let index = 0; index < 20_000; index += 1) history.forget(idOf(index));
  const abort = new AbortController();
  const running = history.run(abort.signal);
  await clock.run(clock.nowMs() + 1000);
  assert.ok(history.has(left));
  abort.abort();
  await clock.run(clock.nowMs() + 1000);
  await running;
});

// Guards against removing the row of a job that was submitted again.
test("job history: the row of a job that was submitted again is not removed", async () => {
  const clock = new VirtualClock();
  const table = new FeedTableStandin(clock);
  const history = createHistory(clock, table);
  const id = idOf(1);
  table.writeAsOperator(jobKey(id), CLOSED_ROW);
  history.onRowClosed(id, { revision: 1, finishedMs: 0 });
  history.onFinalState(id, {
    phase: JobPhase.Failed,
    sinceMs: clock.wallMs() - 10 * RETENTION_MS,
    revision: 1,
  });
  await clock.run(clock.nowMs() + 2000);
  const moved = history.listWrites(1);
  assert.deepEqual(
    moved.map(({ key }) => key),
    [`states/${id}`, endedKey(id)],
  );
  history.onWritten(moved);
  const abort = new AbortController();
  const running = history.run(abort.signal);
  await clock.run(clock.nowMs() + 300);
  history.onWritten(history.listWrites(1));
  table.writeAsOperator(jobKey(id), "submitted again");
  await clock.run(clock.nowMs() + 2000);
  const read = table.get([jobKey(id)]);
  await clock.run(clock.nowMs() + 10);
  assert.equal((await read).unwrap()[0]?.value, "submitted again");
  abort.abort();
  await clock.run(clock.nowMs() + 1000);
  await running;
});

// Guards against a commit of more rows than the table accepts.
test("job history: a state in many rows moves only with a commit that has room", async () => {
  const clock = new VirtualClock();
  const history = createHistory(clock, new FeedTableStandin(clock));
  for (const [index, parts] of [13, 0, 0, 0].entries()) {
    const final = { phase: JobPhase.Completed, sinceMs: 0, revision: 1, parts };
    history.onFinalState(idOf(index), final);
    history.onRowClosed(idOf(index), { revision: 1 });
  }
  await clock.run(clock.nowMs() + 2000);
  const listed = [5, 14, 15, 90].map(
    (rows) => history.listWrites(MAX_MOVES_PER_COMMIT, rows).length,
  );
  assert.deepEqual(listed, [4, 6, 15, 21]);
});

// Guards against removing the state of a job that finishes while all rows are
// read again: its row is open, and the next leader would run the job again.
test("job history: a job that finishes while the rows are read keeps its state", async () => {
  const clock = new VirtualClock();
  const history = createHistory(clock, new FeedTableStandin(clock));
  history.onFinalState(idOf(1), {
    phase: JobPhase.Completed,
    sinceMs: clock.wallMs(),
    revision: 3,
  });
  history.onRowsRead(new Set(), 9);
  await clock.run(clock.nowMs() + 5000);
  assert.deepEqual(history.listWrites(MAX_MOVES_PER_COMMIT), []);
  assert.ok(history.isOver(idOf(1), 3));
});
