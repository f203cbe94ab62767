import assert from "node:assert/strict";
import { test } from "node:test";
import {
  FeedTableStandin,
  TableTrouble,
} from "@laburnumtrack/standins/feed_table_standin";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { createJournal } from "./journal";
import { RowFollower } from "./row_follower";

interface Stage {
  readonly table: FeedTableStandin;
  readonly write: (key: string, value: string | null) => Promise<void>;
  readonly pass: (ms: number) => Promise<void>;
}

const CASES: readonly {
  readonly name: string;
  readonly act: (stage: Stage) => Promise<void>;
  readonly rows: Record<string, string>;
}[] = [
  {
    name: "changes follow the snapshot",
    act: async ({ write, pass }) => {
      await write("a/1", "x");
      await pass(100);
      await write("a/2", "y");
      await write("b/1", "z");
      await write("a/1", null);
    },
    rows: { "a/2": "y" },
  },
  {
    name: "rows are read whole when the history is gone",
    act: async ({ table, write, pass }) => {
      await write("a/1", "x");
      await pass(100);
      table.trouble = TableTrouble.Silent;
      await pass(100);
      table.trouble = TableTrouble.None;
      await write("a/1", "y");
      await write("a/2", "z");
      table.dropHistory();
    },
    rows: { "a/1": "y", "a/2": "z" },
  },
  {
    name: "a read of an old moment does not take rows back",
    act: async ({ table, write, pass }) => {
      await write("a/1", "old");
      table.remember();
      await write("a/1", "new");
      await pass(100);
      table.trouble = TableTrouble.Stale;
      await pass(1000);
    },
    rows: { "a/1": "new" },
  },
  {
    name: "an outage is followed by the changes made in it",
    act: async ({ table, write, pass }) => {
      await write("a/1", "x");
      await pass(100);
      table.trouble = TableTrouble.Down;
      await pass(2000);
      table.trouble = TableTrouble.None;
      await write("a/1", "y");
    },
    rows: { "a/1": "y" },
  },
];

for (const { name, act, rows } of CASES) {
  test(`row follower: ${name}`, async () => {
    const clock = new VirtualClock();
    const table = new FeedTableStandin(clock);
    const seen = new Map<string, string>();
    const onChange = (row: { key: string; value: string | undefined }) => {
      if (row.value === undefined) seen.delete(row.key);
      else seen.set(row.key, row.value);
    };
    const follower = new RowFollower({
      clock,
      table,
      journal: createJournal("test", "fatal"),
      prefix: "a/",
      listener: {
        onSnapshot: (snapshot) => {
          seen.clear();
          for (const row of snapshot.rows) onChange(row);
        },
        onChange,
      },
    });
    const over = new AbortController();
    const running = follower.run(over.signal);
    const pass = (ms: number) => clock.run(clock.nowMs() + ms);
    const write = async (key: string, value: string | null) => {
      const done = table.commit({ checks: [], writes: [{ key, value }] });
      await pass(20);
      await done;
    };
    await act({ table, write, pass });
    await pass(2500);
    assert.deepEqual(Object.fromEntries(seen), rows);
    over.abort();
    await pass(2500);
    await running;
  });
}
