import assert from "node:assert/strict";
import { test } from "node:test";
import { MachineCrashes } from "./machine_crashes";

interface Case {
  readonly name: string;
  /** Monotonic ms of crashes of machine `m`. */
  readonly crashesMs: readonly number[];
  readonly isExplained?: boolean;
  /** Machines that crash twice just before. */
  readonly others?: number;
  readonly isFaulty: boolean;
  /** End of the quarantine in ms; 0 if there is none. */
  readonly untilMs: number;
}

const CASES: readonly Case[] = [
  {
    name: "one crash is no pattern",
    crashesMs: [1000],
    isFaulty: false,
    untilMs: 0,
  },
  {
    name: "a second crash quarantines the machine",
    crashesMs: [1000, 5000],
    isFaulty: true,
    untilMs: 7000,
  },
  {
    name: "the quarantine doubles up to its longest",
    crashesMs: [1000, 2000, 3000, 4000, 5000, 6000, 7000],
    isFaulty: true,
    untilMs: 23_000,
  },
  {
    name: "crashes that a task explains do not count",
    crashesMs: [1000, 5000, 9000],
    isExplained: true,
    isFaulty: false,
    untilMs: 0,
  },
  {
    name: "crashes long ago do not count",
    crashesMs: [1000, 130_000],
    isFaulty: false,
    untilMs: 0,
  },
  {
    name: "crashes of many machines do not take them all away",
    crashesMs: [1000, 1100],
    others: 2,
    isFaulty: true,
    untilMs: 0,
  },
];

for (const given of CASES) {
  const { name, crashesMs, isExplained = false, others = 0 } = given;
  test(`machine crashes: ${name}`, () => {
    const machines = new MachineCrashes();
    const machineCount = 8;
    for (let other = 0; other < others; other += 1) {
      for (const nowMs of [100, 200]) {
        const crash = { nowMs, isExplained: false, machineCount };
        machines.onCrash(`other${other}`, crash);
      }
    }
    for (const nowMs of crashesMs) {
      machines.onCrash("m", { nowMs, isExplained, machineCount });
    }
    const lastMs = crashesMs.at(-1) ?? 0;
    assert.equal(machines.isFaulty("m", lastMs), given.isFaulty);
    const { untilMs } = given;
    assert.equal(machines.isQuarantined("m", untilMs - 1), untilMs > 0);
    assert.equal(machines.isQuarantined("m", Math.max(untilMs, lastMs)), false);
  });
}
