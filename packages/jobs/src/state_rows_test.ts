import assert from "node:assert/strict";
import { test } from "node:test";
import { LossEvidence } from "./crash_losses";
import type { IndexRange } from "./index_ranges";
import { readState } from "./job_rows";
import { JobPhase, type JobState, type StepProgress } from "./job_state";
import { encodeState, partKey, StateParts } from "./state_rows";

const ID = "00000000000000aa";
/** Limits of the table for a row, and for a commit with 90 rows. */
const ROW_LIMIT_BYTES = 65_536;
const COMMIT_LIMIT_BYTES = 700_000;

function createSteps(count: number, tasks: number): StepProgress[] {
  return Array.from({ length: count }, (_, step) => ({
    occurrence: Math.floor(step / 5),
    step: step % 5,
    done: everySecond(tasks),
    failures: everySecond(tasks).map((index) => [index, [1, 2, 3]] as const),
    losses: everySecond(tasks / 10).map((index) => ({
      index,
      run: 3,
      worker: "i-0123456789abcdef",
      address: "10.0.0.1:7000",
      bornMs: 1_800_000_000_000,
      evidence: LossEvidence.Restarted,
      isLate: false,
    })),
  }));
}

function everySecond(count: number): number[] {
  return Array.from({ length: count / 2 }, (_, index) => 2 * index);
}

const CASES: readonly {
  readonly name: string;
  readonly steps: readonly StepProgress[];
  readonly parts: "none" | "some";
  /** Whether failures and losses are kept. */
  readonly isComplete: boolean;
}[] = [
  { name: "no progress", steps: [], parts: "none", isComplete: true },
  {
    name: "a usual job",
    steps: createSteps(4, 40),
    parts: "none",
    isComplete: true,
  },
  {
    name: "240 open occurrences of 5 steps",
    steps: createSteps(1200, 12),
    parts: "some",
    isComplete: true,
  },
  {
    name: "a step of 4,000 tasks",
    steps: createSteps(1, 4000),
    parts: "some",
    isComplete: true,
  },
  {
    name: "the placements of a long-running step of 3,000 tasks",
    steps: [
      {
        occurrence: 0,
        step: 0,
        done: [],
        failures: [],
        placements: Array.from(
          { length: 3000 },
          (_, index) => [index, "i-0123456789abcdef", 3] as const,
        ),
      },
    ],
    parts: "some",
    isComplete: true,
  },
  {
    name: "more failures than a commit has room for",
    steps: createSteps(10, 10_000),
    parts: "some",
    isComplete: false,
  },
];

for (const { name, steps, parts, isComplete } of CASES) {
  // Guards against a row that the table rejects, and with it every commit of
  // every leader; and against tasks that run again as they are not stored as done.
  test(`state rows: ${name}`, () => {
    const state = createState(steps);
    const rows = encodeState(ID, state, 0);
    assert.equal(rows.parts > 0, parts === "some");
    assert.ok(rows.bytes <= COMMIT_LIMIT_BYTES, `${rows.bytes} bytes`);
    assert.ok(rows.writes.length <= 90);
    for (const { value } of rows.writes) {
      assert.ok(Buffer.byteLength(value ?? "") <= ROW_LIMIT_BYTES);
    }
    const found = join(rows.writes);
    assert.deepEqual(listDone(found?.steps), listDone(steps));
    if (isComplete)
      assert.deepEqual(listOthers(found?.steps), listOthers(steps));
    assert.deepEqual(found?.doneOccurrences, state.doneOccurrences);
  });
}

// Guards against a takeover that counts a job as unstarted whose rows were not
// all read.
test("state rows: a state with a missing row cannot be joined", () => {
  const { writes } = encodeState(ID, createState(createSteps(1200, 12)), 0);
  assert.equal(join(writes.slice(0, -1)), undefined);
});

// Guards against rows that nobody removes.
test("state rows: rows that a smaller state does not need are removed", () => {
  const { writes, parts } = encodeState(ID, createState([]), 3);
  assert.equal(parts, 0);
  const removed = writes.filter(({ value }) => value === null);
  assert.deepEqual(
    removed.map(({ key }) => key),
    [1, 2, 3].map((part) => partKey(ID, part)),
  );
});

function createState(steps: readonly StepProgress[]): JobState {
  return {
    phase: JobPhase.Running,
    queue: "q",
    sinceMs: 1,
    steps,
    doneOccurrences: [[0, 40_000], 40_002],
  };
}

function join(
  writes: readonly { key: string; value: string | null }[],
): JobState | undefined {
  const parts = new StateParts();
  let state: JobState | undefined;
  for (const { key, value } of writes) {
    const row = { key, value: value ?? "", revision: 1 };
    if (!parts.take(row)) state = readState(row).unwrap();
  }
  return state && parts.join(ID, state);
}

function listDone(steps: readonly StepProgress[] = []): string[] {
  return steps
    .flatMap(({ occurrence, step, done }) =>
      done.map((range: IndexRange) => `${occurrence}/${step}/${range}`),
    )
    .sort();
}

function listOthers(steps: readonly StepProgress[] = []): string[] {
  return steps
    .flatMap(({ occurrence, step, failures, losses = [], placements = [] }) =>
      [...failures, ...losses, ...placements].map(
        (each) => `${occurrence}/${step}/${JSON.stringify(each)}`,
      ),
    )
    .sort();
}
