import assert from "node:assert/strict";
import { test } from "node:test";
import {
  LEADER_KEY,
  ROSTER_KEY,
  RUNS_PREFIX,
  stateKey,
} from "@laburnumtrack/jobs/job_rows";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import { RunEnd } from "@laburnumtrack/jobs/task_worker";
import { TableFault } from "@laburnumtrack/standins/feed_table_standin";
import { EntryWorld } from "./entry_world";
import { findLongGaps } from "./run_violations";

/** Submission times of the job, in ms after the takeover. */
const OFFSETS_MS = [0, 20, 40, 60, 80, 100, 120, 140, 160, 180, 200, 240];
/** Duration of the new leader's calls to the table, in ms. */
const TABLE_DELAY_MS = 50;
const RECOVERY_MS = 8000;
const JOB_ID = "00000000000000be";

/**
 * A job that is stored while a leader takes over reaches the former leader, which
 * may still send orders, and the new one at about the same time.
 */
const CASES: readonly { readonly name: string; readonly workMs: number }[] = [
  { name: "goes on running", workMs: 3000 },
  { name: "ends before the new leader reads the job", workMs: 2 },
];

for (const { name, workMs } of CASES) {
  test(`takeover: a run that the former leader started just then ${name}`, async () => {
    for (const offsetMs of OFFSETS_MS) {
      const world = new EntryWorld({ entries: 3, workers: 4 });
      await world.advance(2000);
      const former = world.leader;
      assert.ok(former);
      world.table.refusedCommits.add(former.name);
      for (const { name: entry } of world.entries) {
        if (entry !== former.name) {
          world.table.delaysMs.set(entry, TABLE_DELAY_MS);
        }
      }
      while (!hasOtherLeader(world, former.name)) await world.advance(1);
      await world.advance(offsetMs);
      await world.submit(JOB_ID, `work=${workMs}`, [{}]);
      await world.advance(RECOVERY_MS);
      assert.deepEqual(world.findViolations(), [], `offset ${offsetMs} ms`);
      assert.deepEqual(await world.readPhases(), [JobPhase.Completed]);
    }
  });
}

const RELEASE_CASES = [
  TableFault.Down,
  TableFault.Silent,
  TableFault.AnswerLost,
  TableFault.Late,
];
/** Time that a process has to end after SIGTERM, less what callers need, in ms. */
const STOP_LIMIT_MS = 4500;

for (const fault of RELEASE_CASES) {
  test(`takeover: a leader that is stopped ends in time with a table fault: ${fault}`, async () => {
    const world = new EntryWorld({ entries: 3, workers: 4 });
    await world.advance(2000);
    await world.submit(JOB_ID, "work=3000", [{}]);
    world.table.fault = fault;
    let isStopped = false;
    const stopping = world.leader?.stop().then(() => {
      isStopped = true;
    });
    await world.advance(STOP_LIMIT_MS);
    assert.ok(isStopped);
    world.table.fault = TableFault.None;
    await world.advance(RECOVERY_MS * 2);
    await stopping;
    assert.deepEqual(world.findViolations(), []);
    assert.deepEqual(await world.readPhases(), [JobPhase.Completed]);
  });
}

test("takeover: with an unreadable roster, jobs wait for leases of unlisted workers", async () => {
  const world = new EntryWorld({ entries: 3, workers: 4 });
  await world.advance(2000);
  await world.submit(JOB_ID, "work=4000", [{ count: 8 }]);
  await world.advance(500);
  // No other entry knows this worker except from the roster.
  world.fleet.unreachable.add("w0");
  const stopping = world.leader?.stop();
  await world.unregister("w0");
  await world.writeRow(ROSTER_KEY, "?");
  await world.advance(25_000);
  await stopping;
  assert.deepEqual(world.findViolations(), []);
  assert.deepEqual(await world.readPhases(), [JobPhase.Completed]);
});

