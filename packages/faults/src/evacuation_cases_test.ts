import assert from "node:assert/strict";
import { test } from "node:test";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import { TableFault } from "@laburnumtrack/standins/feed_table_standin";
import { EntryWorld } from "./entry_world";

const EVACUATE_MS = 5000;
const WORKERS = ["a-0", "a-1", "b-0", "b-1"];
/** Interval between two jobs, in ms. */
const JOB_INTERVAL_MS = 100;
const JOB_SPEC = "work=400";

interface Case {
  readonly name: string;
  /** What happens around the request, which it makes itself for domain `a`. */
  readonly act: (world: EntryWorld) => Promise<void>;
  /** Time after the request from which no start in the domain is tolerated. */
  readonly graceMs: number;
}

const CASES: readonly Case[] = [
  {
    name: "the request is followed at once",
    act: (world) => world.evacuate("a"),
    graceMs: 200,
  },
  {
    name: "the leader dies between reading the request and acting on it",
    act: async (world) => {
      world.table.writeAsOperator("op/evacuate/a", "{}");
      while (!world.leader?.evacuations?.isEvacuated("a")) {
        await world.advance(1);
      }
      world.leader.clock.freeze(60_000);
    },
    graceMs: 200,
  },
  {
    name: "the leader changes while the request is written",
    act: async (world) => {
      const stopping = world.leader?.stop();
      await world.evacuate("a");
      await world.advance(2000);
      await stopping;
    },
    graceMs: 500,
  },
  {
    name: "the request is lost with the table's history",
    act: async (world) => {
      world.table.writeAsOperator("op/evacuate/a", "{}");
      world.table.dropHistory();
      await world.advance(50);
    },
    graceMs: 1500,
  },
  {
    name: "reads are outdated after the request",
    act: async (world) => {
      world.table.saveStaleSnapshot();
      await world.evacuate("a");
      world.table.fault = TableFault.Stale;
      await world.advance(1500);
      world.table.fault = TableFault.None;
    },
    graceMs: 500,
  },
  {
    name: "the leader, in that domain, is lost some time after the request",
    act: async (world) => {
      await world.evacuate("a");
      await world.advance(1000);
      world.leader?.clock.freeze(60_000);
      for (const id of ["a-0", "a-1"]) world.fleet.crash(id);
    },
    graceMs: 0,
  },
  {
    name: "the value of the request is empty",
    act: (world) => world.writeRow("op/evacuate/a", ""),
    graceMs: 200,
  },
  {
    name: "the value of the request is unreadable and domains nobody knows are requested, too",
    act: async (world) => {
      await world.writeRow("op/evacuate/nowhere", "[[[");
      await world.writeRow("op/evacuate/a", "[[[");
    },
    graceMs: 200,
  },
  {
    name: "the request is withdrawn and made again in one burst",
    act: async (world) => {
      await world.evacuate("a");
      const key = "op/evacuate/a";
      for (const value of [null, "{}"]) {
        const writes = [{ key, value }];
        void world.table.commit({ checks: [], writes });
      }
      await world.advance(50);
    },
    graceMs: 300,
  },
  {
    name: "answers of the domain's workers are lost",
    act: async (world) => {
      for (const id of ["a-0", "a-1"]) world.fleet.answersLost.add(id);
      await world.advance(200);
      await world.evacuate("a");
    },
    graceMs: 700,
  },
  {
    name: "orders that were sent before the request are delayed on their way",
    act: async (world) => {
      world.fleet.lateOrderDelayMs = 3000;
      for (const id of ["a-0", "a-1"]) world.fleet.delayed.add(id);
      await world.advance(400);
      world.fleet.delayed.clear();
      await world.evacuate("a");
    },
    graceMs: 200,
  },
  {
    name: "orders to the domain's workers are carried out seconds later",
    act: async (world) => {
      world.fleet.lateOrderDelayMs = 2600;
      for (const id of ["a-0", "a-1"]) world.fleet.delayed.add(id);
      await world.advance(400);
      await world.evacuate("a");
    },
    graceMs: 2000,
  },
];

