import assert from "node:assert/strict";
import { test } from "node:test";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import type { QueueConfig } from "@laburnumtrack/jobs/queue_config";
import { EntryWorld } from "./entry_world";

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
