import assert from "node:assert/strict";
import { test } from "node:test";
import type { Step } from "@laburnumtrack/jobs/job";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import { EntryWorld } from "./entry_world";

const CRASHING_ID = "00000000000000c0";
/** Workers may crash under a task this often before it must be given up. */
const MAX_CRASHES = 3;
/** After so many crashes, fewer starts than this are allowed. */
const MAX_LATER_STARTS = 3;

/** See KNOWN-RED.txt. */
const KNOWN_RED = { todo: "a task that crashes its workers is not given up" };

interface Case {
  readonly name: string;
  /** Steps of the job. */
  readonly steps?: Partial<Step>[];
  /** The step whose task with index 0 crashes its workers; 0 by default. */
  readonly step?: number;
  /** Time after its start at which it crashes its worker, in ms. */
  readonly crashMs?: number;
  readonly workers?: number;
  /** Time after which a worker that crashed is back, in ms. */
  readonly restartDelayMs?: number;
  /** Whether it is back under a new id. */
  readonly isRenamed?: boolean;
  /** Number of innocent jobs, which must be completed. */
  readonly innocents?: number;
  /** What happens after the jobs were submitted. */
  readonly disturb?: (world: EntryWorld) => Promise<void>;
  /** Most crashes under the task; by default those of one leader. */
  readonly maxCrashes?: number;
}

const CASES: readonly Case[] = [
  { name: "alone" },
  { name: "workers come back under a new id", isRenamed: true },
  { name: "beside innocent tasks", innocents: 12 },
  {
    name: "beside innocent tasks, workers come back under a new id",
    innocents: 12,
    isRenamed: true,
  },
  { name: "on a single worker", workers: 1, innocents: 2 },
  { name: "at once after the start", crashMs: 1, innocents: 6 },
  {
    name: "workers are back before a renewal fails",
    restartDelayMs: 200,
    innocents: 6,
  },
  {
    name: "workers are back after their lease expired",
    restartDelayMs: 9000,
    workers: 6,
    innocents: 6,
  },
  {
    name: "workers are back after their lease expired, under a new id",
    restartDelayMs: 9000,
    workers: 6,
    isRenamed: true,
    innocents: 6,
  },
  {
    name: "workers never come back",
    restartDelayMs: Number.POSITIVE_INFINITY,
    workers: 10,
    innocents: 4,
    // Without proof, each loss could be a worker that is cut off.
    maxCrashes: MAX_CRASHES + MAX_LATER_STARTS - 1,
  },
  { name: "as one task of a wide step", steps: [{ count: 12 }], innocents: 4 },
  { name: "in a gang", steps: [{ count: 4, isGang: true }], innocents: 4 },
  {
    name: "as a long-running task",
    steps: [{ count: 3, isLongRunning: true }],
    innocents: 4,
  },
  {
    name: "in a later step",
    steps: [{ count: 2 }, { count: 3, after: [0] }],
    step: 1,
  },
  {
    name: "the leader stops just after the first crash",
    innocents: 6,
    disturb: async (world) => {
      await awaitCrashes(world, 1);
      await world.advance(40);
      const stopping = world.leader?.stop();
      await world.advance(8000);
      await stopping;
    },
    maxCrashes: MAX_CRASHES + 1,
  },
  {
    name: "the leader is lost just after the second crash",
    innocents: 6,
    disturb: async (world) => {
      await awaitCrashes(world, 2);
      world.table.refused.add(world.leader?.name ?? "");
      await world.advance(8000);
    },
    maxCrashes: MAX_CRASHES + 1,
  },
  {
    name: "leaders stop in series",
    innocents: 6,
    disturb: replaceLeadersInSeries,
    maxCrashes: MAX_CRASHES + 1,
  },
  {
    name: "leaders stop in series, workers come back under a new id",
    innocents: 6,
    isRenamed: true,
    disturb: replaceLeadersInSeries,
    maxCrashes: MAX_CRASHES + 1,
  },
];

for (const given of CASES) {
  test(`crash: ${given.name}`, KNOWN_RED, async () => {
    const { workers = 4, innocents = 0, crashMs = 100 } = given;
    const world = createWorld(given, { entries: 12, workers });
    await world.advance(2000);
    for (let job = 0; job < innocents; job += 1) {
      await world.submit(innocentId(job), "work=1500", [{ count: 4 }]);
    }
    const spec = `work=800&crash=${crashMs}&index=0&step=${given.step ?? 0}`;
    await world.submit(CRASHING_ID, spec, given.steps ?? [{ count: 1 }]);
    await given.disturb?.(world);
    await world.advance(100_000);
    assert.deepEqual(world.findViolations(), []);
    assert.deepEqual(findLateStarts(world), []);
    const { maxCrashes = MAX_CRASHES } = given;
    const count = countCrashes(world);
    assert.ok(count <= maxCrashes, `workers crashed ${count} times`);
    const phases = await world.readPhases();
    assert.equal(phases.pop(), JobPhase.Failed);
    const expected = new Array(innocents).fill(JobPhase.Completed);
    assert.deepEqual(phases, expected);
  });
}

