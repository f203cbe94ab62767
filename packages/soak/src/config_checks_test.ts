import assert from "node:assert/strict";
import { test } from "node:test";
import { checkConfig } from "./config_checks";
import type { ConfigProbe } from "./config_prober";

/** Versions 1 to 5. */
const VERSIONS = [0, 10_000, 20_000, 30_000, 40_000].map((writtenMs) => ({
  writtenMs,
}));

type Probe = readonly [sentMs: number, queueVersion: number, isFound: boolean];

const CASES: readonly {
  readonly name: string;
  readonly probes: readonly Probe[];
  /** Starts of the process at each probe; 1 by default. */
  readonly starts?: readonly number[];
  readonly isStartOutdated?: boolean;
  readonly violations: readonly RegExp[];
}[] = [
  {
    name: "each version is in use at once",
    probes: [
      [1100, 1, true],
      [11_100, 2, true],
      [21_100, 1, false],
      [21_200, 3, true],
    ],
    violations: [],
  },
  {
    name: "a version that is not in use within the limit yet",
    probes: [[11_900, 2, false]],
    violations: [],
  },
  {
    name: "an added queue is not found after the limit",
    probes: [[12_100, 2, false]],
    violations: [/queue 2 not found/],
  },
  {
    name: "a removed queue is found after the limit",
    probes: [[22_100, 1, true]],
    violations: [/queue 1 found/],
  },
  {
    name: "a version is in use before it was written",
    probes: [[9900, 2, true]],
    violations: [/queue 2 found/],
  },
  {
    name: "a process goes back after it found an added queue",
    probes: [
      [30_500, 4, true],
      [30_600, 2, true],
    ],
    violations: [/went back to version 3/],
  },
  {
    name: "a process goes back after it did not find a removed queue",
    probes: [
      [20_100, 2, true],
      [30_500, 2, false],
      [30_600, 2, true],
    ],
    violations: [/went back to version 3/],
  },
  {
    name: "a process that started again uses the version before",
    probes: [
      [30_500, 4, true],
      [30_600, 2, true],
    ],
    starts: [1, 2],
    violations: [],
  },
  {
    name: "a process started on outdated reads",
    probes: [[22_100, 1, true]],
    isStartOutdated: true,
    violations: [],
  },
];

for (const given of CASES) {
  test(`config checks: ${given.name}`, () => {
    const { starts = [], isStartOutdated = false } = given;
    const probes = given.probes.map(
      ([sentMs, queueVersion, isFound], at): ConfigProbe => ({
        entry: "e0",
        start: starts[at] ?? 1,
        sentMs,
        answeredMs: sentMs + 5,
        queueVersion,
        isFound,
      }),
    );
    const violations = checkConfig({
      versions: VERSIONS,
      probes,
      isStartOutdated: () => isStartOutdated,
    });
    const text = violations.join("; ");
    assert.equal(violations.length, given.violations.length, text);
    for (const [at, pattern] of given.violations.entries()) {
      assert.match(violations[at] ?? "", pattern);
    }
  });
}
