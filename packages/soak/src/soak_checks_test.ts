import assert from "node:assert/strict";
import { test } from "node:test";
import { RunEnd } from "@laburnumtrack/jobs/task_worker";
import type { RunRecord } from "@laburnumtrack/standins/task_fleet_standin";
import type { CallerJob } from "./soak_caller";
import { checkSoak } from "./soak_checks";

const ID = "00000000000000aa";

const CASES: readonly {
  readonly name: string;
  readonly job?: Partial<CallerJob>;
  /** State at the end; else completed. */
  readonly state?: string;
  /** Runs of the task: from, to. */
  readonly runs: readonly (readonly [number, number | undefined])[];
  /** The end of the first run was acknowledged. */
  readonly isAcknowledged?: boolean;
  readonly broken: readonly RegExp[];
}[] = [
  { name: "all is well", runs: [[0, 5]], broken: [] },
  {
    name: "two runs at a time",
    runs: [
      [0, 5],
      [4, 9],
    ],
    broken: [/twice at a time/],
  },
  {
    name: "a run after an acknowledged end",
    runs: [
      [0, 5],
      [6, 9],
    ],
    isAcknowledged: true,
    broken: [/again after it was done/],
  },
  { name: "a lost job", state: "running", runs: [], broken: [/is running/] },
  {
    name: "refused, and it ran",
    job: { isAccepted: false },
    runs: [[0, 5]],
    broken: [/refused each time/],
  },
  {
    name: "refused once, uncertain once, and it ran",
    job: { isAccepted: false, isUncertain: true },
    runs: [[0, 5]],
    broken: [],
  },
  {
    name: "cancelled, and a run goes on",
    job: { isCancelSent: true, cancelledMs: 3 },
    state: "cancelled",
    runs: [[0, undefined]],
    broken: [/runs on/],
  },
  {
    name: "cancelled, and started long after",
    job: { isCancelSent: true, cancelledMs: 3 },
    state: "cancelled",
    runs: [[20_000, 20_001]],
    broken: [/started after/],
  },
  {
    name: "said to be unknown",
    job: { wrongStates: ["unknown"] },
    runs: [],
    broken: [/said to be unknown/],
  },
];

for (const given of CASES) {
  test(`soak checks: ${given.name}`, () => {
    const job: CallerJob = {
      id: ID,
      isAccepted: true,
      isUncertain: false,
      cancelledMs: undefined,
      isCancelSent: false,
      wrongStates: [],
      ...given.job,
    };
    const history = given.runs.map(
      ([startMs, endMs], at): RunRecord => ({
        task: `${ID}/0/0/0`,
        run: at + 1,
        worker: "w",
        startMs,
        endMs,
        end: endMs === undefined ? undefined : RunEnd.Done,
      }),
    );
    const [first] = history;
    const acknowledged = new Set(
      given.isAcknowledged && first !== undefined ? [first] : [],
    );
    const states = new Map([[ID, given.state ?? "completed"]]);
    const broken = checkSoak({ jobs: [job], states, history, acknowledged });
    assert.equal(broken.length, given.broken.length, broken.join("; "));
    for (const [at, pattern] of given.broken.entries()) {
      assert.match(broken[at] ?? "", pattern);
    }
  });
}