test("takeover: a job with an unreadable state does not run again", async () => {
  const world = new EntryWorld({ entries: 3, workers: 4 });
  await world.advance(2000);
  const steps = [{ count: 2 }, { count: 2, after: [0] }];
  await world.submit(JOB_ID, "work=1000", steps);
  await world.advance(1500);
  await world.writeRow(stateKey(JOB_ID), "?");
  const stopping = world.leader?.stop();
  await world.advance(8000);
  await stopping;
  assert.deepEqual(world.findViolations(), []);
  assert.equal(world.fleet.history.length, 4);
});

// Guards against a second run while a lease from an earlier version still lasts.
test("takeover: longer leases of a leader of an earlier version are waited for", async () => {
  const world = new EntryWorld({ entries: 3, workers: 2, leaseMs: 10_000 });
  await world.advance(2000);
  await world.submit(JOB_ID, "work=60000", [{ isLongRunning: true }]);
  await world.advance(500);
  const longest = { acknowledged: 0, leaseUntilMs: 1e9, waitMs: 0 };
  const target = { id: "w0", address: "" };
  void world.fleet.renew(target, { ...longest, epoch: 1 });
  await world.advance(50);
  world.fleet.unreachable.add("w0");
  const { leader } = world;
  for (const { name } of world.entries) {
    if (name !== leader?.name) world.table.refusedCommits.add(name);
  }
  const stopping = leader?.stop();
  await world.advance(200);
  const reading = world.table.get([LEADER_KEY]);
  await world.advance(10);
  const [row] = (await reading).unwrap();
  const { leaseMs, silentRuns, ...former } = JSON.parse(row?.value ?? "{}");
  assert.equal(leaseMs, 6000);
  assert.ok(silentRuns);
  await world.writeRow(LEADER_KEY, JSON.stringify(former));
  await world.writeRow(`${RUNS_PREFIX}0`, null);
  world.table.refusedCommits.clear();
  await world.advance(15_000);
  await stopping;
  assert.deepEqual(world.findViolations(), []);
  assert.equal(world.countEnds(RunEnd.Lapsed), 2);
});

// Guards against tasks that wait for the lease of a worker without any run.
test("takeover: an emptied worker that does not answer is not waited for", async () => {
  const world = new EntryWorld({ entries: 3, workers: 4 });
  await world.advance(2000);
  const draining = world.drainWorker("w0");
  await world.advance(1500);
  await draining;
  const steps = [{ count: 6 }, { count: 2, after: [0] }];
  await world.submit(JOB_ID, "work=3000", steps);
  await world.advance(2000);
  world.leader?.clock.freeze(60_000);
  world.fleet.leave("w0");
  await world.advance(7000);
  assert.deepEqual(world.findViolations(), []);
  assert.deepEqual(await world.readPhases(), [JobPhase.Completed]);
});

// Guards against a wait for a whole lease after each of several lost leaders.
test("takeover: what was known of a silent worker outlasts two lost leaders", async () => {
  const world = new EntryWorld({ entries: 4, workers: 4 });
  await world.advance(2000);
  await world.submit(JOB_ID, "work=60000", [{ count: 8, isLongRunning: true }]);
  await world.advance(500);
  world.fleet.leave("w0");
  await world.advance(2000);
  const first = world.leader;
  first?.clock.freeze(60_000);
  while (!hasOtherLeader(world, first?.name ?? "")) await world.advance(10);
  // It has read the rows but not missed an answer of the worker yet.
  await world.advance(300);
  for (const { name, clock, leadership } of world.entries) {
    if (name !== first?.name && leadership.term) clock.freeze(60_000);
  }
  await world.advance(12_000);
  const { history } = world.fleet;
  assert.deepEqual(world.findViolations(), []);
  assert.deepEqual(findLongGaps(history, world.clock.nowMs(), 12_000), []);
});

function hasOtherLeader(world: EntryWorld, former: string): boolean {
  return world.entries.some(
    ({ name, leadership }) => name !== former && leadership.term !== undefined,
  );
}
