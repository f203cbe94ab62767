import assert from "node:assert/strict";
import { test } from "node:test";
import { EntryWorld } from "./entry_world";

interface Case {
  readonly name: string;
  /** Disturbs the evacuation of domain `a`, which has just been requested. */
  readonly disturb: (world: EntryWorld) => Promise<void>;
  /** Whether all tasks are in domain `b` in the end; true by default. */
  readonly isMoved?: boolean;
  /** Runs that are stopped in all; one for each task in `a` by default. */
  readonly maxStops?: number;
  /** Longest time that one task may be away, in ms. */
  readonly maxAwayMs?: number;
}

const EVACUATE_MS = 5000;
const TASKS = 4;
/** Most tasks that may be away at a time. */
const DISRUPTION_LIMIT = 1;
/** Age from which the simulated run of a long-running task is at full speed. */
const FULL_SPEED_MS = 100;
/** Longest time without a run after a stop while there is room, in ms. */
const MAX_AWAY_MS = 3000;
const SAMPLE_MS = 10;
const LONG_WORK = "work=600000";

const CASES: readonly Case[] = [
  { name: "nothing else happens", disturb: async () => {} },
  {
    name: "the leader hands over while a stop is in progress",
    disturb: async (world) => {
      await untilFirstStop(world);
      const stopping = world.leader?.stop();
      await world.advance(2000);
      await stopping;
    },
    maxAwayMs: 6000,
  },
  {
    name: "the leader dies while a stop is in progress",
    disturb: async (world) => {
      await untilFirstStop(world);
      world.leader?.clock.freeze(60_000);
      await world.advance(1);
    },
    maxAwayMs: 6000,
  },
  {
    name: "stops are carried out seconds later",
    disturb: async (world) => {
      world.fleet.lateOrderDelayMs = 2500;
      for (const id of ["a-0", "a-1"]) world.fleet.delayed.add(id);
      await world.advance(1500);
      world.fleet.delayed.clear();
    },
    maxAwayMs: 6000,
  },
  {
    name: "answers of the workers are lost",
    disturb: async (world) => {
      for (const id of ["a-0", "a-1"]) world.fleet.answersLost.add(id);
      await world.advance(1500);
      world.fleet.answersLost.clear();
    },
    maxAwayMs: 6000,
  },
  {
    name: "the other domain is evacuated at the same time",
    disturb: (world) => world.evacuate("b"),
    isMoved: false,
    maxStops: 1,
  },
  {
    name: "it is lifted at once",
    disturb: (world) => world.liftEvacuation("a"),
    isMoved: false,
    maxStops: 1,
  },
];

for (const given of CASES) {
  const { name, disturb, isMoved = true, maxAwayMs = MAX_AWAY_MS } = given;
  // Guards against an evacuation that takes a service down.
  test(`moves out of an evacuated domain: ${name}`, async () => {
    const world = new EntryWorld({
      entries: 3,
      workers: 4,
      workerIds: ["a-0", "a-1", "b-0", "b-1"],
      evacuateMs: EVACUATE_MS,
    });
    await world.advance(2500);
    await world.submit("00000000000000e1", LONG_WORK, [
      {
        count: TASKS,
        isLongRunning: true,
        disruptionLimit: DISRUPTION_LIMIT,
        perWorkerLimit: 2,
      },
    ]);
    await world.advance(3000);
    const fromMs = world.clock.nowMs();
    const inside = countInside(world);
    assert.ok(inside > 0, "tasks run in the domain before");
    await world.evacuate("a");
    await disturb(world);
    await world.advance(20_000);
    const { most, longestMs } = findAway(world, fromMs);
    assert.ok(most <= DISRUPTION_LIMIT, `${most} tasks away`);
    assert.ok(longestMs <= maxAwayMs, `a task away for ${longestMs} ms`);
    assert.equal(countInside(world) === 0, isMoved);
    const { maxStops = inside } = given;
    const stops = world.fleet.history.filter(({ end }) => end !== undefined);
    assert.ok(stops.length <= maxStops, `${stops.length} runs ended`);
    assert.deepEqual(world.findViolations(), []);
  });
}

// Guards against a stop for the evacuation of work that nobody else has room for.
test("moves out of an evacuated domain: everything stays where no room is left", async () => {
  const world = new EntryWorld({
    entries: 2,
    workers: 3,
    workerIds: ["a-0", "a-1", "b-0"],
    evacuateMs: EVACUATE_MS,
  });
  await world.advance(2500);
  const step = { isLongRunning: true, disruptionLimit: 2, perWorkerLimit: 1 };
  await world.submit("00000000000000e2", LONG_WORK, [{ ...step, count: 3 }]);
  await world.advance(3000);
  await world.evacuate("a");
  await world.advance(10_000);
  assert.equal(countInside(world), 2);
  assert.ok(world.fleet.history.every(({ end }) => end === undefined));
});

// Guards against a worker that is taken for one of its former domain.
test("moves out of an evacuated domain: a worker that returns in another domain is used", async () => {
  const world = new EntryWorld({
    entries: 2,
    workers: 1,
    workerIds: ["w0"],
    evacuateMs: EVACUATE_MS,
  });
  await world.writeEntry("w0", "0@a");
  await world.evacuate("a");
  await world.advance(2500);
  await world.submit("00000000000000e3", "work=300", [{ count: 1 }]);
  await world.advance(2000);
  assert.equal(world.fleet.history.length, 0);
  await world.writeEntry("w0", "0@b");
  await world.advance(1000);
  assert.equal(world.fleet.history.length, 1);
  await world.writeEntry("w0", "0@a");
  await world.submit("00000000000000e4", "work=300", [{ count: 1 }]);
  await world.advance(2000);
  assert.equal(world.fleet.history.length, 1);
});

async function untilFirstStop(world: EntryWorld): Promise<void> {
  const isStopping = (): boolean =>
    world.fleet.history.some(({ end }) => end !== undefined);
  while (!isStopping()) await world.advance(1);
}

function countInside(world: EntryWorld): number {
  return world.fleet.history.filter(
    ({ worker, endMs }) => worker.startsWith("a-") && endMs === undefined,
  ).length;
}

/** Most tasks that were away at a time, and the longest time of one. */
function findAway(
  world: EntryWorld,
  fromMs: number,
): { readonly most: number; readonly longestMs: number } {
  const { history } = world.fleet;
  const tasks = new Set(history.map(({ task }) => task));
  const awaySinceMs = new Map<string, number>();
  let most = 0;
  let longestMs = 0;
  for (let atMs = fromMs; atMs < world.clock.nowMs(); atMs += SAMPLE_MS) {
    for (const task of tasks) {
      const isUp = history.some(
        (run) =>
          run.task === task &&
          run.startMs + FULL_SPEED_MS <= atMs &&
          (run.endMs ?? Number.POSITIVE_INFINITY) > atMs,
      );
      if (isUp) {
        awaySinceMs.delete(task);
        continue;
      }
      const sinceMs = awaySinceMs.get(task) ?? atMs;
      awaySinceMs.set(task, sinceMs);
      longestMs = Math.max(longestMs, atMs - sinceMs);
    }
    most = Math.max(most, awaySinceMs.size);
  }
  return { most, longestMs };
}
