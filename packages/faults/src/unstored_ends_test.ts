import assert from "node:assert/strict";
import { test } from "node:test";
import { stateKey } from "@laburnumtrack/jobs/job_rows";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import { EntryWorld } from "./entry_world";

const REJECTED_ID = "00000000000000aa";
const OTHER_ID = "00000000000000bb";
const WORK = "work=300";
/** Steps of a job; only the tasks of the first one end at once. */
const STEPS = [{ count: 4 }, { count: 4, after: [0] }];

/** How the leader ends while the table rejects the state of a job. */
const CASES: readonly {
  readonly name: string;
  readonly change: (world: EntryWorld) => Promise<void>;
}[] = [
  {
    name: "is paused",
    change: async ({ leader }) => {
      leader?.clock.freeze(60_000);
    },
  },
  {
    name: "releases its leadership",
    change: async ({ leader }) => {
      void leader?.stop();
    },
  },
  {
    name: "is paused while a worker does not answer",
    change: async (world) => {
      world.fleet.unreachable.add("w0");
      await world.advance(1500);
      world.leader?.clock.freeze(60_000);
      await world.advance(1000);
      world.fleet.unreachable.delete("w0");
    },
  },
];

for (const { name, change } of CASES) {
  // Guards against tasks that are done and run again under the next leader: their
  // ends were acknowledged although the table had rejected the state of their job.
  test(`unstored ends: a job's tasks run once if its state is rejected and the leader ${name}`, async () => {
    const world = new EntryWorld({ entries: 3, workers: 3 });
    await world.advance(2000);
    world.table.rejectedKeys.add(stateKey(REJECTED_ID));
    await world.submit(REJECTED_ID, WORK, STEPS);
    await world.submit(OTHER_ID, WORK, STEPS);
    await world.advance(3000);
    await change(world);
    await world.advance(200);
    world.table.rejectedKeys.clear();
    await world.advance(25_000);
    assert.deepEqual(world.findViolations(), []);
    const done = JobPhase.Completed;
    assert.deepEqual(await world.readPhases(), [done, done]);
  });
}

// Guards against a worker whose new ends are not seen any more, because it lists
// only the ends of a job that cannot be stored.
test("unstored ends: a job whose state is rejected does not hold up others", async () => {
  const world = new EntryWorld({ entries: 2, workers: 1 });
  await world.advance(2000);
  world.table.rejectedKeys.add(stateKey(REJECTED_ID));
  await world.submit(REJECTED_ID, WORK, [{ count: 1 }, { after: [0] }]);
  await world.advance(1000);
  for (let round = 0; round < 30; round += 1) {
    const id = `c${round.toString(16).padStart(15, "0")}`;
    await world.submit(id, "work=20", [{ count: 25 }]);
    await world.advance(3000);
  }
  const phases = await world.readPhases();
  const completed = phases.filter((phase) => phase === JobPhase.Completed);
  assert.equal(completed.length, 30);
});
