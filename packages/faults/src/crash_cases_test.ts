import assert from "node:assert/strict";
import { test } from "node:test";
import { LossEvidence } from "@laburnumtrack/jobs/crash_losses";
import type { Step } from "@laburnumtrack/jobs/job";
import { readState, stateKey } from "@laburnumtrack/jobs/job_rows";
import { JobPhase, type StoredLoss } from "@laburnumtrack/jobs/job_state";
import { EntryWorld } from "./entry_world";

const CRASHING_ID = "00000000000000c0";
/** Workers may crash under a task this often before it must be given up. */
const MAX_CRASHES = 3;
/** After so many crashes, fewer starts than this are allowed. */
const MAX_LATER_STARTS = 3;

interface Case {
  readonly name: string;
  /** Steps of the job. */
  readonly steps?: Partial<Step>[];
  /** The step whose task with index 0 crashes its workers; 0 by default. */
  readonly step?: number;
  /** Work of its tasks in ms. */
  readonly workMs?: number;
  /** What else its spec says. */
  readonly spec?: string;
  /** Time after its start at which it crashes its worker, in ms. */
  readonly crashMs?: number;
  readonly workers?: number;
  /** Time after which a worker that crashed is back, in ms. */
  readonly restartDelayMs?: number;
  /** Whether it is back under a new id. */
  readonly isRenamed?: boolean;
  /** Whether it is back under a new id that the registry doesn't list yet. */
  readonly isUnlisted?: boolean;
  /** Number of innocent jobs, which must be completed. */
  readonly innocents?: number;
  /** What happens after the jobs were submitted. */
  readonly disturb?: (world: EntryWorld) => Promise<void>;
  /** Most crashes under the task; `MAX_CRASHES` by default. */
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
    name: "workers come back under a new id that is not listed",
    isUnlisted: true,
    workers: 8,
  },
  {
    name: "workers never come back",
    restartDelayMs: Number.POSITIVE_INFINITY,
    workers: 10,
    innocents: 4,
    // Without proof, each loss could be a worker that is cut off.
    maxCrashes: MAX_CRASHES + MAX_LATER_STARTS - 1,
  },
  {
    name: "workers never come back, and the leader stops after the first crash",
    restartDelayMs: Number.POSITIVE_INFINITY,
    workers: 10,
    disturb: async (world) => {
      await awaitCrashes(world, 1);
      await world.advance(100);
      const stopping = world.leader?.stop();
      await world.advance(8000);
      await stopping;
    },
    maxCrashes: MAX_CRASHES + MAX_LATER_STARTS - 1,
  },
  {
    name: "workers never come back, and a leader is lost just after the second crash",
    restartDelayMs: Number.POSITIVE_INFINITY,
    workers: 10,
    disturb: async (world) => {
      await awaitCrashes(world, 2);
      world.table.refused.add(world.leader?.name ?? "");
      await world.advance(8000);
    },
    maxCrashes: MAX_CRASHES + MAX_LATER_STARTS - 1,
  },
  { name: "as one task of a wide step", steps: [{ count: 12 }], innocents: 4 },
  {
    name: "in a gang",
    steps: [{ count: 4, isGang: true }],
    innocents: 4,
    spec: "&gang=1",
  },
  {
    name: "as a long-running task",
    steps: [{ count: 3, isLongRunning: true }],
    workMs: 1_000_000,
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
  },
  {
    name: "the leader is lost just after the second crash",
    innocents: 6,
    disturb: async (world) => {
      await awaitCrashes(world, 2);
      world.table.refused.add(world.leader?.name ?? "");
      await world.advance(8000);
    },
  },
  {
    name: "leaders stop in series",
    innocents: 6,
    disturb: (world) => replaceLeadersInSeries(world, 0),
  },
  {
    name: "leaders stop in series, workers come back under a new id",
    innocents: 6,
    isRenamed: true,
    disturb: (world) => replaceLeadersInSeries(world, 0),
  },
];

