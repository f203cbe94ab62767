import assert from "node:assert/strict";
import { test } from "node:test";
import {
  encodeClosedJobRow,
  jobKey,
  RowPrefix,
  stateKey,
} from "@laburnumtrack/jobs/job_rows";
import { JobPhase } from "@laburnumtrack/jobs/job_state";
import { RunEnd } from "@laburnumtrack/jobs/task_worker";
import { TableFault } from "@laburnumtrack/standins/feed_table_standin";
import { EntryWorld } from "./entry_world";

const RETENTION_MS = 20_000;
/** Time after which all rows of a finished job are removed, in ms. */
const REMOVAL_MS = 45_000;
/**
 * Time in which a job that is submitted again after that has run, in ms; the
 * first runs that the same leader starts have numbers that workers know.
 */
const RERUN_MS = 10_000;
const ID = "00000000000000ab";
const TASKS = 2;
const SPEC = "work=200";
const STEPS = [{ count: TASKS }];

async function startWorld(): Promise<EntryWorld> {
  const world = new EntryWorld({
    entries: 3,
    workers: 2,
    jobRetentionMs: RETENTION_MS,
  });
  await world.advance(2000);
  return world;
}

async function listKeys(world: EntryWorld): Promise<string[]> {
  const keys: string[] = [];
  for (const prefix of [RowPrefix.Jobs, RowPrefix.States, RowPrefix.Ended]) {
    const read = world.table.scan(prefix);
    await world.advance(50);
    for (const { key } of (await read).unwrap()) keys.push(key);
  }
  return keys;
}

/** Cuts the leader off from the table until another one leads. */
async function replaceLeader(world: EntryWorld): Promise<void> {
  const former = world.leader;
  assert.ok(former !== undefined);
  world.table.refused.add(former.name);
  await world.advance(6000);
  world.table.refused.delete(former.name);
}

// Guards against a failover that reads the states of all jobs ever finished.
test("job history: the state of a finished job leaves what a new leader reads", async () => {
  const world = await startWorld();
  await world.submit(ID, SPEC, STEPS);
  await world.advance(4000);
  assert.deepEqual(await listKeys(world), [jobKey(ID), `ended/${ID}`]);
  assert.deepEqual(await world.readPhases(), [JobPhase.Completed]);
});

/** What happens while a job finishes and its rows are moved and removed. */
const CASES: readonly {
  readonly name: string;
  readonly disturb: (world: EntryWorld) => Promise<void>;
  readonly phase?: JobPhase;
  /** What the tasks do; short work by default. */
  readonly spec?: string;
}[] = [
  { name: "calm", disturb: async () => {} },
  {
    name: "the leader is cut off while the job runs",
    disturb: async (world) => await replaceLeader(world),
  },
  ...[300, 500, 700, 900, 1200, 1700, 2500].map((ms) => ({
    name: `the leader is cut off after ${ms} ms`,
    disturb: async (world: EntryWorld) => {
      await world.advance(ms);
      await replaceLeader(world);
    },
  })),
  ...[TableFault.Late, TableFault.AnswerLost, TableFault.Silent].map(
    (fault) => ({
      name: `commits meet a fault: ${fault}`,
      disturb: async (world: EntryWorld) => {
        for (let round = 0; round < 4; round += 1) {
          world.table.fault = fault;
          await world.advance(700);
          world.table.fault = TableFault.None;
          await world.advance(700);
        }
      },
    }),
  ),
  {
    name: "the leader is frozen and goes on beside its successor",
    disturb: async (world) => {
      await world.advance(1000);
      world.leader?.clock.freeze(8000);
      await world.advance(8000);
    },
  },
  {
    name: "the change history is lost",
    disturb: async (world) => {
      await world.advance(1000);
      world.table.dropHistory();
    },
  },
  {
    name: "the job is cancelled and the leader is cut off at once",
    disturb: async (world) => {
      await world.cancel(ID);
      await replaceLeader(world);
    },
    phase: JobPhase.Cancelled,
    spec: "work=60000",
  },
  {
    name: "all leaders are cut off before they store a cancellation",
    disturb: async (world) => {
      const former = world.leader;
      assert.ok(former !== undefined);
      await world.advance(100);
      world.table.refused.add(former.name);
      await world.cancel(ID);
      await world.advance(6000);
      world.table.refused.delete(former.name);
    },
    phase: JobPhase.Cancelled,
    spec: "work=60000",
  },
];

for (const given of CASES) {
  const { name, disturb, phase = JobPhase.Completed, spec = SPEC } = given;
  // Guards against rows that stay for ever, against a duplicate that runs again
  // within the retention period, and against an id that never runs again.
  test(`job history: ${name}`, async () => {
    const world = await startWorld();
    await world.submit(ID, spec, STEPS);
    await disturb(world);
    await world.advance(5000);
    assert.deepEqual(await world.readPhases(), [phase]);
    const runs = world.fleet.history.length;
    await world.submit(ID, SPEC, STEPS);
    await world.advance(2000);
    assert.equal(world.fleet.history.length, runs);
    assert.deepEqual(await world.readPhases(), [phase, phase]);
    assert.deepEqual(world.findViolations(), []);
    await world.advance(REMOVAL_MS);
    assert.deepEqual(await listKeys(world), []);
    assert.deepEqual(await world.readPhases(), []);
    const before = world.countEnds(RunEnd.Done);
    await world.submit(ID, SPEC, STEPS);
    await world.advance(RERUN_MS);
    assert.equal(world.countEnds(RunEnd.Done), before + TASKS);
  });
}

// Guards against rows of earlier releases that no leader reads or removes.
test("job history: rows of earlier releases are answered, then removed", async () => {
  const world = await startWorld();
  const state = {
    phase: JobPhase.Completed,
    queue: "q",
    sinceMs: 0,
    steps: [],
  };
  await world.writeRow(stateKey(ID), JSON.stringify(state));
  await world.writeRow(jobKey(ID), encodeClosedJobRow({ isCancelled: false }));
  await replaceLeader(world);
  await world.submit(ID, SPEC, STEPS);
  await world.advance(2000);
  assert.deepEqual(await world.readPhases(), [JobPhase.Completed]);
  assert.equal(world.fleet.history.length, 0);
  await world.advance(REMOVAL_MS);
  assert.deepEqual(await listKeys(world), []);
});

// Guards against removing the rows of a job at once that a VM finished whose
// clock is behind by hours, or never those of one whose clock is ahead.
for (const skewMs of [-8000, 3_600_000]) {
  test(`job history: the clock of the VM that finished the job is off by ${skewMs} ms`, async () => {
    const world = await startWorld();
    const sinceMs = world.clock.wallMs() + skewMs;
    const state = { phase: JobPhase.Failed, queue: "q", sinceMs, steps: [] };
    await world.writeRow(stateKey(ID), JSON.stringify(state));
    await world.writeRow(
      jobKey(ID),
      encodeClosedJobRow({ isCancelled: false }),
    );
    await world.advance(RETENTION_MS - 1000);
    assert.equal((await listKeys(world)).length, 2);
    await world.advance(REMOVAL_MS);
    assert.deepEqual(await listKeys(world), []);
  });
}
