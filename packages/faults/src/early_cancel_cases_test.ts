import assert from "node:assert/strict";
import { test } from "node:test";
import { FaultCode } from "@laburnumtrack/core/fault";
import { JobService } from "@laburnumtrack/desk/job_service";
import {
  encodeOpenJobRow,
  encodeRefusedJobRow,
  jobKey,
} from "@laburnumtrack/jobs/job_rows";
import { createJob, createStep } from "@laburnumtrack/jobs/test_samples";
import { ProcessClock } from "@laburnumtrack/standins/virtual_clock";
import { EntryWorld } from "./entry_world";

const ID = "00000000000000e1";
const JOB = { ...createJob(ID, [createStep({ count: 2 })]), spec: "work=1000" };
/** Time after which a write that is under way takes effect, in ms. */
const LATE_MS = 5500;
const SUBMIT_MS = 3000;
/** Longer than any write of the cases is under way, in ms. */
const END_MS = 40_000;

/** An entry that takes a submission and whose calls to the table arrive late. */
interface Submitter {
  readonly clock: ProcessClock;
  /** Sends the job; the answer is lost with the caller's connection. */
  readonly submit: () => void;
  /** The process ends; what it sent before still takes effect. */
  readonly kill: () => void;
}

interface Case {
  readonly name: string;
  /** What happens before the cancellation. */
  readonly before: (world: EntryWorld, submitter: Submitter) => Promise<void>;
  /** What happens once it was acknowledged. */
  readonly after?: (world: EntryWorld, submitter: Submitter) => Promise<void>;
}

const CASES: readonly Case[] = [
  {
    name: "its entry is killed and the write takes effect late",
    before: submitAndKill,
  },
  {
    name: "its entry is paused and sends the write again later",
    before: async (world, { submit, clock }) => {
      submit();
      await world.advance(20);
      clock.freeze(9000);
    },
  },
  {
    name: "its entry sends the write again while it runs",
    before: async (world, { submit }) => {
      submit();
      await world.advance(20);
    },
  },
  {
    name: "an earlier submission of it was refused",
    before: async (world, submitter) => {
      const refusal = { atMs: world.clock.wallMs(), submissions: ["earlier"] };
      world.table.writeAsOperator(jobKey(ID), encodeRefusedJobRow(refusal));
      submitter.submit();
      // The first call tells of the tombstone, which the write under way requires.
      await world.advance(3 * LATE_MS - 1500);
      submitter.kill();
    },
  },
  {
    name: "it is submitted twice, each with a late write",
    before: async (world, submitter) => {
      createSubmitter(world, "other").submit();
      await submitAndKill(world, submitter);
    },
  },
  {
    name: "the leader is stopped before the write takes effect",
    before: submitAndKill,
    after: async (world) => {
      void world.leader?.stop();
      await world.advance(100);
    },
  },
  {
    name: "the leader is paused until the write took effect",
    before: submitAndKill,
    after: async (world) => {
      world.leader?.clock.freeze(LATE_MS + 1000);
      await world.advance(100);
    },
  },
  {
    name: "it is submitted again after the cancellation",
    before: submitAndKill,
    after: async (world) => {
      createSubmitter(world, "other").submit();
      await world.advance(100);
    },
  },
];

for (const { name, before, after } of CASES) {
  // Guards against jobs that start after their cancellation was acknowledged: it
  // found no row and left nothing that kept a write under way from taking effect.
  test(`early cancellation: a job does not start when ${name}`, async () => {
    const world = new EntryWorld({ entries: 3, workers: 2 });
    await world.advance(2000);
    const submitter = createSubmitter(world, "submitter");
    await before(world, submitter);
    assert.deepEqual(world.fleet.history, []);
    const done = await world.cancel(ID);
    assert.ok(done.ok || done.val.code === FaultCode.NotFound);
    await after?.(world, submitter);
    await world.advance(END_MS);
    assert.deepEqual(world.fleet.history, []);
  });
}

// Guards against a store that fills up with cancellations of unknown jobs.
test("early cancellation: what it stores is removed after the retention period", async () => {
  const jobRetentionMs = 20_000;
  const world = new EntryWorld({ entries: 3, workers: 2, jobRetentionMs });
  await world.advance(2000);
  const done = await world.cancel(ID);
  assert.ok(done.err && done.val.code === FaultCode.NotFound);
  const countRows = async () => {
    const read = world.table.get([jobKey(ID)]);
    await world.advance(50);
    return (await read).unwrap().length;
  };
  await world.advance(jobRetentionMs);
  assert.equal(await countRows(), 1);
  await world.advance(20_000);
  assert.equal(await countRows(), 0);
});

// Guards against accepted jobs that are lost: a cancellation that meets the
// submission has to close the row that this one stored.
test("early cancellation: a submission that is first is cancelled as usual", async () => {
  const world = new EntryWorld({ entries: 3, workers: 2 });
  await world.advance(2000);
  const cancelling = world.cancel(ID);
  world.table.writeAsOperator(jobKey(ID), encodeOpenJobRow(JOB));
  const done = await cancelling;
  assert.ok(done.ok);
  await world.advance(END_MS);
  const { history } = world.fleet;
  assert.ok(history.every(({ endMs }) => endMs !== undefined));
});

function createSubmitter(world: EntryWorld, name: string): Submitter {
  const clock = new ProcessClock(world.clock);
  const table = world.table.viewOf(name);
  // A call takes half of this time to arrive.
  world.table.delaysMs.set(name, 2 * LATE_MS);
  const desk = new JobService({ clock, table, isTableReachable: () => true });
  return {
    clock,
    submit: () => {
      void desk.submit(JOB, clock.nowMs() + SUBMIT_MS + 4 * LATE_MS);
    },
    kill: () => {
      world.table.refused.add(name);
    },
  };
}

async function submitAndKill(
  world: EntryWorld,
  { submit, kill }: Submitter,
): Promise<void> {
  submit();
  await world.advance(50);
  kill();
}
