import assert from "node:assert/strict";
import { test } from "node:test";
import { createJobRecord } from "@laburnumtrack/jobs/job_record";
import type { JobRecord } from "@laburnumtrack/jobs/task";
import { createJob, createStep } from "@laburnumtrack/jobs/test_samples";
import { type StateBatch, StateBatches } from "./state_batches";

const RETRY_MS = 10_000;

const CASES: readonly {
  readonly name: string;
  /** Outcome of the commit that tries the rejected job again. */
  readonly end: (batches: StateBatches, batch: StateBatch) => void;
}[] = [
  {
    name: "succeeds",
    end: (batches, batch) => batches.onStored(batch),
  },
  { name: "fails", end: (batches, batch) => batches.onFailed(batch) },
  {
    name: "is rejected again",
    end: (batches, batch) => batches.onRejected(batch, RETRY_MS),
  },
];

for (const { name, end } of CASES) {
  // Guards against a job whose end is never stored, because it changed while the
  // commit was under way that tried its state again.
  test(`state batches: a job that changes during the retry of its state is stored when that ${name}`, () => {
    const batches = new StateBatches();
    const record = createRecord();
    batches.add(record);
    reject(batches);
    assert.deepEqual(batches.listRejected(), [record.job.id]);
    const retry = batches.take(RETRY_MS);
    assert.deepEqual(retry.records, [record]);
    batches.add(record);
    end(batches, retry);
    assert.equal(batches.isStored(record.job.id), false);
    const next = batches.take(2 * RETRY_MS);
    assert.deepEqual(next.records, [record]);
    batches.onStored(next);
    assert.equal(batches.isStored(record.job.id), true);
    assert.deepEqual(batches.take(3 * RETRY_MS).records, []);
  });
}

// Guards against a job that is set aside although the table had rejected all
// commits for a while, whatever they contained.
test("state batches: a job that the table accepts later is not set aside", () => {
  const batches = new StateBatches();
  const record = createRecord();
  batches.add(record);
  batches.onRejected(batches.take(0), 0);
  const empty = batches.take(0);
  assert.deepEqual(empty.records, []);
  batches.onStored(empty);
  assert.deepEqual(batches.listRejected(), []);
  const next = batches.take(0);
  assert.deepEqual(next.records, [record]);
  batches.onStored(next);
  assert.equal(batches.isStored(record.job.id), true);
});

/** Rejects commits with jobs until the only one is set aside for certain. */
function reject(batches: StateBatches): void {
  while (batches.listRejected().length === 0 || batches.isSearching) {
    const batch = batches.take(0);
    if (batch.records.length > 0) batches.onRejected(batch, 0);
    else batches.onStored(batch);
  }
}

function createRecord(): JobRecord {
  return createJobRecord(createJob("a", [createStep({ count: 1 })]), {
    revision: 1,
    queue: undefined,
    state: undefined,
    runFloor: 0,
  });
}
