import assert from "node:assert/strict";
import { test } from "node:test";
import { createJobRecord } from "@laburnumtrack/jobs/job_record";
import {
  endedKey,
  LEARNT_KEY,
  ROSTER_KEY,
  stateKey,
} from "@laburnumtrack/jobs/job_rows";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import type { Leadership } from "@laburnumtrack/jobs/leadership_row";
import type { JobRecord } from "@laburnumtrack/jobs/task";
import {
  createJob,
  createStep,
  createWorkerInfo,
} from "@laburnumtrack/jobs/test_samples";
import { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import { createJournal } from "@laburnumtrack/process/journal";
import { Metrics } from "@laburnumtrack/process/metrics";
import { FeedTableStandin } from "@laburnumtrack/standins/feed_table_standin";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { FormerLeases } from "./former_leases";
import { JobHistory } from "./job_history";
import { leadershipWrite, ProgressStore } from "./progress_store";

const ROW: Leadership = {
  holder: "e0",
  instance: "e0",
  capacity: 1,
  successor: "",
  epoch: 1,
  sequence: 1,
  isReleased: false,
  silent: {},
  pending: {},
};
const JOBS = 100;
const FINISHED_ID = "00000000000000ff";
const ROW_LIMIT_BYTES = 2000;
/** Time in which the states of the other jobs are to be stored, in ms. */
const STORE_MS = 1500;

const CASES: readonly {
  readonly name: string;
  /** Indices of the jobs whose state the table rejects. */
  readonly large: readonly number[];
}[] = [
  { name: "one of 100", large: [37] },
  { name: "the first and the last of 100", large: [0, 99] },
  { name: "two in a row of 100", large: [50, 51] },
];

for (const { name, large } of CASES) {
  // Guards against a row that the table rejects and that blocks the commits of
  // all other jobs, of this leader and of those after it.
  test(`rejected rows: ${name}`, async () => {
    const clock = new VirtualClock();
    const table = new FeedTableStandin(clock);
    const store = await createStore(clock, table);
    table.rowLimitBytes = ROW_LIMIT_BYTES;
    const records = Array.from({ length: JOBS }, (_, index) =>
      createRecord(`${index}`, large.includes(index)),
    );
    for (const record of records) store.markDirty(record);
    const abort = new AbortController();
    const running = store.run(abort.signal);
    await clock.run(clock.nowMs() + STORE_MS);
    const rejected = records.filter(({ job }) => !store.isStored(job.id));
    assert.deepEqual(
      rejected.map(({ job }) => job.id),
      large.map(String),
    );
    assert.ok(clock.nowMs() - store.lastCommitSentMs < 500);
    table.rowLimitBytes = 65_536;
    await clock.run(clock.nowMs() + 12_000);
    for (const { job } of records) assert.ok(store.isStored(job.id));
    const read = table.get(records.map(({ job }) => stateKey(job.id)));
    await clock.run(clock.nowMs() + 100);
    assert.equal((await read).unwrap().length, JOBS);
    abort.abort();
    await clock.run(clock.nowMs() + 1000);
    await running;
  });
}

/** Rows that only some commits have, one of which the table rejects. */
const GROUP_CASES: readonly { readonly name: string; readonly key: string }[] =
  [
    { name: "the learnt interference", key: LEARNT_KEY },
    { name: "the roster", key: ROSTER_KEY },
    { name: "the outcome of a finished job", key: endedKey(FINISHED_ID) },
  ];

for (const { name, key } of GROUP_CASES) {
  // Guards against jobs that are set aside, and whose progress is lost with the
  // leader, because another row of the same commit was rejected.
  test(`rejected rows: no job is set aside while the table rejects ${name}`, async () => {
    const clock = new VirtualClock();
    const table = new FeedTableStandin(clock);
    const store = await createStore(clock, table);
    table.rejectedKeys.add(key);
    const abort = new AbortController();
    const running = store.run(abort.signal);
    const dirtySinceMs = new Map<string, number>();
    let longestMs = 0;
    for (let number = 0; number < 100; number += 1) {
      const record = createRecord(`${number}`, false);
      store.markDirty(record);
      dirtySinceMs.set(record.job.id, clock.nowMs());
      await clock.run(clock.nowMs() + 250);
      for (const [id, sinceMs] of dirtySinceMs) {
        longestMs = Math.max(longestMs, clock.nowMs() - sinceMs);
        if (store.isStored(id)) dirtySinceMs.delete(id);
      }
    }
    assert.ok(longestMs < STORE_MS, `a job was not stored for ${longestMs} ms`);
    const others = GROUP_CASES.map((other) => other.key).filter(
      (other) => other !== key,
    );
    const read = table.get(others);
    await clock.run(clock.nowMs() + 100);
    assert.equal((await read).unwrap().length, others.length);
    table.rejectedKeys.clear();
    await clock.run(clock.nowMs() + 12_000);
    const after = table.get([key]);
    await clock.run(clock.nowMs() + 100);
    assert.equal((await after).unwrap().length, 1);
    abort.abort();
    await clock.run(clock.nowMs() + 1000);
    await running;
  });
}

// Guards against jobs that are set aside although another row is the cause.
test("rejected rows: no job is set aside while the table rejects all commits", async () => {
  const clock = new VirtualClock();
  const table = new FeedTableStandin(clock);
  const store = await createStore(clock, table);
  table.rowLimitBytes = 0;
  const records = ["a", "b", "c"].map((id) => createRecord(id, false));
  for (const record of records) store.markDirty(record);
  const abort = new AbortController();
  const running = store.run(abort.signal);
  await clock.run(clock.nowMs() + 5000);
  assert.equal(store.backlog, 3);
  table.rowLimitBytes = 65_536;
  await clock.run(clock.nowMs() + 500);
  for (const { job } of records) assert.ok(store.isStored(job.id));
  abort.abort();
  await clock.run(clock.nowMs() + 1000);
  await running;
});

// Guards against commits of more than the table accepts: 40 states of 40 kB.
test("rejected rows: large states are stored in several commits", async () => {
  const clock = new VirtualClock();
  const table = new FeedTableStandin(clock);
  const store = await createStore(clock, table);
  table.rowLimitBytes = 65_536;
  table.commitLimitBytes = 1_000_000;
  const records = Array.from({ length: 40 }, (_, index) =>
    createRecord(`${index}`, true, 2500),
  );
  for (const record of records) store.markDirty(record);
  const abort = new AbortController();
  const running = store.run(abort.signal);
  await clock.run(clock.nowMs() + 500);
  for (const { job } of records) assert.ok(store.isStored(job.id));
  abort.abort();
  await clock.run(clock.nowMs() + 1000);
  await running;
});

async function createStore(
  clock: VirtualClock,
  table: FeedTableStandin,
): Promise<ProgressStore> {
  const taken = table.commit({ checks: [], writes: [leadershipWrite(ROW)] });
  await clock.run(clock.nowMs() + 100);
  const metrics = new Metrics();
  const history = new JobHistory({
    clock,
    table,
    metrics,
    retentionMs: 60_000,
    isOnBoard: () => false,
  });
  const finished = { phase: JobPhase.Completed, sinceMs: 0, revision: 1 };
  history.onFinalState(FINISHED_ID, finished);
  history.onRowClosed(FINISHED_ID, { revision: 1 });
  const worker = new WorkerRecord(createWorkerInfo("w0"));
  const store = new ProgressStore({
    clock,
    table,
    journal: createJournal("test", "fatal"),
    metrics,
    history,
    held: { row: ROW, revision: (await taken).unwrap().revision },
    acquireSentMs: 0,
    workers: () => [worker],
    formerLeases: new FormerLeases({
      clock,
      acceptedMs: 6000,
      acquiredMs: 0,
      rightMs: 0,
      leaseMs: 0,
      silent: {},
    }),
    pending: () => ({}),
    jobsKnownMs: () => clock.nowMs(),
    exportModel: () => ({}),
    onFinalStored: () => {},
  });
  store.onStateLoaded();
  return store;
}

/** A running job; a large one has that many failed tasks. */
function createRecord(id: string, isLarge: boolean, failed = 300): JobRecord {
  const job = createJob(id, [createStep({ count: failed })]);
  const record = createJobRecord(job, {
    revision: 1,
    queue: undefined,
    state: undefined,
    runFloor: 0,
  });
  record.phase = JobPhase.Running;
  if (!isLarge) return record;
  for (const task of record.occurrences[0]?.[0]?.tasks ?? []) {
    task.failedRuns.add(1);
  }
  return record;
}
