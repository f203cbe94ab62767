import assert from "node:assert/strict";
import { test } from "node:test";
import type { Step } from "@laburnumtrack/jobs/job";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import { EntryWorld } from "./entry_world";

const WORKERS = ["w0", "w1", "w2"];
const LASTING_ID = "a000000000000000";
const LASTING = { isLongRunning: true, estimateMs: 0, perWorkerLimit: 1 };
const FOREVER = "work=1000000000";
/** Time for which each worker fails all that it starts, in ms. */
const FAILING_MS = 4000;
/** Time after which no worker is set aside any more, in ms. */
const SET_ASIDE_MS = 14_000;
/** Longest time without a start while there is room, in ms. */
const MAX_IDLE_MS = 3000;
const WORK_MS = 300;

const CASES: readonly {
  readonly name: string;
  /** Step whose tasks are at work on the workers before they fail. */
  readonly before: Partial<Step> | undefined;
  /** Work and step of the job that waits once the workers are sound again. */
  readonly waiting: { readonly spec: string; readonly step: Partial<Step> };
}[] = [
  {
    name: "empty workers and tasks that end",
    before: undefined,
    waiting: { spec: `work=${WORK_MS}`, step: { count: 12 } },
  },
  {
    name: "workers with a task that lasts and tasks that end",
    before: LASTING,
    waiting: { spec: `work=${WORK_MS}`, step: { count: 12 } },
  },
  {
    name: "workers with a serving task and tasks that end",
    before: { ...LASTING, targetMs: 100 },
    waiting: { spec: `work=${WORK_MS}`, step: { count: 12 } },
  },
  {
    name: "workers with a filler and tasks that end",
    before: { ...LASTING, isFiller: true },
    waiting: { spec: `work=${WORK_MS}`, step: { count: 12 } },
  },
  {
    name: "workers with a task that lasts and tasks that last",
    before: LASTING,
    waiting: { spec: FOREVER, step: { ...LASTING, count: 3 } },
  },
  {
    name: "workers with a task that lasts and a gang",
    before: LASTING,
    waiting: {
      spec: `work=${WORK_MS}&gang`,
      step: { count: 6, isGang: true },
    },
  },
];

for (const { name, before, waiting } of CASES) {
  // Guards against workers that are set aside once and get no task any more,
  // although they are sound again.
  test(`probes: ${name}`, async () => {
    const world = new EntryWorld({ entries: 2, workers: WORKERS.length });
    await world.advance(2000);
    if (before !== undefined) {
      const step = { ...before, count: WORKERS.length };
      await world.submit(LASTING_ID, FOREVER, [step]);
    }
    await world.advance(1000);
    await failInTurn(world);
    await world.advance(SET_ASIDE_MS);
    const startedBefore = world.fleet.history.length;
    const id = "d000000000000000";
    await world.submit(id, waiting.spec, [waiting.step]);
    await world.advance(MAX_IDLE_MS);
    const started = world.fleet.history
      .slice(startedBefore)
      .filter(({ task }) => task.startsWith(id));
    const { count = 0 } = waiting.step;
    assert.equal(new Set(started.map(({ task }) => task)).size, count);
  });
}

// Guards against a worker that still fails and gets many tasks as a probe.
test("probes: a worker that still fails gets one task at a time", async () => {
  const world = new EntryWorld({ entries: 2, workers: 2 });
  await world.advance(2000);
  await world.submit(LASTING_ID, FOREVER, [{ ...LASTING, count: 2 }]);
  world.fleet.failing.add("w0");
  const jobs = 60;
  for (let number = 0; number < jobs; number += 1) {
    const id = `c${number.toString(16).padStart(15, "0")}`;
    world.submitNow(id, `work=${WORK_MS}`, [{ count: 6 }]);
    await world.advance(500);
  }
  await world.advance(5000);
  const failedAtMs = world.fleet.history
    .filter(({ worker, end }) => worker === "w0" && end === "failed")
    .map(({ startMs }) => startMs);
  // Until two jobs have failed there, it is not known that the worker is to blame.
  const [firstMs = 0] = failedAtMs;
  const probes = failedAtMs.filter((atMs) => atMs > firstMs + 2000);
  // It is set aside for 3, 6 and 12 s.
  assert.ok(probes.length <= 4, `${probes.length} probes`);
  const phases = await world.readPhases();
  assert.equal(phases.filter((one) => one === JobPhase.Completed).length, jobs);
});

// Guards against a worker that waits for the end of a probe that was cancelled.
test("probes: another task starts beside a cancelled one that is slow to stop", async () => {
  const world = new EntryWorld({ entries: 2, workers: 1 });
  await world.advance(2000);
  world.fleet.failing.add("w0");
  for (const id of ["c000000000000000", "c000000000000001"]) {
    await world.submit(id, `work=${WORK_MS}`, [{ count: 1 }]);
  }
  await world.advance(1000);
  world.fleet.failing.clear();
  for (const id of ["c000000000000000", "c000000000000001"]) {
    await world.cancel(id);
  }
  const [probe, next] = ["d000000000000000", "d000000000000001"];
  await world.submit(probe, "work=60000&stop=20000", [{ count: 1 }]);
  await world.advance(MAX_IDLE_MS);
  await world.cancel(probe);
  await world.submit(next, `work=${WORK_MS}`, [{ count: 1 }]);
  await world.advance(MAX_IDLE_MS);
  const started = world.fleet.history.map(({ task }) => task.split("/")[0]);
  assert.ok(started.includes(probe), "the probe did not start");
  assert.ok(started.includes(next), "nothing started beside it");
});

/** How another life of a worker begins. */
const LIFE_CASES: readonly {
  readonly name: string;
  readonly restart: (world: EntryWorld) => Promise<void>;
}[] = [
  {
    name: "restarts under its id",
    restart: async ({ fleet }) => fleet.restart("w0"),
  },
  {
    name: "leaves, and another one has its id later",
    restart: async (world) => {
      void world.removeWorker("w0");
      await world.advance(8000);
      world.fleet.unreachable.delete("w0");
      void world.addWorker("w0");
    },
  },
];

for (const { name, restart } of LIFE_CASES) {
  // Guards against a worker that is set aside for failures of its former life.
  test(`probes: a worker takes tasks at once that ${name}`, async () => {
    const world = new EntryWorld({ entries: 2, workers: 1 });
    await world.advance(2000);
    world.fleet.failing.add("w0");
    // The worker is set aside for 3, 6 and 12 s in this time.
    for (let number = 0; number < 52; number += 1) {
      const id = `c${number.toString(16).padStart(15, "0")}`;
      world.submitNow(id, `work=${WORK_MS}`, [{ count: 1 }]);
      await world.advance(250);
    }
    world.fleet.failing.clear();
    const startedBefore = world.fleet.history.length;
    await restart(world);
    await world.advance(MAX_IDLE_MS);
    const started = world.fleet.history.length - startedBefore;
    assert.ok(started > 10, `${started} starts`);
  });
}

/** Lets one worker after the other fail all that it starts for a while. */
async function failInTurn(world: EntryWorld): Promise<void> {
  let number = 0;
  for (const worker of WORKERS) {
    world.fleet.failing.add(worker);
    for (let passedMs = 0; passedMs < FAILING_MS; passedMs += 250) {
      const id = `c${number.toString(16).padStart(15, "0")}`;
      world.submitNow(id, `work=${WORK_MS}`, [{ count: 6 }]);
      number += 1;
      await world.advance(250);
    }
    world.fleet.failing.delete(worker);
  }
}
