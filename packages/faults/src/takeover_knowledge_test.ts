import assert from "node:assert/strict";
import { test } from "node:test";
import {
  LEADER_KEY,
  RUNS_PREFIX,
  readRuns,
} from "@laburnumtrack/jobs/job_rows";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import { TableFault } from "@laburnumtrack/standins/feed_table_standin";
import { type EntryPeer, EntryWorld } from "./entry_world";
import { findLongGaps } from "./run_violations";

const JOB_ID = "00000000000000be";
const LONG_RUNNING = { isLongRunning: true };
/** Time that a move may take when everything answers, in ms. */
const MAX_MOVE_MS = 3000;
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

/**
 * Time that the second leader leads before it is stopped, and for which leaders
 * may order without the table, in ms.
 */
const SHORT_TERMS = [
  { leadMs: 0, rightMs: 3500 },
  { leadMs: 400, rightMs: 3500 },
  { leadMs: 400, rightMs: 8000 },
];

for (const { leadMs, rightMs } of SHORT_TERMS) {
  // Guards against a second run while a leader before the last may still renew
  // the lease of the first.
  test(`takeover: a release after ${leadMs} ms does not end a right of ${rightMs} ms of one that was cut off`, async () => {
    const world = new EntryWorld({ entries: 3, workers: 3, rightMs });
    await world.advance(2000);
    await world.submit(JOB_ID, SPEC, [{ ...LONG_RUNNING, count: 3 }]);
    await world.advance(12_000);
    const first = world.leader;
    assert.ok(first);
    const others = world.entries.filter((entry) => entry !== first);
    world.table.refused.add(first.name);
    for (const id of ["w1", "w2"]) {
      world.fleet.unreachablePairs.add(`${first.name} ${id}`);
    }
    for (const { name } of others) {
      world.fleet.unreachablePairs.add(`${name} w0`);
    }
    const second = await awaitLeader(world, first);
    await world.advance(leadMs);
    void second.stop();
    await world.advance(20_000);
    assert.deepEqual(world.findViolations(), []);
  });
}

// Guards against a second run: a leader that ended without a release has started
// more than the release before it tells.
test("takeover: runs stored with an earlier release are not taken for current ones", async () => {
  const world = new EntryWorld({ entries: 4, workers: 3 });
  await world.advance(2000);
  const first = world.leader;
  assert.ok(first);
  void first.stop();
  await world.advance(2500);
  const second = world.leader;
  assert.ok(second && second !== first);
  await world.submit(JOB_ID, SPEC, [{ ...LONG_RUNNING, count: 6 }]);
  await world.advance(1000);
  second.clock.freeze(60_000);
  for (const { name } of world.entries) {
    if (name !== second.name) world.fleet.unreachablePairs.add(`${name} w0`);
  }
  await world.advance(25_000);
  assert.ok(world.fleet.history.some(({ worker }) => worker === "w0"));
  assert.deepEqual(world.findViolations(), []);
});

// Guards against a long-running task that is stopped before it may start again.
test("takeover: a task does not leave its worker before it may start elsewhere", async () => {
  const world = new EntryWorld({ entries: 3, workers: 5 });
  await world.advance(2000);
  await world.submit(JOB_ID, SPEC, [{ ...LONG_RUNNING, count: 4 }]);
  await world.advance(1000);
  const [first] = world.fleet.history;
  assert.ok(first);
  const silent = first.worker === "w0" ? "w1" : "w0";
  world.leader?.clock.freeze(60_000);
  world.fleet.leave(silent);
  await world.advance(3000);
  const draining = world.drainWorker(first.worker);
  await world.advance(9000);
  await draining;
  const moved = world.fleet.history.filter(({ worker }) => worker !== silent);
  assert.ok(first.endMs !== undefined, "the task has not moved");
  assert.deepEqual(findLongGaps(moved, world.clock.nowMs(), MAX_MOVE_MS), []);
});

// Guards against a release that does not tell the next leader which runs are
// active: its jobs would wait for each worker that does not answer.
test("takeover: a release stores the runs on all workers", async () => {
  const world = new EntryWorld({ entries: 2, workers: 3 });
  await world.advance(2000);
  const step = { ...LONG_RUNNING, count: 3, perWorkerLimit: 1 };
  await world.submit(JOB_ID, SPEC, [step]);
  await world.advance(1000);
  void world.leader?.stop();
  await world.advance(200);
  const reading = world.table.get([`${RUNS_PREFIX}0`]);
  await world.advance(10);
  const [row] = (await reading).unwrap();
  assert.ok(row);
  const { workers } = readRuns(row).unwrap();
  const counts = Object.values(workers).map(({ runs }) => runs.length);
  assert.deepEqual(counts, [1, 1, 1]);
});

// Guards against a second run while a worker that left the registry goes on.
test("takeover: a worker without an entry is awaited after a lost leader", async () => {
  const world = new EntryWorld({ entries: 3, workers: 4 });
  await world.advance(2000);
  await world.submit(JOB_ID, "work=6000", [{ count: 8 }]);
  await world.advance(500);
  world.leader?.clock.freeze(60_000);
  world.fleet.unreachable.add("w0");
  await world.unregister("w0");
  await world.advance(25_000);
  assert.ok(world.fleet.history.some(({ worker }) => worker === "w0"));
  assert.deepEqual(world.findViolations(), []);
  assert.deepEqual(await world.readPhases(), [JobPhase.Completed]);
});

for (const leadMs of [0, 200]) {
  // Guards against a second run while a lease from an earlier version still lasts.
  test(`takeover: longer leases of an earlier version are waited for when the next leader stops after ${leadMs} ms`, async () => {
    const world = new EntryWorld({ entries: 4, workers: 2, leaseMs: 10_000 });
    await world.advance(2000);
    await world.submit(JOB_ID, SPEC, [LONG_RUNNING]);
    await world.advance(500);
    const longest = { acknowledged: 0, leaseUntilMs: 1e9, waitMs: 0 };
    void world.fleet.renew({ id: "w0", address: "" }, { ...longest, epoch: 1 });
    await world.advance(50);
    world.fleet.unreachable.add("w0");
    const { leader } = world;
    assert.ok(leader);
    for (const { name } of world.entries) {
      if (name !== leader.name) world.table.refusedCommits.add(name);
    }
    void leader.stop();
    await world.advance(200);
    const reading = world.table.get([LEADER_KEY]);
    await world.advance(10);
    const [row] = (await reading).unwrap();
    const { leaseMs, silentRuns, ...former } = JSON.parse(row?.value ?? "{}");
    assert.deepEqual([leaseMs, typeof silentRuns], [6000, "object"]);
    await world.writeRow(LEADER_KEY, JSON.stringify(former));
    await world.writeRow(`${RUNS_PREFIX}0`, null);
    world.table.refusedCommits.clear();
    const second = await awaitLeader(world, leader);
    await world.advance(leadMs);
    void second.stop();
    await world.advance(15_000);
    assert.deepEqual(world.findViolations(), []);
  });
}

/** Advances time until an entry other than the former leader leads. */
async function awaitLeader(
  world: EntryWorld,
  former: EntryPeer,
): Promise<EntryPeer> {
  for (;;) {
    const leader = world.entries.find(
      (entry) => entry !== former && entry.leadership.term !== undefined,
    );
    if (leader !== undefined) return leader;
    await world.advance(1);
  }
}
