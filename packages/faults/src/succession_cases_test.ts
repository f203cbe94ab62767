import assert from "node:assert/strict";
import { test } from "node:test";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import { RunEnd } from "@laburnumtrack/jobs/task_worker";
import { EntryWorld } from "./entry_world";

const WORK_MS = 3000;
const JOBS = 6;

const SUCCESSION_CASES: readonly {
  readonly name: string;
  /** Processing capacity of each entry's VM in cores. */
  readonly capacities: readonly number[];
  /** Entries that may lead at the end. */
  readonly leaders: readonly string[];
}[] = [
  {
    name: "moves to the VM with more processing capacity",
    capacities: [0.3, 0.3, 1.4],
    leaders: ["e2"],
  },
  {
    name: "stays where it is among similar VMs",
    capacities: [0.6, 0.6, 0.7],
    leaders: ["e0"],
  },
];

for (const { name, capacities, leaders } of SUCCESSION_CASES) {
  test(`leadership: ${name}`, async () => {
    const world = new EntryWorld({ entries: 3, workers: 4, capacities });
    await world.advance(2000);
    for (let job = 0; job < JOBS; job += 1) {
      const id = `${job}`.padStart(16, "0");
      await world.submit(id, `work=${WORK_MS}`, [{ count: 2 }]);
    }
    await world.advance(10_000);
    assert.ok(leaders.includes(world.leader?.name ?? ""));
    assert.deepEqual(world.findViolations(), []);
    assert.equal(world.countEnds(RunEnd.Lapsed), 0);
    const expected = new Array(JOBS).fill(JobPhase.Completed);
    assert.deepEqual(await world.readPhases(), expected);
  });
}

test("leadership: a lost leader on a large VM is succeeded by another large VM", async () => {
  const capacities = [1.4, 0.3, 0.3, 1.4];
  const world = new EntryWorld({ entries: 4, workers: 4, capacities });
  await world.advance(2000);
  assert.equal(world.leader?.name, "e0");
  world.table.refused.add("e0");
  await world.advance(1900);
  assert.equal(world.entries[3]?.leadership.term !== undefined, true);
});

// Guards against a row of leaders on small VMs, none of which has read all jobs
// before the next one takes over.
test("leadership: a lost leader on a small VM is succeeded by a large VM", async () => {
  const capacities = [0.3, 0.3, 0.3, 1.4];
  const world = new EntryWorld({ entries: 4, workers: 4, capacities });
  await world.advance(1500);
  assert.equal(world.leader?.name, "e0");
  world.table.refused.add("e0");
  await world.advance(1900);
  assert.equal(world.entries[3]?.leadership.term !== undefined, true);
});

test("leadership: waiting jobs stay counted while the next leader loads", async () => {
  const world = new EntryWorld({ entries: 3, workers: 0 });
  await world.advance(2000);
  for (let job = 0; job < JOBS; job += 1) {
    await world.submit(`${job}`.padStart(16, "0"), "work=1000", [{}]);
  }
  await world.advance(1000);
  const stopping = world.leader?.stop();
  for (let check = 0; check < 200; check += 1) {
    await world.advance(10);
    for (const { leadership } of world.entries) {
      assert.equal(leadership.view?.row.pending.q, JOBS);
    }
  }
  await stopping;
});
