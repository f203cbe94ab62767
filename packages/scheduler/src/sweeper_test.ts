import assert from "node:assert/strict";
import { test } from "node:test";
import { TokenCommitter } from "@laburnumtrack/core/token_committer";
import { MemoryTable } from "@laburnumtrack/standins/memory_table";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { Sweeper } from "./sweeper";

const DAY_MS = 86_400_000;
const NOW_DAYS = 100;

const CASES = [
  { key: "claim/s/new", value: { claimedAtMs: 95 * DAY_MS }, stays: true },
  { key: "claim/s/old", value: { claimedAtMs: 90 * DAY_MS }, stays: false },
  { key: "config/apply/new", value: { appliedAtMs: 80 * DAY_MS }, stays: true },
  {
    key: "config/apply/old",
    value: { appliedAtMs: 60 * DAY_MS },
    stays: false,
  },
  { key: "finished/old", value: { endedAtMs: 60 * DAY_MS }, stays: false },
  { key: "finished/declared", value: { endedAtMs: 60 * DAY_MS }, stays: true },
  { key: "token/x/1", value: { atMs: 98 * DAY_MS }, stays: false },
  { key: "token/x/2", value: { atMs: 99.5 * DAY_MS }, stays: true },
  { key: "worker/v", value: {}, stays: true },
  { key: "config/head", value: {}, stays: true },
];

test("sweeper: deletes old rows except those of declared jobs", async () => {
  const clock = new VirtualClock();
  await clock.run(NOW_DAYS * DAY_MS);
  const table = new MemoryTable();
  const writes = CASES.map(({ key, value }) => ({
    key,
    value: JSON.stringify(value),
  }));
  table.commitNow({ checks: [], writes });
  const sweeper = new Sweeper({
    clock,
    table,
    ring: new TokenCommitter(table, clock),
    isDeclared: (job) => job === "declared",
  });
  assert.equal(await sweeper.sweepOnce(), 4);
  for (const { key, stays } of CASES) {
    assert.equal(table.readNow([key]).length === 1, stays, key);
  }
});

test("sweeper: a token committer whose row was deleted works again after a conflict", async () => {
  const clock = new VirtualClock();
  const table = new MemoryTable();
  const ring = new TokenCommitter(table, clock);
  const change = { checks: [], writes: [{ key: "a", value: "1" }] };
  const options = { timeoutMs: 1000 };
  assert.ok((await ring.commit(change, options)).ok);
  const [token] = table.scanNow("token/");
  assert.ok(token !== undefined);
  const writes = [{ key: token.key, value: null }];
  table.commitNow({ checks: [], writes });
  assert.ok((await ring.commit(change, options)).err);
  assert.ok((await ring.commit(change, options)).ok);
});
