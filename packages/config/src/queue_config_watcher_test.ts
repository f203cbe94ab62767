import assert from "node:assert/strict";
import { test } from "node:test";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { QueueConfig } from "@laburnumtrack/jobs/queue_config";
import { QueueSource } from "@laburnumtrack/jobs/worker_registry";
import { createJournal } from "@laburnumtrack/process/journal";
import { FeedTableStandin } from "@laburnumtrack/standins/feed_table_standin";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { Err, Ok, type Result } from "ts-results";
import { QueueConfigWatcher } from "./queue_config_watcher";

const CASES: readonly {
  readonly name: string;
  readonly written: readonly string[];
  readonly version: number;
}[] = [
  { name: "nothing was written yet", written: [], version: 0 },
  { name: "the newest version is in use", written: ["3", "7"], version: 7 },
  {
    name: "an outdated read does not restore an old version",
    written: ["7", "3"],
    version: 7,
  },
  {
    name: "a configuration that cannot be decoded is ignored",
    written: ["7", "?"],
    version: 7,
  },
];

for (const { name, written, version } of CASES) {
  test(`queue config watcher: ${name}`, async () => {
    const clock = new VirtualClock();
    const table = new FeedTableStandin(clock);
    const watch = new QueueConfigWatcher({
      clock,
      table,
      journal: createJournal("test", "fatal"),
      source: new SourceStandin(),
    });
    const over = new AbortController();
    const running = watch.run(over.signal);
    for (const value of written) {
      const writes = [{ key: "config/current", value }];
      const done = table.commit({ checks: [], writes });
      await clock.run(clock.nowMs() + 500);
      await done;
    }
    assert.equal(watch.current.version, version);
    over.abort();
    await clock.run(clock.nowMs() + 2000);
    await running;
  });
}

/** A clock whose wall time can move on by itself, as in a suspended VM. */
class SuspendableClock extends VirtualClock {
  suspendedMs = 0;

  override wallMs(): number {
    return super.wallMs() + this.suspendedMs;
  }
}

const MAX_AGE_MS = 2000;

// Guards against a VM that was suspended and answers, or tells others, by the
// configuration of before as if no time had passed.
test("queue config watcher: after a suspension the configuration is not current until it is confirmed", async () => {
  const clock = new SuspendableClock();
  const table = new FeedTableStandin(clock);
  const watch = new QueueConfigWatcher({
    clock,
    table,
    journal: createJournal("test", "fatal"),
    source: new SourceStandin(),
  });
  const over = new AbortController();
  const running = watch.run(over.signal);
  await clock.run(clock.nowMs() + 1500);
  assert.ok(watch.ageMs <= MAX_AGE_MS);
  clock.suspendedMs = 10_000;
  assert.ok(watch.ageMs > MAX_AGE_MS);
  await clock.run(clock.nowMs() + 1500);
  assert.ok(watch.ageMs <= MAX_AGE_MS);
  over.abort();
  await clock.run(clock.nowMs() + 2000);
  await running;
});

class SourceStandin extends QueueSource {
  override readonly prefix = "config/";
  override readonly key = "config/current";

  override decode(value: string): Result<QueueConfig, Fault> {
    const version = Number(value);
    if (Number.isNaN(version)) {
      return Err(new Fault(FaultCode.Malformed, value));
    }
    return Ok({ version, queues: [], pools: [] });
  }
}
