import assert from "node:assert/strict";
import { test } from "node:test";
import type { Job } from "@laburnumtrack/jobs/job";
import { JobBoard } from "@laburnumtrack/jobs/job_board";
import { estimateJobBytes } from "@laburnumtrack/jobs/job_size";
import { expandDue } from "@laburnumtrack/jobs/occurrences";
import type { QueueSettings } from "@laburnumtrack/jobs/queue_config";
import {
  createJob,
  createQueue,
  createStep,
  createWorkerInfo,
} from "@laburnumtrack/jobs/test_samples";
import { WorkerRecord } from "@laburnumtrack/jobs/worker_record";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { MAX_DIGEST_QUEUES, readLoadDigest } from "./load_digest";
import { LoadMeter } from "./load_meter";

const LIMIT_BYTES = 1e9;

function createWorld() {
  const clock = new VirtualClock();
  const board = new JobBoard(
    {
      onChanged: () => {},
      onStop: () => {},
      onEnd: () => {},
      onLoss: () => {},
    },
    { runFloor: 0, allJobsKnownMs: 0 },
  );
  const meter = new LoadMeter({ clock, board, limitBytes: LIMIT_BYTES });
  return {
    clock,
    board,
    meter,
    addJob: (job: Job, queue: QueueSettings | undefined) =>
      board.addJob(job, 1, { queue, state: undefined, nowMs: 0, wallMs: 0 }),
    addWorker: (id: string, overrides = {}) => {
      board.workers.set(id, new WorkerRecord(createWorkerInfo(id, overrides)));
    },
  };
}

test("load meter: waiting work by pool and priority, and its memory", () => {
  const { meter, addJob, addWorker } = createWorld();
  addWorker("w0");
  addWorker("w1", {
    capacity: { cpuMilli: 24_000, memoryMb: 1000, accelerators: 2 },
  });
  addWorker("leaving", { isDraining: true });
  addWorker("other", { pool: "other" });
  const urgent = createJob("00000000000000a0", [
    createStep({ count: 10 }),
    createStep({ count: 2, estimateMs: 500, after: [0] }),
  ]);
  const lesser = createJob("00000000000000a1", [createStep({ count: 3 })]);
  const lasting = createJob("00000000000000a2", [
    createStep({ isLongRunning: true }),
    createStep({ isFiller: true }),
  ]);
  addJob(urgent, createQueue());
  addJob(lesser, createQueue({ priority: 2 }));
  addJob(lasting, createQueue());
  const { pools, queues, bytes, limitBytes } = meter.current;
  assert.deepEqual(
    queues.map(({ pool, priority, backlogMilliS, bytes: held }) => [
      pool,
      priority,
      backlogMilliS,
      held,
    ]),
    [
      ["pool", 0, 11_000, estimateJobBytes(urgent) + estimateJobBytes(lasting)],
      ["pool", 2, 3000, estimateJobBytes(lesser)],
    ],
  );
  const [first] = pools;
  assert.deepEqual(
    [first?.pool, first?.capacityMilli, first?.freeMilli],
    ["pool", 40_000, 40_000],
  );
  assert.deepEqual(
    [first?.largestMilli, first?.largestMemoryMb, first?.largestAccelerators],
    [24_000, 64_000, 2],
  );
  assert.equal(
    bytes,
    queues.reduce((sum, queue) => sum + queue.bytes, 0),
  );
  assert.equal(limitBytes, LIMIT_BYTES);
});

// Guards against a digest that outgrows the leadership row.
test("load meter: a digest is bounded, and keeps the queues with most work", () => {
  const { meter, addJob, addWorker } = createWorld();
  for (let index = 0; index < 40; index += 1) {
    const id = index.toString(16).padStart(16, "0");
    addWorker(id, { pool: `pool${index}` });
    const job = createJob(id, [createStep({ count: 1 + index })]);
    addJob(job, createQueue({ pool: `pool${index}` }));
  }
  const digest = meter.current;
  assert.equal(digest.queues.length, MAX_DIGEST_QUEUES);
  assert.equal(digest.pools.length, MAX_DIGEST_QUEUES);
  assert.equal(digest.queues[0]?.pool, "pool39");
  assert.ok(JSON.stringify(digest).length < 8000);
  assert.deepEqual(readLoadDigest(digest), digest);
});

test("load meter: jobs without a queue or with an odd priority are counted", () => {
  const { meter, addJob } = createWorld();
  const steps = [createStep()];
  addJob(createJob("00000000000000a0", steps), undefined);
  addJob(
    createJob("00000000000000a1", steps),
    createQueue({ priority: Number.NaN }),
  );
  addJob(createJob("00000000000000a2", steps), createQueue({ priority: -1 }));
  const digest = JSON.parse(JSON.stringify(meter.current));
  assert.deepEqual(readLoadDigest(digest), digest);
  assert.deepEqual(
    meter.current.queues.map(({ pool, priority }) => [pool, priority]),
    [
      ["", Number.MAX_SAFE_INTEGER],
      ["pool", Number.MAX_SAFE_INTEGER],
      ["pool", 0],
    ],
  );
});

test("load meter: occurrences that are not due do not wait", async () => {
  const { clock, meter, addJob } = createWorld();
  const job = {
    ...createJob("00000000000000a0", [createStep()]),
    repeat: { count: 10, startMs: 5000, intervalMs: 60_000 },
  };
  const record = addJob(job, createQueue());
  const seen: unknown[] = [];
  for (const atMs of [0, 5000, 64_000, 66_000]) {
    await clock.run(atMs);
    // As each planning round does.
    expandDue(record, clock.wallMs());
    seen.push(meter.current.queues[0]?.backlogMilliS);
  }
  assert.deepEqual(seen, [1000, 1000, 1000, 2000]);
});

// Guards against a walk through all tasks with each commit.
test("load meter: the load is measured every 500 ms, and its age is told", async () => {
  const { clock, meter, addJob } = createWorld();
  assert.deepEqual(meter.current.queues, []);
  addJob(createJob("00000000000000a0", [createStep()]), createQueue());
  await clock.run(400);
  assert.deepEqual([meter.current.queues, meter.current.ageMs], [[], 400]);
  await clock.run(500);
  assert.equal(meter.current.queues.length, 1);
  assert.equal(meter.current.ageMs, 0);
});

// Guards against a new leader that takes a pool for idle because it has not seen
// any completion yet.
test("load meter: completion rates are told once they are known", async () => {
  const { clock, meter, addJob, addWorker } = createWorld();
  addWorker("w0");
  const job = createJob("00000000000000a0", [createStep({ count: 1000 })]);
  const [task] = addJob(job, createQueue()).occurrences.flat()[0]?.tasks ?? [];
  assert.ok(task !== undefined);
  const run = async (untilMs: number) => {
    while (clock.nowMs() < untilMs) {
      await clock.run(clock.nowMs() + 100);
      meter.onDone(task);
    }
  };
  await run(3000);
  assert.equal(meter.current.pools[0]?.rateMilli, 0);
  await run(8000);
  const early = meter.current.pools[0]?.rateMilli ?? 0;
  assert.ok(Math.abs(early - 10_000) < 500, `${early}`);
  await run(60_000);
  const late = meter.current.queues[0]?.rateMilli ?? 0;
  assert.ok(Math.abs(late - 10_000) < 500, `${late}`);
});
