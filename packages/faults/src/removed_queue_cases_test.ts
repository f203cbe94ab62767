import assert from "node:assert/strict";
import { test } from "node:test";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import type { Queue, QueueConfig } from "@laburnumtrack/jobs/queue_config";
import { createQueue } from "@laburnumtrack/jobs/test_samples";
import { EntryWorld } from "./entry_world";

const QUEUE: Queue = createQueue({ name: "q", pathPrefix: "/q/" });
const NO_QUEUES: Pick<QueueConfig, "queues"> = { queues: [] };

const CASES: readonly {
  readonly name: string;
  /** Acts after a job was accepted; its queue is removed before. */
  readonly act: (world: EntryWorld) => Promise<void>;
}[] = [
  { name: "under the leader that knew its queue", act: async () => {} },
  {
    name: "under a leader that took over after the removal",
    act: async (world) => {
      const stopping = world.leader?.stop();
      await world.advance(2000);
      await stopping;
    },
  },
];

for (const { name, act } of CASES) {
  // Guards against an accepted job that waits for ever, as the settings of its
  // queue were known to a former leader only.
  test(`removed queue: an accepted job completes ${name}`, async () => {
    const world = new EntryWorld({ entries: 3, workers: 4 });
    await world.advance(2000);
    const steps = [{ count: 2 }, { count: 2, after: [0] }];
    await world.submit("00000000000000aa", "work=1500&fail=0", steps);
    const { version } = world.config;
    world.config = { ...world.config, ...NO_QUEUES, version: version + 1 };
    await act(world);
    await world.advance(12_000);
    assert.deepEqual(await world.readPhases(), [JobPhase.Completed]);
    assert.deepEqual(world.findViolations(), []);
  });
}

const CANCEL_CASES: readonly {
  readonly name: string;
  /** Acts after the queue of a job was removed; the job is cancelled then. */
  readonly act: (world: EntryWorld) => Promise<void>;
}[] = [
  { name: "under the leader that knew its queue", act: async () => {} },
  {
    name: "under a leader that took over after the removal",
    act: async (world) => {
      const stopping = world.leader?.stop();
      await world.advance(2000);
      await stopping;
    },
  },
  {
    name: "after a leader was paused and another one took over",
    act: async (world) => {
      world.leader?.clock.freeze(8000);
      await world.advance(7000);
    },
  },
  {
    name: "after its queue was added again with other settings",
    act: async (world) => {
      const { version } = world.config;
      const queue = { ...QUEUE, pathPrefix: "/new/", priority: 3 };
      world.config = { ...world.config, queues: [queue], version: version + 1 };
      await world.advance(1000);
    },
  },
  {
    name: "after a worker that ran its tasks has crashed",
    act: async (world) => {
      world.fleet.restartDelayMs = 1500;
      const [first] = world.fleet.history;
      if (first !== undefined) world.fleet.crash(first.worker);
      await world.advance(5000);
    },
  },
];

for (const { name, act } of CANCEL_CASES) {
  // Guards against tasks of a cancelled job that run on or start again, as the
  // settings of their queue are gone.
  test(`removed queue: a cancelled job ends ${name}`, async () => {
    const world = new EntryWorld({ entries: 3, workers: 4 });
    const id = "00000000000000ab";
    await world.advance(2000);
    const steps = [{ count: 4, isLongRunning: true }];
    await world.submit(id, "work=100000&fail=0", steps);
    await world.advance(1000);
    assert.equal(countRuns(world), 4);
    const { version } = world.config;
    world.config = { ...world.config, ...NO_QUEUES, version: version + 1 };
    await world.advance(1000);
    await act(world);
    assert.ok(countRuns(world) > 0);
    const done = await world.cancel(id);
    assert.ok(done.ok);
    await world.advance(3200);
    assert.equal(countRuns(world), 0);
    const { length } = world.fleet.history;
    await world.advance(10_000);
    assert.equal(world.fleet.history.length, length);
    assert.deepEqual(await world.readPhases(), [JobPhase.Cancelled]);
  });
}

function countRuns({ fleet }: EntryWorld): number {
  return fleet.history.filter(({ endMs }) => endMs === undefined).length;
}
