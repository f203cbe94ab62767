import assert from "node:assert/strict";
import { test } from "node:test";
import { WorkerHealth } from "./worker_health";

type Step = readonly ["failed" | "done", string, string, number];

const CASES: readonly {
  readonly name: string;
  readonly steps: readonly Step[];
  /** Tasks allowed on worker `w` at 10 s. */
  readonly taskAllowance: number;
  readonly isSuspect: boolean;
}[] = [
  {
    name: "no run is known",
    steps: [],
    taskAllowance: Infinity,
    isSuspect: false,
  },
  {
    name: "one job fails repeatedly on the worker",
    steps: [
      ["failed", "w", "a", 1],
      ["failed", "w", "a", 2],
      ["failed", "w", "a", 3],
    ],
    taskAllowance: Infinity,
    isSuspect: false,
  },
  {
    name: "several jobs fail on the worker",
    steps: [
      ["failed", "w", "a", 1],
      ["failed", "w", "b", 2],
    ],
    taskAllowance: 0,
    isSuspect: true,
  },
  {
    name: "several jobs fail, one succeeds in between",
    steps: [
      ["failed", "w", "a", 1],
      ["done", "w", "c", 2],
      ["failed", "w", "b", 3],
    ],
    taskAllowance: Infinity,
    isSuspect: false,
  },
  {
    name: "one job fails on many workers",
    steps: [
      ["failed", "v", "a", 1],
      ["failed", "w", "a", 2],
      ["failed", "x", "a", 3],
    ],
    taskAllowance: Infinity,
    isSuspect: false,
  },
];

for (const { name, steps, taskAllowance, isSuspect } of CASES) {
  test(`worker health: ${name}`, () => {
    const health = new WorkerHealth();
    for (const [what, worker, workload, nowMs] of steps) {
      if (what === "failed") health.onFailed(worker, workload, nowMs);
      else health.onDone(worker);
    }
    assert.equal(health.taskAllowanceOn("w", 10_000), taskAllowance);
    assert.equal(health.isSuspect("w"), isSuspect);
  });
}

test("worker health: a failed probe doubles the quarantine, a success ends it", () => {
  const health = new WorkerHealth();
  health.onFailed("w", "a", 0);
  health.onFailed("w", "b", 0);
  assert.equal(health.taskAllowanceOn("w", 31_000), 1);
  health.onFailed("w", "c", 31_000);
  assert.equal(health.taskAllowanceOn("w", 62_000), 0);
  assert.equal(health.taskAllowanceOn("w", 92_000), 1);
  health.onDone("w");
  assert.equal(health.taskAllowanceOn("w", 92_000), Infinity);
});

test("worker health: the configured quarantine times apply", () => {
  const health = new WorkerHealth({ firstMs: 100, longestMs: 150 });
  health.onFailed("w", "a", 0);
  health.onFailed("w", "b", 0);
  assert.equal(health.taskAllowanceOn("w", 99), 0);
  assert.equal(health.taskAllowanceOn("w", 101), 1);
  health.onFailed("w", "c", 101);
  assert.equal(health.taskAllowanceOn("w", 250), 0);
  assert.equal(health.taskAllowanceOn("w", 252), 1);
});
