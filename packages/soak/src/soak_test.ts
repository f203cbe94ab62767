import assert from "node:assert/strict";
import { test } from "node:test";
import { runSoak } from "./soak";

/** Seeds that failed once, with what they had found. */
const CASES: readonly {
  readonly seed: number;
  readonly cause: string;
}[] = [
  {
    seed: 1,
    cause: "a job cancelled while nobody led was shown as running",
  },
  {
    seed: 2,
    cause:
      "a late commit was taken for the next one; rows of jobs that were over were read as new",
  },
];

const SECONDS = 8;

for (const { seed, cause } of CASES) {
  test(`soak: seed ${seed}: ${cause}`, async () => {
    const result = await runSoak({
      seed,
      seconds: SECONDS,
      programs: "dist",
    });
    assert.deepEqual(result.broken, []);
    assert.ok(result.accepted > 0);
    assert.ok(result.troubles.length > 0);
  });
}
