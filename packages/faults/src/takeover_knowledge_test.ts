import assert from "node:assert/strict";
import { test } from "node:test";
import { TableFault } from "@laburnumtrack/standins/feed_table_standin";
import { EntryWorld } from "./entry_world";

const JOB_ID = "00000000000000be";
const LONG_RUNNING = { isLongRunning: true };
const SPEC = "work=600000";

// Guards against a second run while the first goes on: a commit that takes a
// worker off the roster takes effect late, when the worker is ready again.
test("takeover: a worker that is back is on the stored roster before it gets a lease", async () => {
  const world = new EntryWorld({ entries: 3, workers: 3 });
  await world.advance(2000);
  const { leader } = world;
  assert.ok(leader);
  const others = world.entries.filter((entry) => entry !== leader);
  const draining = world.drainWorker("w0");
  await world.advance(7);
  await draining;
  for (const { name } of others) world.table.refusedCommits.add(name);
  world.table.fault = TableFault.Late;
  await world.advance(60);
  world.table.fault = TableFault.None;
  world.table.refusedCommits.add(leader.name);
  await world.writeEntry("w0", "w0");
  await world.advance(3300);
  world.table.refusedCommits.clear();
  await world.advance(1000);
  assert.equal(world.leader?.name, leader.name);
  await world.submit(JOB_ID, SPEC, [{ ...LONG_RUNNING, count: 6 }]);
  await world.advance(1000);
  assert.ok(world.fleet.history.some(({ worker }) => worker === "w0"));
  leader.clock.freeze(60_000);
  for (const { name } of others) world.fleet.unreachablePairs.add(`${name} w0`);
  await world.advance(12_000);
  assert.deepEqual(world.findViolations(), []);
});
