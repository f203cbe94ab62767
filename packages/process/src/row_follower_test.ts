import assert from "node:assert/strict";
import { test } from "node:test";
import type { ChangesOptions } from "@laburnumtrack/core/feed_table";
import {
  FeedTableStandin,
  TableFault,
} from "@laburnumtrack/standins/feed_table_standin";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { createJournal } from "./journal";
import { RowFollower } from "./row_follower";

/** Reads that throw instead of failing, in a row. */
const THROWN_READS = 3;
/** Value at which the listener fails. */
const BAD_VALUE = "bad";

interface TestContext {
  readonly table: FeedTableStandin;
  readonly write: (key: string, value: string | null) => Promise<void>;
  readonly advance: (ms: number) => Promise<void>;
}

const CASES: readonly {
  readonly name: string;
  readonly act: (context: TestContext) => Promise<void>;
  readonly rows: Record<string, string>;
}[] = [
  {
    name: "changes follow the snapshot",
    act: async ({ write, advance }) => {
      await write("a/1", "x");
      await advance(100);
      await write("a/2", "y");
      await write("b/1", "z");
      await write("a/1", null);
    },
    rows: { "a/2": "y" },
  },
  {
    name: "all rows are read again when the change history is lost",
    act: async ({ table, write, advance }) => {
      await write("a/1", "x");
      await advance(100);
      table.fault = TableFault.Silent;
      await advance(100);
      table.fault = TableFault.None;
      await write("a/1", "y");
      await write("a/2", "z");
      table.dropHistory();
    },
    rows: { "a/1": "y", "a/2": "z" },
  },
  {
    name: "a stale read does not revert rows",
    act: async ({ table, write, advance }) => {
      await write("a/1", "old");
      table.saveStaleSnapshot();
      await write("a/1", "new");
      await advance(100);
      table.fault = TableFault.Stale;
      await advance(1000);
    },
    rows: { "a/1": "new" },
  },
  {
    name: "a row that cannot be processed is skipped in a snapshot and in changes",
    act: async ({ table, write, advance }) => {
      await write("a/1", BAD_VALUE);
      await write("a/2", "x");
      await advance(100);
      await write("a/3", BAD_VALUE);
      await write("a/4", "y");
      await advance(100);
      table.dropHistory();
      await write("b/1", "z");
    },
    rows: { "a/2": "x", "a/4": "y" },
  },
  {
    name: "changes made during an outage are seen after it",
    act: async ({ table, write, advance }) => {
      await write("a/1", "x");
      await advance(100);
      table.fault = TableFault.Down;
      await advance(2000);
      table.fault = TableFault.None;
      await write("a/1", "y");
    },
    rows: { "a/1": "y" },
  },
];

for (const { name, act, rows } of CASES) {
  test(`row follower: ${name}`, async () => {
    const clock = new VirtualClock();
    const table = new FeedTableStandin(clock);
    const followedRows = new Map<string, string>();
    const onRow = (row: { key: string; value: string | undefined }) => {
      if (row.value === BAD_VALUE) throw new Error("cannot be processed");
      if (row.value === undefined) followedRows.delete(row.key);
      else followedRows.set(row.key, row.value);
    };
    const follower = new RowFollower({
      clock,
      table,
      journal: createJournal("test", "fatal"),
      prefix: "a/",
      listener: {
        onSnapshot: () => followedRows.clear(),
        onRow,
      },
    });
    const stop = new AbortController();
    const running = follower.run(stop.signal);
    const advance = (ms: number) => clock.run(clock.nowMs() + ms);
    const write = async (key: string, value: string | null) => {
      const done = table.commit({ checks: [], writes: [{ key, value }] });
      await advance(20);
      await done;
    };
    await act({ table, write, advance });
    await advance(2500);
    assert.deepEqual(Object.fromEntries(followedRows), rows);
    stop.abort();
    await advance(2500);
    await running;
  });
}

/** Table whose reads throw as often as the counter says. */
class ThrowingTable extends FeedTableStandin {
  throwsLeft = 0;

  override async snapshot(prefix: string) {
    this.#throw();
    return await super.snapshot(prefix);
  }

  override async changes(
    prefix: string,
    after: number,
    options: ChangesOptions,
  ) {
    this.#throw();
    return await super.changes(prefix, after, options);
  }

  #throw(): void {
    if (this.throwsLeft === 0) return;
    this.throwsLeft -= 1;
    throw new RangeError("Maximum call stack size exceeded");
  }
}

const THROW_CASES: readonly {
  readonly name: string;
  /** Time before the reads throw, in ms. */
  readonly pauseMs: number;
}[] = [
  { name: "the first snapshot", pauseMs: 0 },
  { name: "a read of changes", pauseMs: 1500 },
];

for (const { name, pauseMs } of THROW_CASES) {
  // Guards against a follower that ends for good, so that its process keeps to
  // the rows that it knew, or ends with an unhandled rejection.
  test(`row follower: ${name} that throws is tried again`, async () => {
    const clock = new VirtualClock();
    const table = new ThrowingTable(clock);
    const followedRows = new Map<string, string | undefined>();
    const follower = new RowFollower({
      clock,
      table,
      journal: createJournal("test", "fatal"),
      prefix: "a/",
      listener: {
        onRow: ({ key, value }) => followedRows.set(key, value),
      },
    });
    const stop = new AbortController();
    if (pauseMs === 0) table.throwsLeft = THROWN_READS;
    let failure: unknown;
    const running = follower.run(stop.signal).catch((error: unknown) => {
      failure = error;
    });
    await clock.run(clock.nowMs() + pauseMs);
    if (pauseMs > 0) table.throwsLeft = THROWN_READS;
    await clock.run(clock.nowMs() + 2500);
    const writes = [{ key: "a/1", value: "x" }];
    const done = table.commit({ checks: [], writes });
    await clock.run(clock.nowMs() + 1500);
    await done;
    stop.abort();
    await clock.run(clock.nowMs() + 2500);
    await running;
    assert.equal(failure, undefined);
    assert.equal(followedRows.get("a/1"), "x");
  });
}