for (const { name, act, graceMs } of CASES) {
  // Guards against tasks that start in a failure domain that is being lost.
  test(`evacuation of a failure domain: ${name}`, async () => {
    const world = new EntryWorld({
      entries: 3,
      workers: WORKERS.length,
      workerIds: WORKERS,
      evacuateMs: EVACUATE_MS,
    });
    await world.advance(2500);
    const load = startLoad(world);
    await world.advance(1500);
    assert.ok(startsIn(world, "a-", 0) > 0, "the domain is used before");
    await act(world);
    const requestedMs = world.clock.nowMs();
    await world.advance(9000);
    load.stop();
    await world.advance(12_000);
    assert.equal(startsIn(world, "a-", requestedMs + graceMs), 0);
    assert.ok(startsIn(world, "b-", requestedMs) > 0);
    assert.deepEqual(world.findViolations(), []);
    const phases = await world.readPhases();
    assert.deepEqual(new Set(phases), new Set([JobPhase.Completed]));
  });
}

// Guards against a domain that stays closed, or is closed although the request
// was withdrawn.
test("evacuation of a failure domain: tasks start there again once it is lifted", async () => {
  const world = new EntryWorld({
    entries: 2,
    workers: 2,
    workerIds: ["a-0", "b-0"],
    evacuateMs: EVACUATE_MS,
  });
  await world.advance(2500);
  await world.evacuate("a");
  await world.evacuate("b");
  await world.submit("00000000000000c1", JOB_SPEC, [{ count: 2 }]);
  await world.advance(3000);
  assert.equal(world.fleet.history.length, 0, "all domains are evacuated");
  await world.liftEvacuation("a");
  await world.advance(1000);
  assert.deepEqual(
    world.fleet.history.map(({ worker }) => worker),
    ["a-0", "a-0"],
  );
});

// Guards against deployments without the setting that obey such rows.
test("evacuation of a failure domain: a request is ignored without a time limit", async () => {
  const world = new EntryWorld({
    entries: 1,
    workers: 1,
    workerIds: ["a-0"],
  });
  await world.advance(2500);
  await world.evacuate("a");
  await world.submit("00000000000000c2", JOB_SPEC, [{ count: 2 }]);
  await world.advance(1000);
  assert.equal(world.fleet.history.length, 2);
});

// Guards against operators who cannot tell how far an evacuation is, and against
// late starts that nobody notices.
test("evacuation of a failure domain: leader and metrics tell of its progress", async () => {
  const world = new EntryWorld({
    entries: 2,
    workers: 2,
    workerIds: ["a-0", "b-0"],
    evacuateMs: EVACUATE_MS,
  });
  await world.advance(2500);
  const step = { count: 2, perWorkerLimit: 1, isLongRunning: true };
  await world.submit("00000000000000c3", "work=600000", [step]);
  await world.advance(1000);
  const requestedMs = world.clock.wallMs();
  await world.evacuate("a");
  await world.advance(3000);
  const [status] = world.leader?.leadership.term?.describeEvacuations() ?? [];
  assert.ok(status);
  const { domain, sinceMs, lastStartMs, ...progress } = status;
  assert.equal(domain, "a");
  assert.ok(sinceMs >= requestedMs && sinceMs <= requestedMs + 100);
  assert.equal(lastStartMs, undefined);
  assert.equal(progress.runs, 1);
  assert.equal(progress.longRunning, 1);
  assert.deepEqual(progress.reasons, { no_room: 1 });
  await world.advance(EVACUATE_MS);
  const metrics = world.leader?.metrics.render() ?? "";
  assert.match(metrics, /evacuation_last_start_ms_count 1/);
  assert.doesNotMatch(metrics, /evacuation_late_starts/);
});

/** Number of starts on workers with that prefix from a time on. */
function startsIn(world: EntryWorld, prefix: string, fromMs: number): number {
  return world.fleet.history.filter(
    ({ worker, startMs }) => worker.startsWith(prefix) && startMs >= fromMs,
  ).length;
}

/** Submits small jobs at short intervals until it is stopped. */
function startLoad(world: EntryWorld): { readonly stop: () => void } {
  let count = 0;
  let isOver = false;
  const submitNext = (): void => {
    if (isOver) return;
    const id = (0xd000 + count).toString(16).padStart(16, "0");
    count += 1;
    world.submitNow(id, JOB_SPEC, [{ count: 2 }]);
    world.clock.at(world.clock.nowMs() + JOB_INTERVAL_MS, submitNext);
  };
  submitNext();
  return {
    stop: () => {
      isOver = true;
    },
  };
}
