import assert from "node:assert/strict";
import { test } from "node:test";
import { LEADER_KEY } from "@laburnumtrack/jobs/job_rows";
import { EntryWorld } from "./entry_world";
import { findLongGaps } from "./run_violations";

interface Case {
  readonly name: string;
  /** Workers that crash and are back under a new id at their address. */
  readonly replaced?: number;
  /** Workers that crash for good. */
  readonly gone?: number;
  /** Workers that are cut off and run on. */
  readonly cutOff?: number;
  /** Whether the entries of replaced workers stay in the registry. */
  readonly keepsEntries?: boolean;
  /** Whether the killed leader was of a version that stores no placements. */
  readonly isOlderVersion?: boolean;
  /** Whether the tasks that were not on a worker that is gone wait for it. */
  readonly waits?: boolean;
}

const JOB_ID = "00000000000000fa";
const SPEC = "work=1000000";
const TASKS = 16;
const WORKERS = 8;
const STEP = { count: TASKS, isLongRunning: true, perWorkerLimit: 3 };
/** Time after which a replaced worker is back, in ms. */
const RESTART_DELAY_MS = 700;
/** Longest time without a run where the end of the last one is known, in ms. */
const MAX_GAP_MS = 4000;
/** Shortest wait for the lease of a worker whose fate is not known, in ms. */
const MIN_WAIT_MS = 6000;
const END_MS = 20_000;

const CASES: readonly Case[] = [
  { name: "all are replaced", replaced: 3 },
  { name: "one of them is gone for good", replaced: 2, gone: 1 },
  { name: "one of them is only cut off", replaced: 2, cutOff: 1 },
  {
    name: "one of them is gone for good, and entries stay",
    replaced: 2,
    gone: 1,
    keepsEntries: true,
  },
  {
    name: "and it stored no placements",
    replaced: 2,
    cutOff: 1,
    isOlderVersion: true,
    waits: true,
  },
];

for (const given of CASES) {
  const { name, replaced = 0, gone = 0, cutOff = 0 } = given;
  // Guards against long-running tasks that wait for the leases of workers on
  // which they can't run, and against a second run where they can.
  test(`failover: the leader is killed as workers crash, ${name}`, async () => {
    const world = new EntryWorld({ entries: 3, workers: WORKERS });
    const { fleet, clock } = world;
    fleet.restartDelayMs = RESTART_DELAY_MS;
    if (given.keepsEntries) keepEntriesOfCrashed(world);
    else world.renameCrashedWorkers();
    await world.advance(2000);
    await world.submit(JOB_ID, SPEC, [STEP]);
    await world.advance(12_000);
    assert.equal(fleet.history.length, TASKS);
    world.leader?.clock.freeze(600_000);
    for (let index = 0; index < replaced; index += 1) fleet.crash(`w${index}`);
    const lost = new Set<string>();
    for (let count = 0; count < gone + cutOff; count += 1) {
      const id = `w${replaced + count}`;
      lost.add(id);
      if (count < gone) fleet.leave(id);
      else fleet.unreachable.add(id);
    }
    if (given.isOlderVersion) await forgetPlacements(world);
    await world.advance(END_MS);
    assert.deepEqual(world.findViolations(), []);
    const onLost = new Set(
      fleet.history
        .filter(({ worker }) => lost.has(worker))
        .map(({ task }) => task),
    );
    const others = fleet.history.filter(({ task }) => !onLost.has(task));
    const nowMs = clock.nowMs();
    const limitMs = given.waits ? END_MS : MAX_GAP_MS;
    assert.deepEqual(findLongGaps(others, nowMs, limitMs), []);
    const waits = findLongGaps(others, nowMs, MIN_WAIT_MS);
    assert.equal(waits.length > 0, given.waits === true);
  });
}

// Guards against a second run: the worker that answers may be at an address that
// the lost one has left.
test("failover: an unlisted instance at the address of a worker does not end its lease", async () => {
  const world = new EntryWorld({ entries: 3, workers: WORKERS });
  const { fleet, clock } = world;
  fleet.restartDelayMs = RESTART_DELAY_MS;
  fleet.onRestarted = (id) => `${id}+0`;
  await world.advance(2000);
  await world.submit(JOB_ID, SPEC, [STEP]);
  await world.advance(12_000);
  fleet.crash("w0");
  await world.advance(END_MS);
  const gaps = findLongGaps(fleet.history, clock.nowMs(), MIN_WAIT_MS - 1000);
  assert.equal(gaps.length, 2);
});

// Guards against starts on a worker that is gone, which look like free room as
// long as its entry stays in the registry.
test("failover: a replaced worker gets no tasks while it is still registered", async () => {
  const world = new EntryWorld({ entries: 1, workers: 2 });
  const { fleet, clock } = world;
  fleet.restartDelayMs = 100;
  keepEntriesOfCrashed(world);
  await world.advance(2000);
  await world.submit(JOB_ID, SPEC, [{ ...STEP, perWorkerLimit: 0 }]);
  await world.advance(2000);
  fleet.crash("w0");
  const start = fleet.start.bind(fleet);
  let lostStarts = 0;
  fleet.start = (target, order) => {
    if (target.id === "w0") lostStarts += 1;
    return start(target, order);
  };
  await world.advance(300);
  lostStarts = 0;
  await world.submit("00000000000000fb", "work=500", [{ count: 20 }]);
  await world.advance(END_MS);
  assert.equal(lostStarts, 0);
  const lasting = fleet.history.filter(({ task }) => task.startsWith(JOB_ID));
  const gaps = findLongGaps(lasting, clock.nowMs(), 1000);
  assert.deepEqual(gaps, []);
  assert.deepEqual(world.findViolations(), []);
});

// Guards against long-running tasks that never start, as each try stores another
// placement for longer than a start may wait.
test("failover: long-running tasks start while commits are slow", async () => {
  const world = new EntryWorld({ entries: 1, workers: 3 });
  await world.advance(2000);
  world.table.delaysMs.set("e0", 1100);
  await world.submit(JOB_ID, SPEC, [STEP]);
  await world.advance(10_000);
  const active = world.fleet.history.filter(({ endMs }) => endMs === undefined);
  assert.equal(active.length, 9);
});

/** Lets workers come back under a new id while the former entry stays. */
function keepEntriesOfCrashed({ fleet, table }: EntryWorld): void {
  fleet.onRestarted = (id, bornMs) => {
    const key = `workers/${id}+1`;
    void table.commit({
      checks: [],
      writes: [{ key, value: `${bornMs}` }],
    });
    return `${id}+1`;
  };
}

/** Rewrites the leadership row as a version without placements writes it. */
async function forgetPlacements(world: EntryWorld): Promise<void> {
  const reading = world.table.get([LEADER_KEY]);
  await world.advance(10);
  const [row] = (await reading).unwrap();
  const { placementsSince, ...former } = JSON.parse(row?.value ?? "{}");
  assert.equal(placementsSince, 1);
  await world.writeRow(LEADER_KEY, JSON.stringify(former));
}
