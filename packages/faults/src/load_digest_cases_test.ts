import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type LoadDigest,
  readLoadDigest,
} from "@laburnumtrack/admission/load_digest";
import { EntryWorld } from "./entry_world";

const LIMIT_BYTES = 50_000_000;
const JOBS = 200;

function digestOf(world: EntryWorld): LoadDigest | undefined {
  const follower = world.entries.find((entry) => entry !== world.leader);
  return readLoadDigest(follower?.leadership.view?.row.load);
}

// Guards against entries that decide on the load of a leader that has ended, or
// on none although there is one.
test("load digest: entries see the load of the leader, also of a new one", async () => {
  const world = new EntryWorld({
    entries: 3,
    workers: 1,
    jobsLimitBytes: LIMIT_BYTES,
  });
  await world.advance(2000);
  await world.submitTogether(JOBS, "work=60000&fail=0");
  await world.advance(3000);
  const first = digestOf(world);
  assert.ok(first !== undefined);
  const [queue] = first.queues;
  const [pool] = first.pools;
  assert.deepEqual([queue?.pool, queue?.priority], ["pool", 0]);
  // One worker runs 16 of the tasks of 0.5 s on one core.
  assert.equal(queue?.backlogMilliS, (JOBS - 16) * 500);
  assert.equal(pool?.capacityMilli, 16_000);
  assert.equal(pool?.freeMilli, 0);
  assert.ok(first.bytes > JOBS * 1000, `${first.bytes} bytes`);
  assert.equal(first.limitBytes, LIMIT_BYTES);
  const former = world.leader;
  assert.ok(former !== undefined);
  const stopping = former.stop();
  await world.advance(5000);
  await stopping;
  const second = digestOf(world);
  assert.equal(second?.queues[0]?.backlogMilliS, (JOBS - 16) * 500);
  assert.equal(second.bytes, first.bytes);
});

test("load digest: none is stored without a memory limit", async () => {
  const world = new EntryWorld({ entries: 2, workers: 1 });
  await world.advance(3000);
  assert.ok(world.leader !== undefined);
  assert.equal(world.leader.leadership.view?.row.load, undefined);
});