for (const given of CASES) {
  test(`crash: ${given.name}`, async () => {
    const { workers = 4, innocents = 0, crashMs = 100 } = given;
    const { step = 0, workMs = 800 } = given;
    const world = createWorld(given, { entries: 12, workers });
    await world.advance(2000);
    for (let job = 0; job < innocents; job += 1) {
      await world.submit(innocentId(job), "work=1500", [{ count: 4 }]);
    }
    const spec = `work=${workMs}&crash=${crashMs}&index=0&step=${step}`;
    const { spec: more = "" } = given;
    await world.submit(CRASHING_ID, spec + more, given.steps ?? [{ count: 1 }]);
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

// The limit counts crashes, whoever is to blame. Restarts that are noticed late
// prove less, so that more of them are borne.
for (const { restarts, phase } of [
  { restarts: 4, phase: JobPhase.Completed },
  { restarts: 5, phase: JobPhase.Failed },
]) {
  test(`crash: a job is ${phase} after ${restarts} restarts of workers just after starts of its task`, async () => {
    const world = new EntryWorld({ entries: 3, workers: 4 });
    await world.advance(2000);
    await world.submit(CRASHING_ID, "work=1500", [{ count: 1 }]);
    for (let count = 0; count < restarts; count += 1) {
      while (findRunning(world) === undefined) await world.advance(10);
      await world.advance(100);
      world.fleet.restart(findRunning(world) ?? "");
      await world.advance(2000);
    }
    await world.advance(20_000);
    assert.deepEqual(world.findViolations(), []);
    assert.deepEqual(await world.readPhases(), [phase]);
  });
}

interface FaultyMachineCase {
  readonly name: string;
  /** Time between two crashes of the machine, in ms. */
  readonly intervalMs: number;
  readonly step: Partial<Step>;
  readonly phase: JobPhase;
}

const FAULTY_MACHINE_CASES: readonly FaultyMachineCase[] = [
  {
    name: "seconds after each start of the task",
    intervalMs: 6500,
    step: { count: 1 },
    phase: JobPhase.Completed,
  },
  {
    name: "under a long-running task",
    intervalMs: 6500,
    step: { count: 1, isLongRunning: true },
    phase: JobPhase.Running,
  },
  {
    name: "as soon as it is back",
    intervalMs: 2600,
    step: { count: 1 },
    phase: JobPhase.Completed,
  },
];

for (const { name, intervalMs, step, phase } of FAULTY_MACHINE_CASES) {
  // Guards against a job that is shown as failed because its only machine crashes.
  test(`crash: a job is not given up when its machine crashes six times, ${name}`, async () => {
    const world = createWorld(
      { restartDelayMs: 2500, isRenamed: true },
      { entries: 3, workers: 1 },
    );
    await world.advance(2000);
    const workMs = step.isLongRunning ? 1_000_000 : 8000;
    await world.submit(innocentId(0), `work=${workMs}`, [step]);
    for (let count = 0; count < 6; count += 1) {
      await world.advance(count === 0 ? 4000 : intervalMs);
      world.fleet.crash(count === 0 ? "w0" : `w0+${count}`);
    }
    await world.advance(60_000);
    assert.deepEqual(world.findViolations(), []);
    assert.deepEqual(await world.readPhases(), [phase]);
    if (step.isLongRunning) assert.ok(findRunning(world) !== undefined);
  });
}

/** The worker that runs a task now. */
function findRunning(world: EntryWorld): string | undefined {
  return world.fleet.history.find(({ endMs }) => endMs === undefined)?.worker;
}

/** Moments of a change of the leader, in ms after a crash. */
const OFFSETS_MS = [0, 30, 100, 300, 900, 1700];

const LEADER_CHANGES: readonly {
  readonly name: string;
  readonly change: (world: EntryWorld, offsetMs: number) => Promise<void>;
}[] = [
  {
    name: "the leader stops",
    change: async (world, offsetMs) => {
      await awaitCrashes(world, 1);
      await world.advance(offsetMs);
      const stopping = world.leader?.stop();
      await world.advance(8000);
      await stopping;
    },
  },
  {
    name: "the leader is lost",
    change: async (world, offsetMs) => {
      await awaitCrashes(world, 1);
      await world.advance(offsetMs);
      world.table.refused.add(world.leader?.name ?? "");
      await world.advance(8000);
    },
  },
  { name: "leaders stop in series", change: replaceLeadersInSeries },
];

for (const { name, change } of LEADER_CHANGES) {
  for (const isRenamed of [false, true]) {
    test(`crash: ${name} at any moment, renamed: ${isRenamed}`, async () => {
      for (const offsetMs of OFFSETS_MS) {
        const world = createWorld({ isRenamed }, { entries: 12, workers: 4 });
        await world.advance(2000);
        await world.submit(CRASHING_ID, "work=800&crash=40", [{ count: 1 }]);
        await change(world, offsetMs);
        await world.advance(45_000);
        const about = `offset ${offsetMs} ms`;
        assert.deepEqual(world.findViolations(), [], about);
        assert.deepEqual(findLateStarts(world), [], about);
        assert.deepEqual(await world.readPhases(), [JobPhase.Failed], about);
      }
    });
  }
}

test("crash: a start after a loss is stored before it is sent", async () => {
  const world = createWorld({}, { entries: 1, workers: 4 });
  await world.advance(2000);
  await world.submit(CRASHING_ID, "work=800&crash=100", [{ count: 1 }]);
  const { history } = world.fleet;
  while (history.length < 2) await world.advance(1);
  const losses = await readLosses(world);
  const { run, worker } = history[1] ?? { run: 0, worker: "" };
  const stored = losses.find((loss) => loss.run === run);
  assert.equal(stored?.worker, worker);
  assert.equal(stored?.evidence, LossEvidence.Open);
});

test("crash: runs on a worker that has just fallen silent are stored", async () => {
  const world = createWorld({}, { entries: 1, workers: 4 });
  await world.advance(2000);
  await world.submit(CRASHING_ID, "work=800&crash=100", [{ count: 1 }]);
  await awaitCrashes(world, 1);
  await world.advance(200);
  const [loss] = await readLosses(world);
  assert.equal(loss?.run, world.fleet.history[0]?.run);
});

test("crash: a task whose workers were cut off again and again is not given up", async () => {
  const world = createWorld({}, { entries: 3, workers: 4 });
  const { fleet } = world;
  await world.advance(2000);
  await world.submit(innocentId(0), "work=14000", [{ count: 1 }]);
  for (let round = 0; round < 6; round += 1) {
    await world.advance(1000);
    const id = fleet.history.at(-1)?.worker ?? "";
    fleet.unreachable.add(id);
    await world.advance(8000);
    fleet.unreachable.delete(id);
    await world.advance(1000);
  }
  assert.ok(fleet.history.length > MAX_CRASHES);
  await world.advance(30_000);
  assert.deepEqual(world.findViolations(), []);
  assert.deepEqual(await world.readPhases(), [JobPhase.Completed]);
});

interface InnocentCase {
  readonly name: string;
  readonly disturb: (world: EntryWorld) => Promise<void>;
  readonly restartDelayMs?: number;
  readonly isRenamed?: boolean;
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
    workMs: 24_000,
    disturb: async (world) => {
      for (let round = 0; round < 4; round += 1) {
        // Each run works for more than 10 s before its worker crashes.
        await world.advance(20_000);
        for (const id of ["w0", "w1", "w2", "w3"]) world.fleet.crash(id);
      }
    },
  },
  {
    name: "several crashing tasks come one after the other",
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
  test(`crash: innocent tasks complete when ${given.name}`, async () => {
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
  });
}

function createWorld(
  given: Pick<Case, "restartDelayMs" | "isRenamed" | "isUnlisted">,
  size: { entries: number; workers: number },
): EntryWorld {
  const world = new EntryWorld(size);
  world.fleet.restartDelayMs = given.restartDelayMs ?? 3000;
  if (given.isRenamed === true) world.renameCrashedWorkers();
  if (given.isUnlisted === true) world.fleet.onRestarted = (id) => `${id}+0`;
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

async function replaceLeadersInSeries(
  world: EntryWorld,
  offsetMs: number,
): Promise<void> {
  const stopping: (Promise<void> | undefined)[] = [];
  await world.advance(offsetMs);
  for (let round = 0; round < 10; round += 1) {
    stopping.push(world.leader?.stop());
    await world.advance(2000);
  }
  await Promise.all(stopping);
}

/** Losses in the stored state of the job whose task crashes workers. */
async function readLosses(world: EntryWorld): Promise<readonly StoredLoss[]> {
  const reading = world.table.get([stateKey(CRASHING_ID)]);
  await world.advance(20);
  const rows = await reading;
  const [row] = rows.unwrap();
  assert.ok(row);
  return readState(row)
    .unwrap()
    .steps.flatMap(({ losses = [] }) => losses);
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
