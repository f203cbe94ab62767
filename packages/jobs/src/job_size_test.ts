import assert from "node:assert/strict";
import { test } from "node:test";
import type { Job } from "./job";
import { estimateJobBytes, maxExpandedOccurrences } from "./job_size";
import { createJob, createStep } from "./test_samples";

const CASES: readonly {
  readonly name: string;
  readonly job: Job;
  readonly occurrences: number;
  readonly minBytes: number;
  readonly maxBytes: number;
}[] = [
  {
    name: "a job of one task",
    job: createJob("a", [createStep()]),
    occurrences: 1,
    minBytes: 1000,
    maxBytes: 5000,
  },
  {
    name: "steps one after the other hold the tasks of one at a time",
    job: createJob("a", [
      createStep({ count: 1000 }),
      createStep({ count: 1000, after: [0] }),
    ]),
    occurrences: 1,
    minBytes: 400_000,
    maxBytes: 700_000,
  },
  {
    name: "steps side by side hold all their tasks",
    job: createJob("a", [
      createStep({ count: 1000 }),
      createStep({ count: 1000 }),
    ]),
    occurrences: 1,
    minBytes: 800_000,
    maxBytes: 1_200_000,
  },
  {
    name: "a schedule of 43,200 occurrences holds those that may be open",
    job: {
      ...createJob("a", [createStep({ count: 6 }), createStep({ count: 6 })]),
      repeat: { count: 43_200, startMs: 0, intervalMs: 2000 },
    },
    occurrences: 83,
    minBytes: 100_000,
    maxBytes: 800_000,
  },
  {
    name: "an occurrence above the bound does not keep the next one from starting",
    job: {
      ...createJob("a", [createStep({ count: 5000 })]),
      repeat: { count: 10, startMs: 0, intervalMs: 2000 },
    },
    occurrences: 2,
    minBytes: 2_000_000,
    maxBytes: 8_000_000,
  },
];

// Guards against accepting jobs that exceed the leader's memory, and against
// refusing those that fit.
for (const { name, job, occurrences, minBytes, maxBytes } of CASES) {
  test(`job size: ${name}`, () => {
    assert.equal(maxExpandedOccurrences(job), occurrences);
    const bytes = estimateJobBytes(job);
    assert.ok(bytes >= minBytes && bytes <= maxBytes, `${bytes}`);
  });
}
