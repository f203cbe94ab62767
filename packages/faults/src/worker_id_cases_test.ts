import assert from "node:assert/strict";
import { test } from "node:test";
import { LEADER_KEY, readLeadership } from "@laburnumtrack/jobs/job_rows";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import { EntryWorld } from "./entry_world";

const JOB_ID = "00000000000000c0";
/** Time by which a new leader leads and has planned, in ms. */
const TAKEOVER_MS = 4000;
/** Time by which all leases of a former leader have expired, in ms. */
const EXPIRY_MS = 25_000;

/** Ids that are also names of properties that every object inherits. */
const IDS = ["constructor", "toString", "hasOwnProperty", "__proto__"];

for (const id of IDS) {
  // Guards against a leadership row that nobody can decode: the remaining lease
  // of a silent worker was computed from an inherited property and stored as
  // null, and no process could lead after that.
  test(`worker ids: a silent worker named ${id} does not end all leadership`, async () => {
    const world = new EntryWorld({ entries: 3, workers: 2, workerIds: [id] });
    world.fleet.unreachable.add(id);
    await world.advance(3000);
    const stopping = world.leader?.stop();
    await world.advance(TAKEOVER_MS);
    await stopping;
    assert.ok(world.leader, "no process leads");
    await world.submit(JOB_ID, "work=100", [{ count: 2 }]);
    await world.advance(2000);
    assert.deepEqual(await world.readPhases(), [JobPhase.Completed]);
    const read = world.table.get([LEADER_KEY]);
    await world.advance(50);
    const [row] = (await read).unwrap();
    assert.ok(row);
    const { silent } = readLeadership(row).unwrap();
    assert.deepEqual(Object.keys(silent), [id]);
  });

  // Guards against tasks that run twice: the lease of a former leader on this
  // worker counted as expired at once.
  test(`worker ids: runs on a silent worker named ${id} are awaited after a takeover`, async () => {
    const world = new EntryWorld({ entries: 3, workers: 2, workerIds: [id] });
    await world.advance(2000);
    await world.submit(JOB_ID, "work=4000", [{ count: 8 }]);
    await world.advance(500);
    const isUsed = world.fleet.history.some(({ worker }) => worker === id);
    assert.ok(isUsed, "the worker runs nothing");
    world.fleet.unreachable.add(id);
    const former = world.leader;
    assert.ok(former);
    world.table.refused.add(former.name);
    await world.advance(EXPIRY_MS);
    assert.deepEqual(world.findViolations(), []);
    assert.deepEqual(await world.readPhases(), [JobPhase.Completed]);
  });
}