interface InnocentCase {
  readonly name: string;
  readonly disturb: (world: EntryWorld) => Promise<void>;
  readonly restartDelayMs?: number;
  readonly isRenamed?: boolean;
  readonly isRed?: boolean;
  /** Work of each task in ms. */
  readonly workMs?: number;
}

const INNOCENT_CASES: readonly InnocentCase[] = [
  {
    name: "workers are cut off one after the other and run on",
    workMs: 4000,
    disturb: async (world) => {
      for (let round = 0; round < 6; round += 1) {
        const id = `w${round % 4}`;
        world.fleet.unreachable.add(id);
        await world.advance(8000);
        world.fleet.unreachable.delete(id);
        await world.advance(1000);
      }
    },
  },
  {
    name: "power is lost twice on most workers",
    workMs: 4000,
    disturb: async (world) => {
      for (let round = 0; round < 2; round += 1) {
        for (const id of ["w0", "w1", "w2"]) world.fleet.crash(id);
        await world.advance(5000);
      }
    },
  },
  {
    name: "a worker crashes again and again after long runs",
    workMs: 14_000,
    disturb: async (world) => {
      for (let round = 0; round < 4; round += 1) {
        await world.advance(12_000);
        for (const id of ["w0", "w1", "w2", "w3"]) world.fleet.crash(id);
      }
    },
  },
  {
    name: "several crashing tasks come one after the other",
    isRed: true,
    workMs: 1500,
    disturb: async (world) => {
      for (let job = 0; job < 4; job += 1) {
        const id = `00000000000000d${job}`;
        await world.submit(id, "work=800&crash=60", [{ count: 1 }]);
        await world.advance(2500);
      }
    },
  },
];

for (const given of INNOCENT_CASES) {
  test(
    `crash: innocent tasks complete when ${given.name}`,
    given.isRed ? KNOWN_RED : {},
    async () => {
      const { workMs = 1500 } = given;
      const world = createWorld(given, { entries: 3, workers: 4 });
      await world.advance(2000);
      const jobs = 8;
      for (let job = 0; job < jobs; job += 1) {
        await world.submit(innocentId(job), `work=${workMs}`, [{ count: 4 }]);
      }
      await given.disturb(world);
      await world.advance(90_000);
      assert.deepEqual(world.findViolations(), []);
      const phases = (await world.readPhases()).slice(0, jobs);
      assert.deepEqual(phases, new Array(jobs).fill(JobPhase.Completed));
    },
  );
}

function createWorld(
  given: { restartDelayMs?: number; isRenamed?: boolean },
  size: { entries: number; workers: number },
): EntryWorld {
  const world = new EntryWorld(size);
  world.fleet.restartDelayMs = given.restartDelayMs ?? 3000;
  if (given.isRenamed === true) world.renameCrashedWorkers();
  return world;
}

function innocentId(job: number): string {
  return job.toString(16).padStart(16, "0");
}

async function awaitCrashes(world: EntryWorld, count: number): Promise<void> {
  const limitMs = world.clock.nowMs() + 30_000;
  while (countCrashes(world) < count && world.clock.nowMs() < limitMs) {
    await world.advance(10);
  }
}

async function replaceLeadersInSeries(world: EntryWorld): Promise<void> {
  const stopping: (Promise<void> | undefined)[] = [];
  for (let round = 0; round < 10; round += 1) {
    stopping.push(world.leader?.stop());
    await world.advance(2000);
  }
  await Promise.all(stopping);
}

function countCrashes({ fleet }: EntryWorld): number {
  return fleet.crashes.filter(({ task }) => task.startsWith(CRASHING_ID))
    .length;
}

/** Tasks that were started three times more after three crashes under them. */
function findLateStarts({ fleet }: EntryWorld): string[] {
  const tasks = new Set(fleet.crashes.map(({ task }) => task));
  return [...tasks].filter((task) => {
    const crashes = fleet.crashes.filter((crash) => crash.task === task);
    const last = crashes[MAX_CRASHES - 1];
    if (last === undefined) return false;
    const later = fleet.history.filter(
      (record) => record.task === task && record.startMs > last.atMs,
    );
    return later.length >= MAX_LATER_STARTS;
  });
}
