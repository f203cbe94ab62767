import assert from "node:assert/strict";
import { test } from "node:test";
import { createJobRecord } from "@laburnumtrack/jobs/job_record";
import { LEADER_KEY, readState, stateKey } from "@laburnumtrack/jobs/job_rows";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import type { Leadership } from "@laburnumtrack/jobs/leadership_row";
import { createStep } from "@laburnumtrack/jobs/test_samples";
import { createJournal } from "@laburnumtrack/process/journal";
import { Metrics } from "@laburnumtrack/process/metrics";
import {
  FeedTableStandin,
  TableFault,
} from "@laburnumtrack/standins/feed_table_standin";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { FormerLeases } from "./former_leases";
import { leadershipWrite, ProgressStore } from "./progress_store";

const ID = "00000000000000aa";
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

const CASES: readonly {
  readonly name: string;
  /** Fault that the first commit meets. */
  readonly first: TableFault;
  /** Time between the first and the second commit, in ms. */
  readonly pauseMs: number;
  /** Fault that the second commit meets. */
  readonly second: TableFault;
}[] = [
  {
    name: "an earlier commit takes effect before the next one is sent",
    first: TableFault.Late,
    pauseMs: 3500,
    second: TableFault.None,
  },
  {
    name: "an earlier commit takes effect after the next one",
    first: TableFault.Late,
    pauseMs: 1500,
    second: TableFault.None,
  },
  {
    name: "two commits take effect late",
    first: TableFault.Late,
    pauseMs: 1500,
    second: TableFault.Late,
  },
  {
    name: "the answers of two commits are lost",
    first: TableFault.AnswerLost,
    pauseMs: 1500,
    second: TableFault.AnswerLost,
  },
];

for (const { name, first, pauseMs, second } of CASES) {
  test(`progress store: ${name}`, async () => {
    const clock = new VirtualClock();
    const table = new FeedTableStandin(clock);
    const advance = (ms: number) => clock.run(clock.nowMs() + ms);
    const taken = table.commit({ checks: [], writes: [leadershipWrite(ROW)] });
    await advance(100);
    const { revision } = (await taken).unwrap();
    const record = createRecord();
    let storedFinals = 0;
    const store = new ProgressStore({
      clock,
      table,
      journal: createJournal("test", "fatal"),
      metrics: new Metrics(),
      held: { row: ROW, revision },
      acquireSentMs: 0,
      workers: () => [],
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
      onFinalStored: () => {
        storedFinals += 1;
      },
    });
    const commit = async (isReleased: boolean) => {
      const done = store.commit({ isReleased, successor: "" });
      await advance(1400);
      return await done;
    };
    record.phase = JobPhase.Running;
    store.markDirty(record);
    table.fault = first;
    await commit(false);
    await advance(pauseMs - 1400);
    record.phase = JobPhase.Completed;
    store.markDirty(record);
    table.fault = second;
    await commit(false);
    table.fault = TableFault.None;
    for (let tries = 0; tries < 4 && storedFinals === 0; tries += 1) {
      await commit(false);
    }
    assert.equal(storedFinals, 1);
    assert.equal(store.isLost, false);
    await advance(4000);
    const read = table.get([stateKey(ID), LEADER_KEY]);
    await advance(100);
    const row = (await read).unwrap().find(({ key }) => key !== LEADER_KEY);
    assert.ok(row);
    assert.equal(readState(row).unwrap().phase, JobPhase.Completed);
  });
}

function createRecord() {
  const job = {
    id: ID,
    queue: "q",
    spec: "",
    steps: [createStep()],
    repeat: undefined,
    submittedMs: 0,
  };
  return createJobRecord(job, {
    revision: 1,
    queue: undefined,
    state: undefined,
    runFloor: 0,
  });
}
